package ingress

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

// large is a value of so many bytes, and the answer that brings it.
func large(size int, seed uint64) (text []byte, answer []byte) {
	rng := rand.New(rand.NewPCG(seed, 1))
	text = make([]byte, size)
	for i := range text {
		text[i] = byte(rng.Uint32())
	}
	return text, fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$12\r\ncpu_share=.5\r\n", size, text)
}

// slowLarge has a client ask for a large value at r, and its backend give so much of it.
func slowLarge(t *testing.T, r *testIngress, conns chan *testConn, id string, first int) (w, b *testConn, text, rest []byte) {
	t.Helper()
	text, answer := large(1<<20, 9)
	w = r.client()
	w.send(lookCommand(id)...)
	w.send("PING") // answered behind it
	b = receive(t, conns)
	if b.command() == nil {
		t.Fatal("not sent")
	}
	write(b, string(answer[:first]))
	r.waitFor("it has begun", func() bool { return len(r.ingress.largeValues) == 1 })
	return w, b, text, answer[first:]
}

// Guards values that are too large to be kept, in pieces cut anywhere: byte for byte, in order with other answers, their
// connections used again, and nothing held that the budget does not know.
func TestLargeValue_Streamed(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	w := r.client()
	rng := rand.New(rand.NewPCG(5, 5))
	for round, size := range []int{resp.MaxValueBytes + 1, 300_000, maxLargeValue} {
		text, answer := large(size, uint64(round))
		w.send(lookCommand(fmt.Sprint("large", round))...)
		w.send("PING") // answered behind it
		b := (*testConn)(nil)
		if round == 0 {
			b = receive(t, conns)
			defer func() {
				if len(conns) > 0 {
					t.Error("a connection that was still good was not used again")
				}
			}()
			conns <- b
		}
		b = receive(t, conns)
		if b.command() == nil {
			t.Fatal("not sent")
		}
		go func() {
			for len(answer) > 0 {
				n := min(len(answer), 1+rng.IntN(9000))
				write(b, string(answer[:n]))
				answer = answer[n:]
			}
		}()
		if got := w.bulk(); !bytes.Equal(got, text) {
			t.Fatalf("%d bytes came, of %d", len(got), size)
		}
		if got := w.line(); got != "+PONG" {
			t.Fatalf("behind it: %q", got)
		}
		if o := receive(t, r.decider.outcomes); o.Status != policy.OK || o.Load == nil || !o.Completed {
			t.Fatalf("the module was told %+v", o)
		}
		if round < 2 {
			r.waitFor("the connection is free", func() bool { return len(r.ingress.backends.byID["s0"].idleConns) == 1 })
			conns <- b
		}
	}
	if _, left := r.openResources(); left <= 0 {
		t.Error("the budget is used up")
	}
}

// Guards a client that reads slowly: its backend waits, nothing piles up, and the module is told how fast the backend was.
func TestLargeValue_SlowClientDelaysOwnBackendOnly(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	_, free := r.openResources()
	slow := r.client()
	r.shrinkClientBuffers(slow)
	slow.send(lookCommand("slow")...)
	b := receive(t, conns)
	b.command()
	text, answer := large(maxLargeValue, 1)
	wrote := make(chan struct{})
	go func() { write(b, string(answer)); close(wrote) }()
	r.waitFor("the value is under way", func() bool { q := r.ingress.requests["slow"]; return q != nil && q.attempts[0].firstByteAt > 0 })
	other := r.client()
	other.send("PING")
	if other.line() != "+PONG" {
		t.Error("others wait for a slow reader")
	}
	if _, left := r.openResources(); free-left > streamChunkSize+2*inputbuffer.ReadSize {
		t.Errorf("%d bytes are held", free-left)
	}
	r.onLoop(func() { r.ingress.Cancel("slow", 0) }) // a module that has lost patience: the answer has begun
	if got := slow.bulk(); !bytes.Equal(got, text) {
		t.Fatalf("%d bytes came", len(got))
	}
	<-wrote
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Errorf("%+v", o)
	}
}

// Guards clients against parts that pass for whole values, and what is owed to others on the way.
func TestLargeValue_Truncated(t *testing.T) {
	text, whole := large(200_000, 3)
	for name, c := range map[string]struct {
		answer []byte
		close  bool
		want   policy.Status
	}{
		"cut off":          {whole[:150_000], true, policy.Reset},
		"longer than said": {append([]byte("*3\r\n$199999\r\n"), append(bytes.Clone(text), "\r\n$-1\r\n$-1\r\n"...)...), false, policy.Reset},
		"too large":        {fmt.Appendf(nil, "*3\r\n$%d\r\n%s", maxLargeValue+1, text), false, policy.Error},
		"little of it":     {fmt.Appendf(nil, "*3\r\n$%d\r\nnoise", 200_000), true, policy.Reset},
	} {
		addr, conns := listenBackend(t)
		r := startIngress(t, testConfig(addr), sendTo(0))
		w := r.client()
		w.send(lookCommand("x")...)
		b := receive(t, conns)
		b.command()
		write(b, string(c.answer))
		if c.close {
			b.Close()
		}
		if o := receive(t, r.decider.outcomes); o.Status != c.want {
			t.Errorf("%s: the module was told %+v", name, o)
		}
		if strings.HasPrefix(name, "too") || strings.HasPrefix(name, "little") {
			r.onLoop(func() { r.ingress.Fail("x") })
			if got := w.line(); got != "-ERR failed" {
				t.Errorf("%s: the client got %q", name, got)
			}
			continue
		}
		got, _ := io.ReadAll(w.r)
		if _, rest, ok := bytes.Cut(got, []byte("\r\n")); !ok || bytes.HasSuffix(rest, []byte("\r\n")) && len(rest) >= 200_002 {
			t.Errorf("%s: a part passes for the whole", name)
		}
		r.waitFor("nothing is kept", func() bool { return len(r.ingress.requests) == 0 && r.ingress.clients.open() == 0 })
	}
}

// Guards backends against clients that leave in the middle, or before their turn has come.
func TestLargeValue_ClientDisconnects(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) {
			if q.ID != "first" {
				r.ingress.Send(q.ID, "s0", 0)
			}
		}
	})
	_, answer := large(maxLargeValue, 4)
	for _, ahead := range []bool{false, true} {
		w := r.client()
		if ahead {
			w.send(lookCommand("first")...) // never answered: the value waits behind it
			receive(t, r.decider.requests)
		}
		w.send(lookCommand("x")...)
		receive(t, r.decider.requests)
		b := receive(t, conns)
		b.command()
		go write(b, string(answer))
		r.waitFor("the value is under way", func() bool { q := r.ingress.requests["x"]; return q != nil && q.attempts[0].firstByteAt > 0 })
		w.Close()
		if o := receive(t, r.decider.outcomes); o.Status != policy.Cancelled || !o.Completed {
			t.Errorf("%+v", o)
		}
		r.waitFor("nothing is kept", func() bool { return len(r.ingress.requests) == 0 && r.ingress.backends.openConns == 0 })
		if ahead {
			receive(t, r.decider.disconnects)
		}
	}
}

// Guards large values at a replacement: one that is on its way goes on in the new process, whole, with what waits behind it and what its
// client still asks, and the old one ends without it.
func TestLargeValue_MigratesToSuccessor(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	old := startIngress(t, cfg, sendTo(0))
	cfg.Listen = old.ingress.listener.Addr().String()
	w, b, text, rest := slowLarge(t, old, conns, "large", 100_000)
	write(w, command(lookCommand("next")...)[:40])
	young := startIngress(t, cfg, sendTo(0))
	young.waitFor("the new process serves", young.ingress.acceptingClients.Load)
	old.waitForNoRequests()
	old.onLoop(old.ingress.migrateValues) // as if so long had passed
	receive(t, old.ended)
	young.waitFor("it has the value", func() bool { return len(young.ingress.largeValues) == 1 })
	go func() {
		for len(rest) > 0 {
			n := min(len(rest), 5000)
			write(b, string(rest[:n]))
			rest = rest[n:]
		}
	}()
	if got := w.bulk(); !bytes.Equal(got, text) {
		t.Fatalf("%d bytes came, of %d", len(got), len(text))
	}
	if got := w.line(); got != "+PONG" {
		t.Fatalf("behind it: %q", got)
	}
	write(w, command(lookCommand("next")...)[40:])
	if q := receive(t, young.decider.requests); q.ID != "next" {
		t.Errorf("%+v came in place of the request in two halves", q)
	}
	receive(t, conns)
	young.waitFor("nothing is left of it", func() bool { return len(young.ingress.largeValues) == 0 && young.ingress.backends.openConns == 1 })
}

// Guards a value whose client has another request open: it waits for that one, which fails at the last, and moves then.
func TestLargeValue_MigratesOnceQueuedAnswersKnown(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	old := startIngress(t, cfg, sendTo(0))
	cfg.Listen = old.ingress.listener.Addr().String()
	w, b, text, rest := slowLarge(t, old, conns, "large", 100_000)
	w.send(lookCommand("behind")...)
	receive(t, conns).command()
	young := startIngress(t, cfg, sendTo(0))
	young.waitFor("the new process serves", young.ingress.acceptingClients.Load)
	old.waitForNoRequests()
	old.onLoop(func() {
		old.ingress.migrateValues()
		for v := range old.ingress.largeValues {
			if v.stream.stopping {
				t.Error("it was to move without the answer behind it")
			}
		}
		old.ingress.failOpenRequests()
	})
	receive(t, old.ended)
	go write(b, string(rest))
	if got := w.bulk(); !bytes.Equal(got, text) {
		t.Fatalf("%d bytes came, of %d", len(got), len(text))
	}
	if got := w.line() + w.line(); got != "+PONG-ERR failed" {
		t.Fatalf("behind it: %q", got)
	}
}

// Guards a value against a new process that dies before it has it: it goes on where it was.
func TestLargeValue_ResumesWhenSuccessorDies(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, adminConfig(t, addr), sendTo(0))
	w, b, text, rest := slowLarge(t, r, conns, "large", 100_000)
	path, err := hotrestart.SocketPath(os.TempDir(), r.ingress.cfg.Name)
	if err != nil {
		t.Fatal(err)
	}
	link := dialAsSuccessor(t, path)
	completeHandover(t, link)
	r.waitForNoRequests()

	r.onLoop(func() {
		r.ingress.successor.transfers = make(chan transfer, 8)
		r.ingress.migrateValues()
	})
	r.waitFor("it has stopped", func() bool { return len(r.ingress.successor.transfers) == 1 })

	link.Close()
	go write(b, string(rest))
	if got := w.bulk(); !bytes.Equal(got, text) {
		t.Fatalf("%d bytes came, of %d", len(got), len(text))
	}
	if got := w.line(); got != "+PONG" {
		t.Fatalf("behind it: %q", got)
	}
	if w.send("PING"); w.line() != "+PONG" {
		t.Error("the client is not served any more")
	}
}

// Guards a client that reads slowly against an ingress that cuts it off seconds after its backend has gone: a value that can't become whole
// ends at once, though its client is not reading.
func TestLargeValue_EndsWithBackend(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	w := r.client()
	r.slow(w)
	_, answer := large(maxLargeValue, 3)
	w.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	wrote := make(chan int)
	go func() {
		left := 0
		defer func() { wrote <- left }()
		for rest := answer[:len(answer)-1]; len(rest) > 0; { // until nothing goes on any more
			noError(t, b.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
			n, err := b.Write(rest[:min(len(rest), 64<<10)])
			if rest = rest[n:]; err != nil {
				left = len(rest)
				return
			}
		}
	}()
	left := <-wrote
	r.waitFor("the ingress is blocked by its client", func() bool {
		for v := range r.ingress.largeValues {
			return v.stream.clientBlocked.Load()
		}
		return false
	})
	t.Logf("%d bytes were not taken from the backend", left)
	noError(t, b.Conn.(*net.TCPConn).SetLinger(0))
	b.Close()
	if o := receive(t, r.decider.outcomes); o.Status != policy.Reset {
		t.Errorf("ended as %v, want as one that its backend broke off", o.Status)
	}
}

// Guards a large value that its backend has given whole before it went: what the kernel still holds of it goes over as well.
func TestLargeValue_OfDeadBackendMigrates(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	old := startIngress(t, cfg, sendTo(0))
	cfg.Listen = old.ingress.listener.Addr().String()
	w := old.client()
	old.slow(w)
	text, answer := large(150_000, 4)
	w.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	write(b, string(answer[:5000]))
	old.waitFor("it has begun", func() bool {
		for v := range old.ingress.largeValues {
			noError(t, v.stream.backendConn.conn.SetReadBuffer(400<<10))
			return true
		}
		return false
	})
	write(b, string(answer[5000:]))
	old.waitFor("the client is not reading", func() bool {
		for v := range old.ingress.largeValues {
			return v.stream.clientBlocked.Load()
		}
		return false
	})
	old.waitFor("the kernel has it all", func() bool { return unsent(t, b.Conn.(*net.TCPConn)) == 0 })
	noError(t, b.Conn.(*net.TCPConn).SetLinger(0))
	b.Close() // resets it
	young := startIngress(t, cfg, sendTo(0))
	young.waitFor("the new process serves", young.ingress.acceptingClients.Load)
	old.waitForNoRequests()
	old.onLoop(old.ingress.migrateValues)
	receive(t, old.ended)
	if got := w.bulk(); !bytes.Equal(got, text) {
		t.Fatalf("%d bytes came, of %d", len(got), len(text))
	}
}
