package lab

import (
	"io"
	"net"
	"testing"
	"time"
)

const patience = 20 * time.Second

// Guards the laboratory's cuts: if they let bytes through, the runs show nothing.
func TestLinkCutsAndHeals(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			far <- c
		}
	}()
	k, err := NewLink(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", k.Addr())
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		return c
	}
	a := dial()
	defer a.Close()
	io.WriteString(a, "one")
	b := <-far
	b.SetDeadline(time.Now().Add(patience))
	buf := make([]byte, 3)
	if _, err := io.ReadFull(b, buf); err != nil || string(buf) != "one" {
		t.Fatalf("%q, %v", buf, err)
	}
	k.Cut()
	io.WriteString(a, "two")
	dial().Close()
	k.Heal() // what the cut met is reset, and what was in it never comes
	if n, err := b.Read(buf); err == nil {
		t.Errorf("%q came through a cut", buf[:n])
	}
	if _, err := a.Read(buf); err == nil {
		t.Error("the near end goes on after a cut")
	}
	c := dial()
	defer c.Close()
	io.WriteString(c, "new")
	for {
		b = <-far
		b.SetDeadline(time.Now().Add(patience))
		n, err := io.ReadFull(b, buf)
		if n == 0 && err == io.EOF {
			continue // the one that was dialled in the cut, and closed
		}
		if err != nil || string(buf) != "new" {
			t.Errorf("after the cut: %q, %v", buf, err)
		}
		break
	}
}

// Guards the same for datagrams: by direction, and lost, doubled and late as asked.
func TestPeerNet(t *testing.T) {
	var own []*net.UDPConn
	var to []string
	for range 2 {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		own = append(own, c)
		to = append(to, c.LocalAddr().String())
	}
	p, err := NewPeerNet(to, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	send := func(i, j int, text string) {
		addr, _ := net.ResolveUDPAddr("udp", p.Peers(i)[j])
		own[i].WriteToUDP([]byte(text), addr)
	}
	got := func(j int, want string) {
		t.Helper()
		buf := make([]byte, 100)
		n, from, err := own[j].ReadFromUDP(buf)
		if err != nil || string(buf[:n]) != want || from.String() != p.Peers(j)[1-j] {
			t.Fatalf("got %q from %v, %v; want %q", buf[:n], from, err, want)
		}
	}
	send(0, 1, "a")
	got(1, "a")
	p.Set(0, 1, Weather{Cut: true})
	send(0, 1, "b")
	send(1, 0, "c") // the other direction stands
	got(0, "c")
	for p.Sent() < 3 {
		time.Sleep(time.Millisecond) // until the cut one has been met
	}
	p.Set(0, 1, Weather{Double: 1, Delay: time.Millisecond})
	send(0, 1, "d")
	got(1, "d")
	got(1, "d")
	p.All(Weather{Loss: 1}, nil)
	send(0, 1, "e")
	for p.Sent() < 5 {
		time.Sleep(time.Millisecond)
	}
	p.All(Weather{}, nil)
	send(0, 1, "f")
	got(1, "f")
}
