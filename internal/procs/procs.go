// Package procs starts the project's own programs as processes on loopback for
// the demo, benchmarks and tests. The programs themselves start no processes.
package procs

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("procs")

const (
	// StartTimeout bounds the time from the start of a process to its first response
	// on the admin address.
	StartTimeout = 10 * time.Second
	// StopTimeout bounds the time from SIGTERM to the end of a process.
	StopTimeout  = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Runner starts programs in one working directory and stops them together.
type Runner struct {
	bin       string
	dir       string
	processes []*Process
}

// Process is one started program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// NewRunner returns a runner for the programs in the folder bin. Its working
// directory is a new temporary directory.
func NewRunner(bin string) (*Runner, error) {
	dir, err := os.MkdirTemp("", "cornelhold-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Runner{bin: bin, dir: dir}, nil
}

// Dir returns the working directory, which holds settings files and process output.
func (r *Runner) Dir() string { return r.dir }

// Program returns the path of a program.
func (r *Runner) Program(name string) string { return filepath.Join(r.bin, name) }

// Write writes a file into the working directory and returns its path.
func (r *Runner) Write(name, content string) (string, error) {
	path := filepath.Join(r.dir, name)
	return path, Error.Wrap(os.WriteFile(path, []byte(content), 0o600))
}

// Start runs a program with the given settings and waits until it responds on its
// admin address.
func (r *Runner) Start(ctx context.Context, program, name, settings, admin string) (*Process, error) {
	path, err := r.Write(name+".yaml", settings)
	if err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(r.Program(program), "--config", path)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return nil, Error.New("cannot start %s: %w; run make build first", program, err)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go p.wait()
	r.processes = append(r.processes, p)
	return p, WaitFor(ctx, StartTimeout, "process "+name+" to answer", func() bool {
		return Status("http://"+admin+"/healthz") == http.StatusOK
	})
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Terminate sends SIGTERM and waits until the process has ended. It kills a process
// that is still running after StopTimeout and returns an error.
func (p *Process) Terminate() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(StopTimeout):
		p.Kill()
		return Error.New("process %s did not stop within %s of SIGTERM and was killed", p.Name, StopTimeout)
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop ends all processes. It removes the working directory unless keep is set.
func (r *Runner) Stop(keep bool) {
	for _, p := range r.processes {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range r.processes {
		_ = p.Terminate()
	}
	if !keep {
		_ = os.RemoveAll(r.dir)
	}
}

// WaitFor polls a condition until it holds, the timeout has passed or ctx is
// cancelled. Error messages contain what as the thing awaited.
func WaitFor(ctx context.Context, timeout time.Duration, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return Error.New("timed out after %s waiting for %s", timeout, what)
		case <-ticker.C:
		}
	}
	return nil
}

// Status returns the HTTP status code of a GET request, or 0 without a response.
func Status(url string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
