package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// startLimit bounds how long a process may take to become ready.
	startLimit = 10 * time.Second
	// stopLimit bounds how long a process may take to stop.
	stopLimit    = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is one started program.
type process struct {
	name  string
	admin string
	cmd   *exec.Cmd
	done  chan error
}

// start runs a program with the given settings and waits until it listens on
// its admin address.
func (d *demo) start(ctx context.Context, program, name, settings, admin string) error {
	path := filepath.Join(d.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(d.dir, name+".log")) //nolint:gosec // a name of this program
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(filepath.Join(d.bin, program), "--config", path) //nolint:gosec // built by make
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, admin: admin, cmd: cmd, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	d.processes = append(d.processes, p)
	return waitFor(ctx, startLimit, "process "+name+" to answer", func() bool {
		return status("http://"+admin+"/healthz") == http.StatusOK
	})
}

// terminate sends SIGTERM and waits until the process has ended.
func (p *process) terminate() error {
	if p.cmd.ProcessState != nil {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		return err
	case <-time.After(stopLimit):
		_ = p.cmd.Process.Kill()
		return errors.New("process " + p.name + " did not stop in time")
	}
}

// stop ends all processes and removes the working directory.
func (d *demo) stop() {
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range d.processes {
		_ = p.terminate()
	}
	if !d.keepLogs {
		_ = os.RemoveAll(d.dir) //nolint:gosec // made by os.MkdirTemp
	}
}

// waitFor polls a condition until it holds or the limit has passed.
func waitFor(ctx context.Context, limit time.Duration, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out after %s waiting for %s", limit, what)
		case <-ticker.C:
		}
	}
	return nil
}

func status(url string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// addresses hands out free loopback addresses.
type addresses struct {
	held []net.Listener
}

// next returns an address that no other caller of next gets.
func (a *addresses) next() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a.held = append(a.held, l)
	return l.Addr().String(), nil
}

// release frees the ports for the processes.
func (a *addresses) release() {
	for _, l := range a.held {
		_ = l.Close()
	}
	a.held = nil
}
