// Package planted breaks the rules of the core on purpose; the shape test
// expects the linter and the syntax check to report it.
package planted

import (
	"net"
	"time"
)

// Start reads the clock, uses the network and starts a goroutine.
func Start() (time.Time, net.IP) {
	go func() {}()
	return time.Now(), net.IP{}
}
