package e2e

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/controller"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/load"
	"github.com/cornelhold/cornelhold/internal/router"
	"github.com/cornelhold/cornelhold/internal/settings"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// TestDeploymentsAreValid guards against tickets and settings files in deploy/ that the
// programs refuse.
func TestDeploymentsAreValid(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"hizakura", "rusev-daskalov"} {
		dir := filepath.Join("../../deploy", name)
		data, err := os.ReadFile(filepath.Join(dir, "ticket.yaml"))
		is.NoErr(err)
		doc, err := ticket.ParseFile("ticket.yaml", data)
		is.NoErr(err)
		is.NoErr(ticket.Check("ticket.yaml", doc, config.NewFold().Current()))
		is.NoErr(settings.Load(filepath.Join(dir, "router.yaml"), &router.Settings{}))
		is.NoErr(settings.Load(filepath.Join(dir, "controller.yaml"), controller.DefaultSettings()))
		is.NoErr(settings.Load(filepath.Join(dir, "load.yaml"), &load.Experiment{}))
	}
}
