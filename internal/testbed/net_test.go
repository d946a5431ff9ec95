package testbed

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/testbed/oracle"
)

const testTimeout = 20 * time.Second

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
		if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Error(err)
		}
		return c
	}
	a := dial()
	defer a.Close()
	if _, err := io.WriteString(a, "one"); err != nil {
		t.Error(err)
	}
	b := <-far
	if err := b.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
	buf := make([]byte, 3)
	if _, err := io.ReadFull(b, buf); err != nil || string(buf) != "one" {
		t.Fatalf("%q, %v", buf, err)
	}
	k.Cut()
	_, _ = io.WriteString(a, "two") // it may meet the cut
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
	if _, err := io.WriteString(c, "new"); err != nil {
		t.Error(err)
	}
	for {
		b = <-far
		if err := b.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Error(err)
		}
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

// Guards the other ways that a link can go: one-way, refused, and what it tells of both ends.
func TestLinkWays(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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
	ended, unreached := make(chan string, 4), make(chan string, 4)
	k, err := NewLinkWith(l.Addr().String(), Hooks{NearEnd: func(a string) { ended <- a }, Unreached: func(a string) { unreached <- a }})
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", k.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Error(err)
		}
		return c
	}
	k.Set(Way{Cut: true, Back: true})
	a := dial()
	if _, err := io.WriteString(a, "one"); err != nil {
		t.Error(err)
	}
	b := <-far
	if err := b.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
	buf := make([]byte, 3)
	if _, err := io.ReadFull(b, buf); err != nil || string(buf) != "one" {
		t.Errorf("forth: %q, %v", buf, err)
	}
	if _, err := io.WriteString(b, "two"); err != nil {
		t.Error(err)
	}
	a.Close() // the far end does not see that, but the laboratory does
	if got := <-ended; got != b.RemoteAddr().String() {
		t.Errorf("%s has ended, want %s", got, b.RemoteAddr())
	}
	k.Heal()
	if n, err := b.Read(buf); err == nil {
		t.Errorf("%q after the cut", buf[:n])
	}
	if !k.CutSince(time.Now().Add(-testTimeout)) || k.CutSince(time.Now()) {
		t.Error("when it was cut is not known")
	}
	for _, refuse := range []bool{true, false} { // refused, and nobody there
		k.Set(Way{Refuse: refuse})
		if !refuse {
			l.Close()
		}
		c, err := net.Dial("tcp", k.Addr())
		for ; err != nil; c, err = net.Dial("tcp", k.Addr()) { // the reset can come before the dial is over
			if !errors.Is(err, syscall.ECONNRESET) {
				t.Fatal(err)
			}
			<-unreached
		}
		if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Error(err)
		}
		if n, err := c.Read(buf); err == nil {
			t.Errorf("%q from nobody", buf[:n])
		}
		if got := <-unreached; got != c.LocalAddr().String() {
			t.Errorf("%s reached nobody, want %s", got, c.LocalAddr())
		}
		c.Close()
	}
}

// Guards the roster's ways: late, broken and whole lists, and that what a party is told is known no later than it can act.
func TestRosterWays(t *testing.T) {
	hist := oracle.NewHistory()
	r := NewDiscovery(hist)
	defer r.Close()
	addr, err := r.For("f0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan string, 20)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		discovery.NewWatcher(addr, 1, func(l discovery.List) {
			for _, s := range l.Endpoints {
				got <- s.ID + " " + s.State
			}
			if l.Full {
				got <- "whole"
			}
		}, func(string, ...any) {}).Run(ctx, nil)
	}()
	defer func() { cancel(); <-done }()
	want := func(text string) {
		t.Helper()
		select {
		case g := <-got:
			if g != text {
				t.Fatalf("told %q, want %q", g, text)
			}
		case <-time.After(testTimeout):
			t.Fatalf("never told %q", text)
		}
	}
	set := func(id, state string) { r.Set(discovery.Endpoint{ID: id, Addr: "127.0.0.1:1", State: state}) }
	set("a", "in_service")
	want("a in_service")
	r.Late(50 * time.Millisecond)
	at := time.Now()
	set("a", "terminating")
	want("a terminating")
	if time.Since(at) < 50*time.Millisecond {
		t.Error("told too early")
	}
	r.Late(0)
	set("b", "in_service")
	want("b in_service")
	set("a", "terminated")
	want("a terminated")
	r.Break()
	set("c", "in_service")
	for g := range got { // as a change or with the whole list
		if g == "c in_service" {
			break
		}
	}
	if list := slices.Collect(maps.Keys(hist.KnownNodes("f0"))); !slices.Contains(list, "c") || slices.Contains(list, "a") {
		t.Errorf("told of %v", list)
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
		if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Error(err)
		}
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
		if _, err := own[i].WriteToUDP([]byte(text), addr); err != nil {
			t.Error(err)
		}
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
	p.Set(0, 1, PacketConditions{Cut: true})
	send(0, 1, "b")
	send(1, 0, "c") // the other direction stands
	got(0, "c")
	for p.Sent() < 3 {
		time.Sleep(time.Millisecond) // until the cut one has been met
	}
	p.Set(0, 1, PacketConditions{Double: 1, Delay: time.Millisecond})
	send(0, 1, "d")
	got(1, "d")
	got(1, "d")
	p.All(PacketConditions{Loss: 1}, nil)
	send(0, 1, "e")
	for p.Sent() < 5 {
		time.Sleep(time.Millisecond)
	}
	p.All(PacketConditions{}, nil)
	send(0, 1, "f")
	got(1, "f")
}
