package procs

import (
	"fmt"
	"os"
	"sync/atomic"
)

// portBase is the first port that FreeAddress returns. It lies below the range
// from which the system takes the ports of outgoing connections.
const portBase = 20000

var portsReturned atomic.Int32

// FreeAddress returns a loopback address, IP and port, that no other call
// returns, in this process or another. Asking the system for a free port is not
// enough: it may name the same one twice, or use it for an outgoing connection
// before the program listens.
func FreeAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8%250, pid%256, portBase+portsReturned.Add(1))
}
