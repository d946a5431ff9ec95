package ingress

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"eiderspread/internal/dataplane/resp"
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
