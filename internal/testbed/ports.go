package testbed

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
)

// nextPort counts the ports that freeAddr has tried. The ports lie below the system's ephemeral range, so that the system gives a
// program's port to no one else before the program has started or after it was killed.
var nextPort atomic.Uint32

const firstPort, portCount = 20000, 12000

// freeAddr returns an address that has no listener.
func freeAddr() (string, error) {
	nextPort.CompareAndSwap(0, uint32(os.Getpid())*401+1)
	for range portCount {
		addr := hostAddr(int(firstPort + nextPort.Add(1)%portCount))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free address: every port of the testbed's range has a listener")
}

// FreeAddr returns an address of Host that has no listener and lies outside the system's ephemeral ports.
func FreeAddr() (string, error) { return freeAddr() }
