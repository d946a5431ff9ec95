package ingress

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/internal/dataplane/sockets"
)

// clientWithUndeliveredAnswer returns a client that has got an answer of which its kernel has accepted only a part, and the ingress's side of
// its connection. The ingress has written all of it.
func (r *testIngress) clientWithUndeliveredAnswer(conns chan *testConn) (*testConn, *clientConn) {
	r.t.Helper()
	go serveBackendWith(conns, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", resp.MaxValueBytes, strings.Repeat("v", resp.MaxValueBytes)))
	w := r.clientWithReceiveBuffer(8 << 10)
	w.send(lookCommand("long")...)
	var c *clientConn
	r.waitFor("the kernel has the whole answer", func() bool {
		for c = range r.ingress.clients.conns {
			return c.callReceived && c.fullyAnswered() && !c.delivered()
		}
		return false
	})
	return w, c
}

// advance moves the ingress's clock, and sweeps idle connections.
func (r *testIngress) advance(seconds float64) {
	r.onLoop(func() {
		r.ingress.now += seconds
		r.ingress.clients.sweep(r.ingress)
	})
	r.onLoop(func() {}) // by then, the timers that are due have run
}

// expectUndeliveredAnswer reads the answer of clientWithUndeliveredAnswer, and then rejections until the connection ends without a reset.
func (w *testConn) expectUndeliveredAnswer() {
	w.t.Helper()
	if got := w.bulk(); len(got) != resp.MaxValueBytes {
		w.t.Fatalf("got %d bytes of the answer, want all %d", len(got), resp.MaxValueBytes)
	}
	for {
		line, err := w.r.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return
		}
		if err != nil || !strings.HasPrefix(line, "-BUSY") {
			w.t.Fatalf("behind the answer: got %q, error %v, want rejections and the end of the connection", line, err)
		}
	}
}

// Guards against a shutdown that cuts off a client while it reads its answer (review/8): its connection was closed 1.5 s after the sending
// side, and its next command was answered by a reset. More commands come than a connection may have in flight.
func TestShutdown_WaitsForSlowReader(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := testConfig(addr)
	cfg.Settings.Classes[0].DeadlineS = maxKillDeadlineS
	r := startIngress(t, cfg, sendTo(0))
	w, c := r.clientWithUndeliveredAnswer(conns)
	r.terminate()
	r.waitFor("the shutdown closes connections", func() bool { return r.ingress.shutdown.closingClients })
	r.advance(2.2)
	for i := range 2 * maxPipelinedCommands {
		w.send(lookCommand(fmt.Sprint("next", i))...)
	}
	r.waitFor("the commands are read", func() bool { return c.state == connClosed || c.silent() && c.socket.Waiting() })
	w.expectUndeliveredAnswer()
	receive(t, r.ended)
}

// Guards against requests that run for a client which can't receive their answers before the end of a shutdown or drain: while it lags behind
// its answers, what it sends is rejected, and its connection stays open until it has read them.
func TestShutdown_LaggingClientIsRejected(t *testing.T) {
	for name, end := range map[string]func(*testIngress){
		"shutdown": func(r *testIngress) { r.terminate() },
		"drain":    func(r *testIngress) { r.onLoop(func() { _ = r.ingress.startDrain() }) },
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			cfg := testConfig(addr)
			cfg.Settings.Classes[0].DeadlineS = maxKillDeadlineS
			r := startIngress(t, cfg, sendTo(0))
			w, c := r.clientWithUndeliveredAnswer(conns)
			receive(t, r.decider.requests)
			end(r)
			r.waitFor("the client lags", func() bool { return c.lagging })
			w.send(lookCommand("late")...)
			if got := w.bulk(); len(got) != resp.MaxValueBytes {
				t.Fatalf("got %d bytes of the answer, want all %d", len(got), resp.MaxValueBytes)
			}
			if got := w.line(); got != "-BUSY" {
				t.Errorf("request of a client that lags: got %q, want -BUSY", got)
			}
			if w.line() != "" {
				t.Error("the connection did not end")
			}
			if len(r.decider.requests) != 0 {
				t.Error("the request reached the decider")
			}
		})
	}
}

// Guards against a client that counts as lagging because something is always under way to it: what counts is the age of the oldest byte.
func TestDeliveryLag_CountsFromOldestByte(t *testing.T) {
	var lag deliveryLag
	for i, step := range []struct {
		now            float64
		written, acked uint64
		unwritten      int
		want           float64
	}{
		{100, 1000, 1000, 0, 0},
		{100.1, 2000, 1000, 0, 0}, // written since: up to 0.1 s ago, which is not known
		{100.2, 3000, 2000, 0, 0},
		{100.3, 4000, 2500, 0, 0.1}, // of the 3000 that were written by 100.2
		{100.5, 4000, 2999, 0, 0.3},
		{100.6, 4000, 3000, 0, 0},
		{100.9, 4000, 3999, 0, 0.3},
		{101, 4000, 4000, 5000, 0}, // more waits than the kernel holds
		{101.2, 6000, 5900, 3000, 0.2},
		{101.3, 8000, 8000, 1000, 0.3},
		{101.4, 8500, 8500, 0, 0}, // less came than there could have been: nothing is owed
	} {
		got := lag.update(step.now, sockets.SendProgress{Written: step.written, Acked: step.acked}, step.unwritten)
		if math.Abs(got-step.want) > 1e-6 {
			t.Errorf("step %d: lag of %v s, want %v", i, got, step.want)
		}
	}
}

// Guards against a client that is cut off while it reads its last answer because its ingress is upgraded: a connection whose sending side is
// closed does not move to the new process, and was closed 1 s after its reader had stopped.
func TestHotRestart_WaitsForSlowReaderOfClosedSide(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	cfg.Settings.Classes[0].DeadlineS = maxKillDeadlineS
	r := startIngress(t, cfg, sendTo(0))
	w, c := r.clientWithUndeliveredAnswer(conns)
	var began float64
	r.onLoop(func() {
		began = r.ingress.now
		r.ingress.closeSendingSide(c, closeIdleTimeout)
	})
	link := r.startHandover()
	defer link.Close() // the hand-over lasts until then
	r.waitFor("some time has passed", func() bool { return r.ingress.clock.Now() > began+discardTimeout.Seconds() })
	w.send(lookCommand("next")...)
	w.expectUndeliveredAnswer()
	receive(t, r.ended)
}
