package testbed

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// Host is the loopback address of the laboratory's stand-ins and programs. Laboratories that run at the same time on one machine are to have one each, by
// OwnHost: a port that a crashed node of the one has left could be taken by the other, whose requests look alike. Fleets with their membership from
// etcd want the usual one.
var Host = "127.0.0.1"

// OwnHost is an address on loopback by the laboratory's process.
func OwnHost() string { return loopbackHost(os.Getpid()) }

func loopbackHost(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)%254, (pid>>8)%256, 1+pid%254)
}

// ownAddr is a port of Host; 0 stands for any that is free.
func ownAddr(port int) string { return net.JoinHostPort(Host, strconv.Itoa(port)) }
