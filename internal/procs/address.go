package procs

import (
	"fmt"
	"os"
	"sync/atomic"
)

// portBase is one below the first port that FreeAddress returns. The ports lie below
// the kernel's ephemeral range, so that no outgoing connection takes them.
const portBase = 20000

var portsReturned atomic.Int32

// FreeAddress returns a loopback address, IP and port, that no other call
// returns, in this process or another. Binding port 0 to find a free port is not
// enough: the kernel may return the same port twice, or assign it to an outgoing
// connection before the program listens.
func FreeAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8%250, pid%256, portBase+portsReturned.Add(1))
}
