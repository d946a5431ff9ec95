package ingress

import (
	"fmt"
	"os"
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
			if c.requestCount == requests && c.output != nil && allFinal(c.answerSlots) {
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
	path, err := hotrestart.SocketPath(os.TempDir(), r.ingress.cfg.Name)
	if err != nil {
		t.Fatal(err)
	}
	link := dialAsSuccessor(t, path)
	completeHandover(t, link)
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
	path, err := hotrestart.SocketPath(os.TempDir(), r.ingress.cfg.Name)
	if err != nil {
		t.Fatal(err)
	}
	link := dialAsSuccessor(t, path)
	completeHandover(t, link) // Ready has no body, as that of older versions
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
		p.receiveAnswers([]byte("+PONG\r\n"))
	}
	_, accepted := pair(t)
	if err := r.ingress.resumeClient(accepted, nil, p.takeAnswers()); err == nil {
		t.Error("a connection with more answers than a pipeline has was accepted")
	}
	if len(p.takeAnswers()) != 0 {
		t.Error("the answers stay for the next connection")
	}
}
