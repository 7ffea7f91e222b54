package edgefleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemory returns the largest resident size that the process has had, in bytes.
func (e *Edge) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		return kib << 10, Error.Wrap(err)
	}
	return 0, Error.New("/proc/%d/status has no VmHWM; the test needs Linux", e.cmd.Process.Pid)
}
