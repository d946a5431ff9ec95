package testbed

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
)

// nextPort is where freeAddr looks next: below what the system gives to connections and to listeners without a port,
// so that nobody takes an address before its program has started, and again after it was killed.
var nextPort atomic.Uint32

const firstPort, portCount = 20000, 12000

// freeAddr finds an address that nobody listens on.
func freeAddr() (string, error) {
	nextPort.CompareAndSwap(0, uint32(os.Getpid())*401+1)
	for range portCount {
		addr := ownAddr(int(firstPort + nextPort.Add(1)%portCount))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free address")
}

// FreeAddr finds an address on loopback that nobody listens on, and that nobody is given.
func FreeAddr() (string, error) { return freeAddr() }
