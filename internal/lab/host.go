package lab

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// Host is this laboratory's own address on loopback, by its process. Two laboratories that run at the same time on one machine must not meet: a port
// that a crashed node of the one has left could be taken by the other, whose requests look alike.
var Host = hostOf(os.Getpid())

func hostOf(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>16)%254, (pid>>8)%256, 1+pid%254)
}

// ownAddr is a port of Host; 0 stands for any that is free.
func ownAddr(port int) string { return net.JoinHostPort(Host, strconv.Itoa(port)) }
