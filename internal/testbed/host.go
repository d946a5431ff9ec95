package testbed

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// Host is the loopback address of the testbed's stand-ins and programs. Testbeds that run at the same time on one machine need
// different addresses (OwnHost): otherwise one testbed could bind the port that a crashed node of another one left, and the two
// testbeds' requests look alike. Fleets with membership from etcd need the default.
var Host = "127.0.0.1"

// OwnHost returns a loopback address derived from the process id.
func OwnHost() string { return loopbackHost(os.Getpid()) }

func loopbackHost(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)%254, (pid>>8)%256, 1+pid%254)
}

// hostAddr returns the address of a port of Host; port 0 lets the system choose a free one.
func hostAddr(port int) string { return net.JoinHostPort(Host, strconv.Itoa(port)) }
