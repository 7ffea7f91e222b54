package e2e

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/callerapi"
	"github.com/cornelhold/cornelhold/internal/cli"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/operator"
	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/router"
	"github.com/cornelhold/cornelhold/internal/standin"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// deployment is a log service, an instance list and any number of routers in the test
// process.
type deployment struct {
	ctx       context.Context
	logAddr   string
	instances string
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	s := &deployment{ctx: t.Context(), logAddr: procs.FreeAddress(), instances: procs.FreeAddress()}
	env := testEnv()
	go func() {
		_ = standin.Run(s.ctx, env, &standin.Settings{
			Log:       &standin.LogSettings{Listen: s.logAddr},
			Instances: &standin.InstancesSettings{Listen: s.instances},
		})
	}()
	waitReady(t, env)
	return s
}

func (s *deployment) logURL() string { return "http://" + s.logAddr }

// startRouter starts a router and returns its peer address.
func (s *deployment) startRouter(t *testing.T, name string, peers ...router.PeerSettings) router.PeerSettings {
	t.Helper()
	self := router.PeerSettings{Instance: name, DataCentre: "kyushu-a", Region: "kyushu", Address: procs.FreeAddress()}
	go func() {
		_ = router.Run(s.ctx, testEnv(), &router.Settings{
			Instance: name, DataCentre: self.DataCentre, Region: self.Region, Listen: procs.FreeAddress(),
			PeerListen: self.Address, Peers: peers, Log: s.logURL(), Instances: "http://" + s.instances,
		}, callerapi.New)
	}()
	return self
}

func (s *deployment) injectLogFaults(t *testing.T, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPut, s.logURL()+"/faults", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func teamTicket(t *testing.T, number string) ticket.Document {
	t.Helper()
	doc, err := ticket.ParseFile("t.yaml", []byte("number: "+number+`
teams:
  - {name: counter, weight: 1, key_sha256: [2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]}
`))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func (s *deployment) waitActive(t *testing.T, number int, routers ...router.PeerSettings) {
	t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, 20*time.Second)
	defer cancel()
	for _, r := range routers {
		if _, err := operator.NewStateReader([]string{r.Address}).Wait(ctx, config.Number(number)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStartWhileLogIsDown guards against a router that has no configuration because it
// starts during an outage of the log service: it must load the state from a peer, and
// apply new tickets once the log service is available again.
func TestStartWhileLogIsDown(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	filer := operator.NewFiler(s.logURL())
	_, err := filer.File(s.ctx, teamTicket(t, "0"), "test")
	is.NoErr(err)
	first := s.startRouter(t, "r1")
	s.waitActive(t, 1, first)
	s.injectLogFaults(t, `{"down":true}`)
	second := s.startRouter(t, "r2", first)
	s.waitActive(t, 1, second)
	_, err = filer.File(s.ctx, teamTicket(t, "0"), "test")
	is.True(operator.ErrUnavailable.Has(err)) // nothing was filed
	s.injectLogFaults(t, `{}`)
	_, err = filer.File(s.ctx, teamTicket(t, "0"), "test")
	is.NoErr(err)
	s.waitActive(t, 2, first, second)
}

// TestOperatorsRace guards against two accepted tickets with one number, filed
// concurrently, and against a second append of a ticket whose first response was lost.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	const operators = 4
	results := make(chan error, operators)
	for range operators {
		go func() {
			_, err := operator.NewFiler(s.logURL()).File(s.ctx, teamTicket(t, "1"), "test")
			results <- err
		}()
	}
	accepted := 0
	for range operators {
		err := <-results
		if err == nil {
			accepted++
			continue
		}
		is.True(operator.ErrNumberTaken.Has(err))
		is.Equal(cli.ExitCode(err), cli.ExitLost)
	}
	is.Equal(accepted, 1)
	s.injectLogFaults(t, `{"lose_append_responses":1}`)
	entry, err := operator.NewFiler(s.logURL()).File(s.ctx, teamTicket(t, "0"), "test")
	is.NoErr(err)
	is.Equal(uint64(entry.Ticket.Number), uint64(2))
	history, err := operator.NewFiler(s.logURL()).History(s.ctx)
	is.NoErr(err)
	is.Equal(len(history.Entries), operators+1) // the lost response led to no second append
}

// TestOperatorCommands guards against changes of the output and exit codes of cornelctl
// on which operators and scripts depend.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	r := s.startRouter(t, "r1")
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		command := cli.NewCommand()
		command.SetArgs(append([]string{"--log", s.logURL(), "--router", r.Address}, args...))
		command.SetOut(&out)
		command.SetErr(&out)
		err := command.Execute()
		return out.String(), err
	}
	_, err := run("ticket", "file", "../../deploy/hizakura/ticket.yaml", "--author", "mika")
	is.NoErr(err)
	out, err := run("ticket", "wait", "1", "-o", "json")
	is.NoErr(err)
	is.True(strings.Contains(out, `"number": 1`))
	out, err = run("state")
	is.NoErr(err)
	is.True(strings.Contains(out, "r1"))
	out, err = run("ticket", "list")
	is.NoErr(err)
	is.True(strings.Contains(out, "accepted") && strings.Contains(out, "mika"))
	out, err = run("ticket", "show", "1")
	is.NoErr(err)
	is.True(strings.Contains(out, "service/dial-advisor"))
	_, err = run("ticket", "wait", "9", "--timeout", "300ms")
	is.Equal(cli.ExitCode(err), cli.ExitNotActive)
	_, err = run("ticket", "check", "config_test.go")
	is.Equal(cli.ExitCode(err), cli.ExitInvalid)
	s.injectLogFaults(t, `{"down":true}`)
	_, err = run("ticket", "file", "../../deploy/hizakura/ticket.yaml")
	is.Equal(cli.ExitCode(err), cli.ExitUnavailable)
}
