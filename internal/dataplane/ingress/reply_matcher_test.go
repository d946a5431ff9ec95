package ingress

import (
	"fmt"
	"testing"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

// productLimits are the limits of the product, which startIngress replaces.
var productLimits = replyLimits{duplicateWindowS, noValueWindowS, noValueRestS}

func billCommand(id string) []string {
	return []string{"CALL.POST", customer, id, "c=bill,t=basic,d=600000,units=2,spread=2,first=1", "body"}
}

// replyWith returns a backend's reply with a value and a load report.
func replyWith(value, load string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(load), load)
}

// Guards against a late second answer that serves another request (review/1): how late it may be is measured from the end of the first one to the
// moment at which the next command is written.
func TestReplyMatcher_AcceptsValueOnce(t *testing.T) {
	var m replyMatcher
	for i, step := range []struct {
		commandAt, endedAt float64
		value              string
		want               bool
	}{
		{1, 1.1, "a", true},
		{1.2, 0, "a", false},    // soon after
		{1.2, 4, "b", true},     // the value is written slowly
		{4.9, 0, "b", false},    // less than the window after its end
		{4.9, 0, "a", true},     // ended long before
		{5, 5.1, "c", true},     //
		{5.2, 5.3, "d", true},   //
		{5.4, 0, "c", false},    // behind another value
		{6.4, 6.5, "d", true},   // the connection had been silent for the whole window: the backend repeats a value
		{6.5, 6.6, "e", true},   //
		{6.6, 0, "d", false},    //
		{7.55, 7.6, "d", true},  //
		{7.6, 7.6, "e2", true},  //
		{7.61, 0, "d", false},   //
		{9, 9.1, "large", true}, //
	} {
		m.expect(step.commandAt)
		got := m.acceptValue(hashValue([]byte(step.value)), productLimits)
		if got != step.want {
			t.Errorf("step %d: accepted %v, want %v", i, got, step.want)
		}
		if got && step.endedAt > 0 {
			m.endValue(step.endedAt)
		}
	}
	for i := range 3 * maxRecentValues {
		m.expect(10)
		if m.acceptValue(uint64(i), productLimits); len(m.values) > maxRecentValues {
			t.Fatalf("%d values are kept, want at most %d", len(m.values), maxRecentValues)
		}
		m.endValue(10)
	}
	if m.expect(10); m.acceptValue(uint64(2*maxRecentValues), productLimits) {
		t.Error("a value was accepted that came 256 values ago")
	}
}

// Guards against another request's -BUSY that is taken as proof that an unsafe request never ran (review/6): after a reply without a value, the
// connection rests, carries no unsafe command for the window, and ends with the next reply without a value.
func TestReplyMatcher_ReplyWithoutValue(t *testing.T) {
	busy, value := callprotocol.Result{Status: policy.Rejected}, callprotocol.Result{Status: policy.OK}
	var m replyMatcher
	m.expect(1)
	m.recordReply(2, value, productLimits)
	m.idleSince = 2
	if m.mustRest(2, false, productLimits) || !m.mustRest(2, true, productLimits) || m.mustRest(2.01, true, productLimits) {
		t.Error("after a value: want no rest for a safe command, the reuse delay for an unsafe one")
	}
	m.expect(2.01)
	m.recordReply(3, busy, productLimits)
	for at, want := range map[float64][2]bool{3.05: {true, true}, 3.15: {false, true}, 3.29: {false, true}, 3.31: {false, false}} {
		if safe, unsafe := m.mustRest(at, false, productLimits), m.mustRest(at, true, productLimits); safe != want[0] || unsafe != want[1] {
			t.Errorf("at %v, after -BUSY at 3: a safe command must rest %v, an unsafe one %v, want %v", at, safe, unsafe, want)
		}
	}
	m.expect(3.15)
	m.recordReply(3.2, value, productLimits)
	if m.expect(3.25); m.isRetired() {
		t.Error("retired after a value")
	}
	if m.recordReply(3.6, busy, productLimits); m.reason() != retireRepeatedError {
		t.Errorf("a second reply without a value: retired for %v, want %v", m.reason(), retireRepeatedError)
	}
}

// Guards unsafe requests against failing for a duplicate that another connection would not have carried.
func TestReplyMatcher_SelectIdle(t *testing.T) {
	var conns []*backendConn // oldest first
	for _, idleSince := range []float64{1, 1.5, 1.998} {
		c := &backendConn{}
		c.replies.idleSince = idleSince
		conns = append(conns, c)
	}
	conns[0].replies.noValueAt = 1.95
	for i, step := range []struct {
		conns       []*backendConn
		mustRunOnce bool
		want        int
	}{{conns, false, 1}, {conns, true, 1}, {conns[2:], false, 0}, {conns[2:], true, -1}, {conns[:1], false, -1}, {conns[:1], true, -1}, {nil, false, -1}} {
		if got := selectIdle(step.conns, 2, step.mustRunOnce, productLimits); got != step.want {
			t.Errorf("step %d: selected %d, want %d", i, got, step.want)
		}
	}
}

// duplicateStart has a client of r served by a backend with first, and sends a second request on the same connection.
func duplicateStart(t *testing.T, r *testIngress, conns chan *testConn, first string) (client, backend *testConn) {
	t.Helper()
	client = r.client()
	client.send(lookCommand("a")...)
	backend = receive(t, conns)
	backend.command()
	write(backend, first)
	client.bulk()
	receive(t, r.decider.outcomes)
	client.send(lookCommand("b")...)
	if got := backend.command(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the connection received %q, want the call with id b", got)
	}
	return client, backend
}

// expectDuplicate checks that the reply to the second request was taken for a duplicate, and its connection closed.
func expectDuplicate(t *testing.T, r *testIngress, backend *testConn) {
	t.Helper()
	if o := receive(t, r.decider.outcomes); o.Status != policy.Error || o.Completed {
		t.Errorf("got outcome %+v, want Error, not completed", o)
	}
	if backend.command() != nil {
		t.Error("another command was written to the connection")
	}
	r.waitFor("the connection is counted", func() bool { return r.ingress.counters.retired[retireDuplicate] == 1 })
}

// Guards against second answers that served another request because their load report was newer (rig second of the review), or because the
// ingress read them late, as beside hold-ups of the ingress.
func TestReplyMatcher_DuplicateOfSmallValue(t *testing.T) {
	for name, waitS := range map[string]float64{"newer load report": 0, "read late": 0.2} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startIngress(t, testConfig(addr), func(r *testIngress) {
				sendTo(0)(r)
				r.ingress.backends.replyLimits = productLimits
			})
			_, backend := duplicateStart(t, r, conns, replyWith("value", "cpu_share=0.5"))
			began := r.ingress.clock.Now()
			r.waitFor("time has passed", func() bool { return r.ingress.clock.Now() >= began+waitS })
			write(backend, replyWith("value", "cpu_share=0.6"))
			expectDuplicate(t, r, backend)
		})
	}
}

// Guards against the same for a value that takes longer to arrive than the window: it counts from the end of the reply (review/1).
func TestReplyMatcher_DuplicateOfSlowLargeValue(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		r.ingress.backends.replyLimits = productLimits
	})
	text, answer := randomLargeValue(resp.MaxValueBytes+1, 7)
	client := r.client()
	client.send(lookCommand("a")...)
	backend := receive(t, conns)
	backend.command()
	half := len(answer) / 2
	write(backend, string(answer[:half]))
	began := r.ingress.clock.Now()
	r.waitFor("the window has passed", func() bool { return r.ingress.clock.Now() > began+duplicateWindowS+0.1 })
	write(backend, string(answer[half:]))
	if got := client.bulk(); string(got) != string(text) {
		t.Fatalf("the client got %d bytes, want the large value of %d bytes", len(got), len(text))
	}
	receive(t, r.decider.outcomes)
	client.send(lookCommand("b")...)
	if backend.command() == nil {
		t.Fatal("the connection did not receive the second command")
	}
	go write(backend, string(answer)) // the ingress may close the connection before all of it is written
	expectDuplicate(t, r, backend)
}

// Guards unsafe requests against a -BUSY that is not theirs: a connection that has carried one gets none of them in the window, and a safe
// request's -BUSY in the window ends it.
func TestReplyMatcher_BusyBehindBusy(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		r.ingress.backends.replyLimits = replyLimits{duplicateWindowS: 3600, noValueWindowS: 3600}
	})
	client := r.client()
	client.send(lookCommand("a")...)
	first := receive(t, conns)
	first.command()
	write(first, "-BUSY\r\n")
	receive(t, r.decider.outcomes)
	unsafe := r.client()
	unsafe.send(billCommand("unsafe")...)
	second := receive(t, conns)
	if got := second.command(); len(got) != 5 || got[2] != "unsafe" {
		t.Fatalf("the new connection received %q, want the call with id unsafe", got)
	}
	safe := r.client()
	safe.send(lookCommand("safe")...)
	if got := first.command(); len(got) != 4 || got[2] != "safe" {
		t.Fatalf("the first connection received %q, want the call with id safe", got)
	}
	write(first, "-BUSY\r\n")
	if o := receive(t, r.decider.outcomes); o.ID != "safe" || o.Status != policy.Rejected {
		t.Errorf("got outcome %+v, want safe, Rejected", o)
	}
	if first.command() != nil {
		t.Error("another command was written to the connection that may be one reply behind")
	}
	r.onLoop(func() {
		if n := r.ingress.counters.retired[retireRepeatedError]; n != 1 {
			t.Errorf("%d connections counted as retired for a repeated error, want 1", n)
		}
	})
}

// Guards against a late second answer that the reader has taken from the socket when the loop finds the socket empty and writes the next
// command.
func TestReplyMatcher_BytesTakenBeforeCommand(t *testing.T) {
	for _, reply := range []string{servedReply, "-BUSY\r\n"} {
		t.Run(reply[:1], func(t *testing.T) {
			r := startIngress(t, testConfig("127.0.0.1:1"), sendTo(0))
			backend, conn := tcpPair(t)
			var c *backendConn
			r.onLoop(func() {
				entry := r.ingress.backends.byID["s0"]
				c, _ = newBackendConn(entry, entry.Endpoint, conn)
				r.ingress.backends.openConns++
				r.ingress.poolConn(c)
			})
			reader := replyReader{ingress: r.ingress, conn: c, input: inputbuffer.New(&r.ingress.inputBudget)}
			write(backend, reply)
			n, err := c.socket.Read(reader.input.Space())
			if err != nil {
				t.Fatal(err)
			}
			r.client().send(lookCommand("a")...)
			if got := backend.command(); len(got) != 4 {
				t.Fatalf("the connection received %q, want a command of 4 parts", got)
			}
			if reader.handleInput(n, r.ingress.clock.Now(), nil) || c.replies.reason() != retireUnsolicited {
				t.Errorf("the connection is retired for %v, want %v", c.replies.reason(), retireUnsolicited)
			}
			if r.onLoop(func() {}); len(r.decider.outcomes) > 0 {
				t.Errorf("got outcome %+v of bytes that are older than the command", <-r.decider.outcomes)
			}
		})
	}
}
