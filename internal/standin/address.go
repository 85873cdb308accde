package standin

import (
	"fmt"
	"os"
	"sync/atomic"
)

// uniqueIPCount is the number of different addresses that UniqueLoopbackIP returns in a process.
const uniqueIPCount = 254

var uniqueIPsIssued atomic.Int64

// UniqueLoopbackIP returns a loopback address that was not returned by the last 253 calls or to another process, unless
// the IDs of the processes are equal modulo 16384. The machine's outgoing connections do not use it either, since they
// come from 127.0.0.1. Use it for a listener that reuses its port after a
// restart, or listens on a port that was found to be free a moment ago: on 127.0.0.1 an outgoing connection may take
// the port in between, which made a test with restarting servers fail.
func UniqueLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 1+(uniqueIPsIssued.Add(1)-1)%uniqueIPCount)
}
