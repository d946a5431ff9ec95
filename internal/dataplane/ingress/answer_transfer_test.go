package ingress

import (
	"fmt"
	"strings"
	"testing"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/dataplane/resp"
)

// unreadValueBytes is the size of a value that is buffered, and of which a client's kernel holds few.
const unreadValueBytes = resp.MaxValueBytes - 1000

// unreadValue returns the value that answers the request of a number.
func unreadValue(i int) string { return strings.Repeat(string(rune('a'+i%26)), unreadValueBytes) }

// serveUnreadValues has the backend answer the requests "u0", "u1" and so on with their values.
func serveUnreadValues(conns chan *testConn) {
	for w := range conns {
		go func() {
			for {
				args := w.command()
				if args == nil {
					return
				}
				var i int
				_, _ = fmt.Sscanf(args[2], "u%d", &i) // 0 for any other id
				write(w, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", unreadValueBytes, unreadValue(i)))
			}
		}()
	}
}

// clientWithUnreadAnswers returns a client that has sent requests "u0" and so on, and waits until all of their answers are final. The client
// has read none, so that most of them wait in the process.
func (r *testIngress) clientWithUnreadAnswers(requests int) *testConn {
	r.t.Helper()
	w := r.clientWithReceiveBuffer(8 << 10)
	r.setTinyClientBuffers(w)
	for i := range requests {
		w.send(lookCommand(fmt.Sprint("u", i))...)
	}
	r.waitFor("all answers are final, and one is being written", func() bool {
		for c := range r.ingress.clients.conns {
			if c.requestCount == requests && c.output != nil && len(r.ingress.requests) == 0 {
				return true
			}
		}
		return false
	})
	return w
}

// expectUnreadAnswers reads the answers to requests from to to-1, which must be whole and in order.
func (w *testConn) expectUnreadAnswers(from, to int) {
	w.t.Helper()
	for i := from; i < to; i++ {
		if got := w.bulk(); string(got) != unreadValue(i) {
			w.t.Fatalf("answer %d: got %d bytes, want the value of %d bytes", i, len(got), unreadValueBytes)
		}
	}
}

// Guards against answers that are lost at an upgrade because their client reads them slowly (review/7): the old process kept them and ended.
// They go with the connection, through two upgrades in a row, and the last process reads the client's next command.
func TestHotRestart_TransfersUnreadAnswers(t *testing.T) {
	const requests = 20
	addr, conns := listenBackend(t)
	go serveUnreadValues(conns)
	cfg := adminConfig(t, addr)
	first := startIngress(t, cfg, sendTo(0))
	cfg.Listen = first.ingress.listener.Addr().String()
	available := int64(0)
	first.onLoop(func() { available = first.ingress.inputBudget.Available() })
	w := first.clientWithUnreadAnswers(requests)
	second := startIngress(t, cfg, sendTo(0))
	receive(t, first.ended)
	w.expectUnreadAnswers(0, 3)
	third := startIngress(t, cfg, sendTo(0))
	receive(t, second.ended)
	w.expectUnreadAnswers(3, requests)
	w.send(lookCommand("next")...)
	if q := receive(t, third.decider.requests); q.ID != "next" {
		t.Errorf("third process got request %+v, want next", q)
	}
	w.bulk()
	third.waitFor("the link has ended and no memory is reserved", func() bool {
		return third.ingress.predecessor == nil && third.ingress.inputBudget.Available() == available
	})
}

// Guards the limit on commands of a connection, which bounds its unread answers: answers from the predecessor count.
func TestHotRestart_UnreadAnswersHoldPermits(t *testing.T) {
	addr, conns := listenBackend(t)
	go serveUnreadValues(conns)
	cfg := adminConfig(t, addr)
	first := startIngress(t, cfg, sendTo(0))
	cfg.Listen = first.ingress.listener.Addr().String()
	w := first.clientWithUnreadAnswers(maxPipelinedCommands)
	for i := range maxPipelinedCommands { // each of these is read once there is a permit for it
		w.send(lookCommand(fmt.Sprint("u", maxPipelinedCommands+i))...)
	}
	second := startIngress(t, cfg, sendTo(0))
	receive(t, first.ended)
	second.waitFor("the reader has no permit left", func() bool {
		for c := range second.ingress.clients.conns {
			return len(c.pipelinePermits) == maxPipelinedCommands
		}
		return false
	})
	second.onLoop(func() {
		for c := range second.ingress.clients.conns {
			if unread := len(c.answerSlots) + c.output.answers; unread > maxPipelinedCommands {
				t.Errorf("%d commands with unread answers, want at most %d", unread, maxPipelinedCommands)
			}
		}
	})
	w.expectUnreadAnswers(0, 2*maxPipelinedCommands)
}

// Guards against answers that are lost because the new process dies before it has the connection: the old process writes them.
func TestHotRestart_UnreadAnswersStayWhenSuccessorDies(t *testing.T) {
	const requests = 5
	addr, conns := listenBackend(t)
	go serveUnreadValues(conns)
	r := startIngress(t, adminConfig(t, addr), sendTo(0))
	w := r.clientWithUnreadAnswers(requests)
	link := r.startHandover()
	r.waitForReadersStopped()
	r.onLoop(func() { // nobody sends from this queue
		r.ingress.successor.transfers = make(chan transfer, 8)
		r.ingress.successor.features = hotrestart.AcceptsAnswers
		for c := range r.ingress.clients.conns {
			r.ingress.transferUnreadAnswers(c)
		}
	})
	r.waitFor("the connection is queued", func() bool { return len(r.ingress.successor.transfers) == 1 })
	link.Close()
	r.waitFor("the death is handled", func() bool { return r.ingress.successor.stage == handoverNone })
	w.expectUnreadAnswers(0, requests)
}

// Guards an upgrade to a version that does not accept answers: the old process keeps the connection and goes on writing.
func TestHotRestart_OlderSuccessorGetsNoAnswers(t *testing.T) {
	const requests = 5
	addr, conns := listenBackend(t)
	go serveUnreadValues(conns)
	r := startIngress(t, adminConfig(t, addr), sendTo(0))
	w := r.clientWithUnreadAnswers(requests)
	link := r.startHandover() // Ready has no body, as that of older versions
	r.waitForReadersStopped()
	w.expectUnreadAnswers(0, requests)
	m, err := link.Receive(testTimeout)
	if err != nil || m.Kind != hotrestart.Client {
		t.Errorf("got message %v, error %v, want the connection once its answers are written", m.Kind, err)
	}
	m.Close()
}

// Guards against a predecessor whose answers for one connection take any amount of memory.
func TestHotRestart_TooManyAnswersRejected(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	p := &predecessorState{}
	for range 2 * maxPipelinedCommands {
		p.receiveSlot(r.ingress, hotrestart.Message{Kind: hotrestart.Answer, Body: []byte("+PONG\r\n")})
	}
	_, accepted := pair(t)
	if err := r.ingress.resumeClient(accepted, nil, p.takeSlots()); err == nil {
		t.Error("a connection with more answers than a pipeline has was accepted")
	}
	if len(p.takeSlots()) != 0 {
		t.Error("the answers stay for the next connection")
	}
}

// serveUnreadAndLarge is serveUnreadValues with a backend that answers "l0", "l1" and so on with large values.
func serveUnreadAndLarge(conns chan *testConn) {
	for w := range conns {
		go func() {
			for args := w.command(); args != nil; args = w.command() {
				var i int
				if _, err := fmt.Sscanf(args[2], "l%d", &i); err == nil {
					_, reply := randomLargeValue(largeUnreadBytes, uint64(i))
					_, _ = w.Write(reply)
					continue
				}
				_, _ = fmt.Sscanf(args[2], "u%d", &i)
				write(w, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", unreadValueBytes, unreadValue(i)))
			}
		}()
	}
}

// largeUnreadBytes is the size of a large value that kernels can't hold for a client with tiny buffers.
const largeUnreadBytes = 1 << 20

// Guards against large values that an upgrade cuts off because they wait behind answers that their client has not read, or have more such
// answers behind them than one message holds. Two upgrades in a row: while the values wait, and while one is under way.
func TestHotRestart_TransfersUnreadLargeValues(t *testing.T) {
	order := []string{"u0", "u1", "l2", "u3", "u4", "u5", "l6", "l7"}
	addr, conns := listenBackend(t)
	go serveUnreadAndLarge(conns)
	cfg := adminConfig(t, addr)
	first := startIngress(t, cfg, sendTo(0))
	cfg.Listen = first.ingress.listener.Addr().String()
	w := first.clientWithReceiveBuffer(8 << 10)
	first.setTinyClientBuffers(w)
	for _, id := range order {
		w.send(lookCommand(id)...)
	}
	first.waitFor("all values have come", func() bool {
		for c := range first.ingress.clients.conns {
			if c.requestCount < len(order) || c.output == nil {
				return false
			}
			for _, slot := range c.answerSlots {
				if slot.answer == nil && slot.value == nil {
					return false
				}
			}
		}
		return len(first.ingress.largeValues) == 3
	})
	current := startIngress(t, cfg, sendTo(0))
	receive(t, first.ended)
	for i, id := range order {
		if id[0] == 'u' {
			w.expectUnreadAnswers(i, i+1)
			continue
		}
		want, _ := randomLargeValue(largeUnreadBytes, uint64(i))
		if i == 2 {
			next := startIngress(t, cfg, sendTo(0))
			next.waitFor("the next serves", next.ingress.acceptingClients.Load)
			current.waitForReadersStopped()
			current.onLoop(current.ingress.migrateValues) // as if migrateValuesAfterS had passed
			receive(t, current.ended)
			current = next
		}
		if got := w.bulk(); string(got) != string(want) {
			t.Fatalf("answer %d: got %d bytes, want the value of %d bytes", i, len(got), len(want))
		}
	}
	w.send("PING")
	if got := w.line(); got != "+PONG" {
		t.Errorf("behind the values: got %q, want +PONG", got)
	}
	current.waitFor("no value and no backend connection is left", func() bool {
		return len(current.ingress.largeValues) == 0 && current.ingress.backends.openConns == 0
	})
}

// Guards against backend connections and a client that are left behind when a client disconnects while its large value waits in the new
// process.
func TestHotRestart_ClientOfWaitingValueDisconnects(t *testing.T) {
	addr, conns := listenBackend(t)
	go serveUnreadAndLarge(conns)
	cfg := adminConfig(t, addr)
	first := startIngress(t, cfg, sendTo(0))
	cfg.Listen = first.ingress.listener.Addr().String()
	w := first.clientWithReceiveBuffer(8 << 10)
	first.setTinyClientBuffers(w)
	w.send(lookCommand("u0")...)
	w.send(lookCommand("l1")...)
	first.waitFor("the value waits", func() bool { return len(first.ingress.largeValues) == 1 })
	second := startIngress(t, cfg, sendTo(0))
	receive(t, first.ended)
	second.waitFor("the value is there", func() bool { return len(second.ingress.largeValues) == 1 })
	w.Close()
	second.waitFor("nothing is left", func() bool {
		return len(second.ingress.largeValues) == 0 && second.ingress.backends.openConns == 0 && second.ingress.clients.open() == 0
	})
}
