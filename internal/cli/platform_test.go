package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

// TestPlatformShow guards against output whose version, services or endpoints differ
// from those that the processes use, and against a malformed entry of the instance
// list that hides the valid ones.
func TestPlatformShow(t *testing.T) {
	is := is.New(t)
	f, err := edgefleet.New(t.Context(), edgefleet.Options{Dir: t.TempDir(), Replicas: 2})
	is.NoErr(err)
	l, err := edgefleet.Listen()
	is.NoErr(err)
	f.Store.Serve(t.Context(), l)
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		cmd := NewCommand()
		cmd.SetArgs(append([]string{"platform", "show"}, args...))
		cmd.SetOut(&out)
		cmd.SetErr(&out)
		err := cmd.Execute()
		return out.String(), err
	}
	_, err = run()
	is.True(err != nil && strings.Contains(err.Error(), "--store"))
	_, err = run("--store", l.Addr().String())
	is.True(err != nil && strings.Contains(err.Error(), "no configuration"))
	f.AnnounceAll("ready")
	f.Announce(f.PlainReplicas[1], "draining")
	f.Store.Put(userplatform.ServersTopic, "broken", []byte("{"))
	f.Configure(f.Config(edgefleet.PlainService, "key"))
	f.Configure(f.Config(edgefleet.ModelService, "key"))
	out, err := run("--store", l.Addr().String())
	is.NoErr(err)
	lines := make(map[string][]string)
	for line := range strings.Lines(out) {
		fields := strings.Fields(line)
		lines[fields[0]] = fields
	}
	is.Equal(lines["VERSION"], []string{"VERSION", "4"})
	is.Equal(lines["check"], []string{"check", "h.example", "/check/", "idempotent", "model"})
	is.Equal(lines["plain"], []string{"plain", "a", "1", "1", "0"})
	is.Equal(lines["model"], []string{"model", "a", "2", "0", "0"})
	is.Equal(lines["MALFORMED"], []string{"MALFORMED", "ENTRIES", "1"})
}
