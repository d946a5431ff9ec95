package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

// randomLargeValue returns a random value of size bytes, and the backend's reply with that value and a load report.
func randomLargeValue(size int, seed uint64) (value []byte, answer []byte) {
	rng := rand.New(rand.NewPCG(seed, 1))
	value = make([]byte, size)
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	return value, fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$12\r\ncpu_share=.5\r\n", size, value)
}

// startLargeValue has a client of r request a large value, and the backend send the first bytes of the reply. It returns the connections of
// the client and the backend, the value, and the rest of the reply.
func startLargeValue(t *testing.T, r *testIngress, conns chan *testConn, id string, first int) (w, b *testConn, value, rest []byte) {
	t.Helper()
	value, answer := randomLargeValue(1<<20, 9)
	w = r.client()
	w.send(lookCommand(id)...)
	w.send("PING") // answered after the value
	b = receive(t, conns)
	if b.command() == nil {
		t.Fatal("the backend got no command")
	}
	write(b, string(answer[:first]))
	r.waitFor("the value is being streamed", func() bool { return len(r.ingress.largeValues) == 1 })
	return w, b, value, answer[first:]
}

// Guards the streaming of values that are too large to be buffered and arrive in pieces of any size: they come byte for byte and in order
// with other answers, their backend connection is used again, and the input budget is not used up.
func TestLargeValue_Streamed(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	w := r.client()
	rng := rand.New(rand.NewPCG(5, 5))
	for round, size := range []int{resp.MaxValueBytes + 1, 300_000, maxLargeValue} {
		value, answer := randomLargeValue(size, uint64(round))
		w.send(lookCommand(fmt.Sprint("large", round))...)
		w.send("PING") // answered after the value
		b := (*testConn)(nil)
		if round == 0 {
			b = receive(t, conns)
			defer func() {
				if len(conns) > 0 {
					t.Error("a new connection to the backend was opened, want the first one used again")
				}
			}()
			conns <- b
		}
		b = receive(t, conns)
		if b.command() == nil {
			t.Fatal("the backend got no command")
		}
		go func() {
			for len(answer) > 0 {
				n := min(len(answer), 1+rng.IntN(9000))
				write(b, string(answer[:n]))
				answer = answer[n:]
			}
		}()
		if got := w.bulk(); !bytes.Equal(got, value) {
			t.Fatalf("got %d bytes, want the value of %d bytes", len(got), size)
		}
		if got := w.line(); got != "+PONG" {
			t.Fatalf("answer after the value: got %q, want +PONG", got)
		}
		if o := receive(t, r.decider.outcomes); o.Status != policy.OK || o.Load == nil || !o.Completed {
			t.Fatalf("got outcome %+v, want a completed one with status OK and a load report", o)
		}
		if round < 2 {
			r.waitFor("the backend connection is idle", func() bool { return len(r.ingress.backends.byID["s0"].idleConns) == 1 })
			conns <- b
		}
	}
	if _, available := r.openResources(); available <= 0 {
		t.Error("the input budget is exhausted")
	}
}

// Guards against a client that reads slowly and makes others wait or uses up memory: only its own backend waits, and the value is not
// buffered. The decider gets the latency of the backend (up to the first byte), not of the client; the test does not check the figure.
func TestLargeValue_SlowClientDelaysOwnBackendOnly(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	_, availableBefore := r.openResources()
	slow := r.client()
	r.shrinkClientBuffers(slow)
	slow.send(lookCommand("slow")...)
	b := receive(t, conns)
	b.command()
	value, answer := randomLargeValue(maxLargeValue, 1)
	wrote := make(chan struct{})
	go func() { write(b, string(answer)); close(wrote) }()
	r.waitFor("the first bytes of the value have arrived", func() bool { q := r.ingress.requests["slow"]; return q != nil && q.attempts[0].firstByteAt > 0 })
	other := r.client()
	other.send("PING")
	if other.line() != "+PONG" {
		t.Error("another client got no answer while one reads slowly")
	}
	if _, available := r.openResources(); availableBefore-available > streamChunkSize+2*inputbuffer.ReadSize {
		t.Errorf("%d bytes of the input budget are reserved, want at most %d", availableBefore-available, streamChunkSize+2*inputbuffer.ReadSize)
	}
	r.onLoop(func() { r.ingress.Cancel("slow", 0) }) // has no effect, as the answer has begun
	if got := slow.bulk(); !bytes.Equal(got, value) {
		t.Fatalf("got %d bytes, want the value of %d bytes", len(got), len(value))
	}
	<-wrote
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Errorf("got outcome %+v, want status OK", o)
	}
}

// Guards against an incomplete large value that looks complete to its client. If none of it was written, the request stays open and still
// gets its answer from the decider.
func TestLargeValue_Truncated(t *testing.T) {
	value, whole := randomLargeValue(200_000, 3)
	for name, c := range map[string]struct {
		answer []byte
		close  bool
		want   policy.Status
	}{
		"cut off":              {whole[:150_000], true, policy.Reset},
		"longer than declared": {append([]byte("*3\r\n$199999\r\n"), append(bytes.Clone(value), "\r\n$-1\r\n$-1\r\n"...)...), false, policy.Reset},
		"too large":            {fmt.Appendf(nil, "*3\r\n$%d\r\n%s", maxLargeValue+1, value), false, policy.Error},
		"little of it":         {fmt.Appendf(nil, "*3\r\n$%d\r\nnoise", 200_000), true, policy.Reset},
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
			t.Errorf("%s: got outcome %+v, want status %v", name, o, c.want)
		}
		if strings.HasPrefix(name, "too") || strings.HasPrefix(name, "little") {
			r.onLoop(func() { r.ingress.Fail("x") })
			if got := w.line(); got != "-ERR failed" {
				t.Errorf("%s: the client got %q, want -ERR failed", name, got)
			}
			continue
		}
		got, _ := io.ReadAll(w.r)
		if _, rest, ok := bytes.Cut(got, []byte("\r\n")); !ok || bytes.HasSuffix(rest, []byte("\r\n")) && len(rest) >= 200_002 {
			t.Errorf("%s: the client got an incomplete value that looks complete", name)
		}
		r.waitFor("no request and no client connection is open", func() bool { return len(r.ingress.requests) == 0 && r.ingress.clients.open() == 0 })
	}
}

// Guards against a client that waits for its next answers until a backend has finished the reply behind a large value (review/2): the client
// has its whole answer, so its connection is free for other answers, a drain or a hand-over while the attempt is still in flight.
func TestLargeValue_NextAnswerDoesNotWaitForReplyEnd(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		r.ingress.backends.replyEndTimeout = testTimeout
	})
	const endOfReply = "$-1\r\n$12\r\ncpu_share=.5\r\n"
	w, b, value, rest := startLargeValue(t, r, conns, "large", 100_000)
	go write(b, strings.TrimSuffix(string(rest), endOfReply))
	if got := w.bulk(); !bytes.Equal(got, value) {
		t.Fatalf("got %d bytes, want the value of %d bytes", len(got), len(value))
	}
	if got := w.line(); got != "+PONG" {
		t.Fatalf("answer behind the value: got %q, want +PONG", got)
	}
	if len(r.decider.outcomes) != 0 {
		t.Error("the answer behind the value came only after the end of the attempt")
	}
	r.onLoop(func() {
		if c := r.ingress.requests["large"].client; !c.fullyAnswered() {
			t.Error("the client's connection counts as in use although all of its answers are written")
		}
	})
	w.send(lookCommand("next")...)
	other := receive(t, conns)
	other.command()
	write(other, servedReply)
	w.expectValue("next request of the client")
	if o := receive(t, r.decider.outcomes); o.ID != "next" {
		t.Fatalf("got outcome %+v, want that of the next request first", o)
	}
	write(b, endOfReply)
	if o := receive(t, r.decider.outcomes); o.ID != "large" || o.Status != policy.OK || o.Load == nil || !o.Completed {
		t.Errorf("got outcome %+v, want a completed one with status OK and a load report", o)
	}
	r.waitFor("both backend connections are idle", func() bool { return len(r.ingress.backends.byID["s0"].idleConns) == 2 })
}

// Guards against an attempt, a request and a backend connection that are held by a reply that does not end properly behind its large value
// (review/2): the attempt has succeeded, without a load report, and the connection is closed.
func TestLargeValue_IncompleteReplyEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		end   string
		close bool
	}{
		"nothing":            {},
		"a part":             {end: "$-1\r\n$12\r\ncpu_sh"},
		"malformed":          {end: "$-1\r\n?"},
		"more than expected": {end: "$-1\r\n$-1\r\n+more\r\n"},
		"end of connection":  {end: "$-1\r\n", close: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startIngress(t, testConfig(addr), func(r *testIngress) {
				sendTo(0)(r)
				r.ingress.backends.replyEndTimeout = 10 * time.Millisecond
			})
			w := r.client()
			w.send(lookCommand("x")...)
			b := receive(t, conns)
			b.command()
			value, _ := randomLargeValue(100_000, 3)
			write(b, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n%s", len(value), value, tc.end))
			if tc.close {
				b.Close()
			}
			if got := w.bulk(); !bytes.Equal(got, value) {
				t.Fatalf("got %d bytes, want the value of %d bytes", len(got), len(value))
			}
			if o := receive(t, r.decider.outcomes); o.Status != policy.OK || o.Load != nil || !o.Completed {
				t.Errorf("got outcome %+v, want a completed one with status OK and no load report", o)
			}
			r.waitFor("no request and no backend connection is open", func() bool {
				return len(r.ingress.requests) == 0 && len(r.ingress.largeValues) == 0 && r.ingress.backends.openConns == 0
			})
			if w.send("PING"); w.line() != "+PONG" {
				t.Error("PING after the value was not answered with +PONG")
			}
		})
	}
}

// Guards against backend connections and requests that stay open after a client has disconnected, in the middle of a large value or while
// the value still waits behind another answer.
func TestLargeValue_ClientDisconnects(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) {
			if q.ID != "first" {
				r.ingress.Send(q.ID, "s0", 0)
			}
		}
	})
	_, answer := randomLargeValue(maxLargeValue, 4)
	for _, queued := range []bool{false, true} {
		w := r.client()
		if queued {
			w.send(lookCommand("first")...) // never answered: the value waits behind it
			receive(t, r.decider.requests)
		}
		w.send(lookCommand("x")...)
		receive(t, r.decider.requests)
		b := receive(t, conns)
		b.command()
		go write(b, string(answer))
		r.waitFor("the first bytes of the value have arrived", func() bool { q := r.ingress.requests["x"]; return q != nil && q.attempts[0].firstByteAt > 0 })
		w.Close()
		if o := receive(t, r.decider.outcomes); o.Status != policy.Cancelled || !o.Completed {
			t.Errorf("got outcome %+v, want a completed one with status Cancelled", o)
		}
		r.waitFor("no request and no backend connection is open", func() bool { return len(r.ingress.requests) == 0 && r.ingress.backends.openConns == 0 })
		if queued {
			receive(t, r.decider.disconnects)
		}
	}
}

// Guards against large values that a hot restart cuts off: the new process streams the rest of the value, then the answers queued behind
// it, and reads the client's further input. The old process ends without waiting for the value.
func TestLargeValue_MigratesToSuccessor(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	predecessor := startIngress(t, cfg, sendTo(0))
	cfg.Listen = predecessor.ingress.listener.Addr().String()
	w, b, value, rest := startLargeValue(t, predecessor, conns, "large", 100_000)
	write(w, command(lookCommand("next")...)[:40])
	successor := startIngress(t, cfg, sendTo(0))
	successor.waitFor("the new process serves", successor.ingress.acceptingClients.Load)
	predecessor.waitForReadersStopped()
	predecessor.onLoop(predecessor.ingress.migrateValues) // as if migrateValuesAfterS had passed
	receive(t, predecessor.ended)
	successor.waitFor("the new process has the value", func() bool { return len(successor.ingress.largeValues) == 1 })
	go func() {
		for len(rest) > 0 {
			n := min(len(rest), 5000)
			write(b, string(rest[:n]))
			rest = rest[n:]
		}
	}()
	if got := w.bulk(); !bytes.Equal(got, value) {
		t.Fatalf("got %d bytes, want the value of %d bytes", len(got), len(value))
	}
	if got := w.line(); got != "+PONG" {
		t.Fatalf("answer after the value: got %q, want +PONG", got)
	}
	write(w, command(lookCommand("next")...)[40:])
	if q := receive(t, successor.decider.requests); q.ID != "next" {
		t.Errorf("got request %+v, want request next, sent in two halves", q)
	}
	receive(t, conns)
	successor.waitFor("the value is finished and one backend connection is open", func() bool {
		return len(successor.ingress.largeValues) == 0 && successor.ingress.backends.openConns == 1
	})
}

// Guards against an answer that is lost when a large value migrates while its client has another request open: the value migrates only once
// that request has its answer, here a failure at the end of the hand-over.
func TestLargeValue_MigratesOnceQueuedAnswersKnown(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	predecessor := startIngress(t, cfg, sendTo(0))
	cfg.Listen = predecessor.ingress.listener.Addr().String()
	w, b, value, rest := startLargeValue(t, predecessor, conns, "large", 100_000)
	w.send(lookCommand("behind")...)
	receive(t, conns).command()
	successor := startIngress(t, cfg, sendTo(0))
	successor.waitFor("the new process serves", successor.ingress.acceptingClients.Load)
	predecessor.waitForReadersStopped()
	predecessor.onLoop(func() {
		predecessor.ingress.migrateValues()
		for v := range predecessor.ingress.largeValues {
			if v.stream.stopping {
				t.Error("the value migrates although the answer behind it is not final")
			}
		}
		predecessor.ingress.failOpenRequests()
	})
	receive(t, predecessor.ended)
	go write(b, string(rest))
	if got := w.bulk(); !bytes.Equal(got, value) {
		t.Fatalf("got %d bytes, want the value of %d bytes", len(got), len(value))
	}
	if got := w.line() + w.line(); got != "+PONG-ERR failed" {
		t.Fatalf("answers after the value: got %q, want +PONG and -ERR failed", got)
	}
}

// Guards against a hand-over that waits for a backend which stops just before the last two bytes of a value: a stop that is requested between
// the last write to the client and that read must be noticed before the read.
func TestLargeValue_StopBeforeEndOfValue(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	_, backendSide := pair(t) // sends nothing
	_, clientSide := pair(t)
	c, err := r.ingress.newClientConn(clientSide)
	if err != nil {
		t.Fatal(err)
	}
	stream := &valueStream{backendConn: &backendConn{conn: backendSide}} // all bytes of the value are read and written
	stream.stopRequested.Store(true)
	input := inputbuffer.New(&r.ingress.inputBudget)
	began := time.Now()
	if err := stream.run(r.ingress, stream.backendConn, &input, c); !errors.Is(err, errMigrating) {
		t.Errorf("got %v, want %v", err, errMigrating)
	}
	if took := time.Since(began); took >= stallTimeout {
		t.Errorf("the stream stopped after %v, want at once", took)
	}
}

// Guards against a large value that is lost because the new process dies before it has received it: the old process resumes the stream.
func TestLargeValue_ResumesWhenSuccessorDies(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, adminConfig(t, addr), sendTo(0))
	w, b, value, rest := startLargeValue(t, r, conns, "large", 100_000)
	link := r.startHandover()
	r.waitForReadersStopped()

	r.onLoop(func() {
		r.ingress.successor.transfers = make(chan transfer, 8)
		r.ingress.migrateValues()
	})
	r.waitFor("the stream has stopped", func() bool { return len(r.ingress.successor.transfers) == 1 })

	link.Close()
	go write(b, string(rest))
	if got := w.bulk(); !bytes.Equal(got, value) {
		t.Fatalf("got %d bytes, want the value of %d bytes", len(got), len(value))
	}
	if got := w.line(); got != "+PONG" {
		t.Fatalf("answer after the value: got %q, want +PONG", got)
	}
	if w.send("PING"); w.line() != "+PONG" {
		t.Error("PING after the value was not answered with +PONG")
	}
}

// Guards against a slow client that is cut off only seconds after the backend of its large value has disconnected: a value that can't be
// completed ends at once, although its client is not reading.
func TestLargeValue_EndsWithBackend(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	w := r.client()
	r.setTinyClientBuffers(w)
	_, answer := randomLargeValue(maxLargeValue, 3)
	w.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	wrote := make(chan int)
	go func() {
		left := 0
		defer func() { wrote <- left }()
		for rest := answer[:len(answer)-1]; len(rest) > 0; { // until the backend can't write any more
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
	t.Logf("%d bytes of the reply were not written by the backend", left)
	noError(t, b.Conn.(*net.TCPConn).SetLinger(0))
	b.Close()
	if o := receive(t, r.decider.outcomes); o.Status != policy.Reset {
		t.Errorf("got status %v, want %v", o.Status, policy.Reset)
	}
}

// Guards against a large value that is truncated by a hot restart after its backend has sent all of it and disconnected: the bytes that the
// kernel still holds migrate with the connection.
func TestLargeValue_OfDeadBackendMigrates(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	predecessor := startIngress(t, cfg, sendTo(0))
	cfg.Listen = predecessor.ingress.listener.Addr().String()
	w := predecessor.client()
	predecessor.setTinyClientBuffers(w)
	value, answer := randomLargeValue(150_000, 4)
	w.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	write(b, string(answer[:5000]))
	predecessor.waitFor("the value is being streamed", func() bool {
		for v := range predecessor.ingress.largeValues {
			noError(t, v.stream.backendConn.conn.SetReadBuffer(400<<10))
			return true
		}
		return false
	})
	write(b, string(answer[5000:]))
	predecessor.waitFor("writes to the client are blocked", func() bool {
		for v := range predecessor.ingress.largeValues {
			return v.stream.clientBlocked.Load()
		}
		return false
	})
	predecessor.waitFor("the kernel has received the whole reply", func() bool { return unackedBytes(t, b.Conn.(*net.TCPConn)) == 0 })
	noError(t, b.Conn.(*net.TCPConn).SetLinger(0))
	b.Close() // resets the connection
	successor := startIngress(t, cfg, sendTo(0))
	successor.waitFor("the new process serves", successor.ingress.acceptingClients.Load)
	predecessor.waitForReadersStopped()
	predecessor.onLoop(predecessor.ingress.migrateValues)
	receive(t, predecessor.ended)
	if got := w.bulk(); !bytes.Equal(got, value) {
		t.Fatalf("got %d bytes, want the value of %d bytes", len(got), len(value))
	}
}
