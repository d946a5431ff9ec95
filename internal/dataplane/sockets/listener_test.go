package sockets

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards how the address of a closed listener is kept: connections are refused, no other socket can have the address, and later connections
// are accepted again, while one that the closed listener had accepted goes on.
func TestBindTCP_KeepsAddressAndListensLater(t *testing.T) {
	first, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address := first.Addr().(*net.TCPAddr)
	dial := func() error {
		c, err := net.DialTimeout("tcp", address.String(), time.Second)
		if err == nil {
			t.Cleanup(func() { c.Close() })
		}
		return err
	}
	acceptOn := func(l *net.TCPListener) error {
		_ = l.SetDeadline(time.Now().Add(time.Second))
		c, err := l.Accept()
		if err == nil {
			t.Cleanup(func() { c.Close() })
		}
		return err
	}
	check := func(what string, got, want error) {
		t.Helper()
		if !errors.Is(got, want) {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	check("dial the first listener", dial(), nil)
	check("accept on it", acceptOn(first), nil)
	first.Close()
	bound, err := BindTCP(address)
	if err != nil {
		t.Fatal(err)
	}
	defer bound.Close()
	raw, err := bound.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if Listens(raw) {
		t.Error("the bound socket listens")
	}
	check("dial before it listens", dial(), syscall.ECONNREFUSED)
	check("accept before it listens", acceptOn(bound), syscall.EINVAL)
	for range 2 {
		check("start to listen", StartListening(raw), nil)
	}
	if !Listens(raw) {
		t.Error("the socket does not listen")
	}
	check("dial", dial(), nil)
	check("accept", acceptOn(bound), nil)
	_, err = net.ListenTCP("tcp", address)
	check("listen at the same address", err, syscall.EADDRINUSE)
}
