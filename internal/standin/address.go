package standin

import (
	"fmt"
	"os"
	"sync/atomic"
)

// ownIPs is how many addresses OwnIP tells apart in a process.
const ownIPs = 254

var givenIPs atomic.Int64

// OwnIP returns a loopback address that nobody else uses: no other of the last 254 calls,
// no other process, and no connection of the machine, which all go out from 127.0.0.1.
// What listens again at a port that it had before, or at one that was free a moment ago,
// needs one: on 127.0.0.1 a connection of another may have the port meanwhile, and a test
// with servers that come back failed for that.
func OwnIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 1+(givenIPs.Add(1)-1)%ownIPs)
}
