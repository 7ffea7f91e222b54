//go:build review

package casekit

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
)

// UsageWindow is usage-window-s of the small deployments.
const UsageWindow = 5 * time.Second

// SetUsageWindow starts a process of a fleet again with windows as long as those of the small deployments.
// path is its settings file.
func SetUsageWindow(e *edgefleet.Edge, path string) error {
	const before = "usage-window-s: 1,"
	e.Kill()
	settings, err := os.ReadFile(path) //nolint:gosec // the file is the fleet's own
	if err != nil {
		return err
	}
	text := strings.Replace(string(settings), before, fmt.Sprintf("usage-window-s: %g,", UsageWindow.Seconds()), 1)
	if text == string(settings) {
		return errors.New("the settings have no " + before)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil { //nolint:gosec // the file is the fleet's own
		return err
	}
	return e.Start()
}
