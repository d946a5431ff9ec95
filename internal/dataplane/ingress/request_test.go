package ingress

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/tidwall/redcon"

	"eiderspread/policy"
)

// An answered request must release its timers, the bytes of its command and their part of the input budget at once. Otherwise it holds them
// until its deadline, which the client may set to 10 minutes.
func TestRequest_ReleasesResourcesWhenAnswered(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	timers, budget := r.openResources()
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	req := (*request)(nil)
	r.onLoop(func() { req = r.ingress.requests["a"] })
	if openTimers, openBudget := r.openResources(); openTimers != timers+2 || openBudget >= budget {
		t.Errorf("while the request is open: got %d timers and %d bytes of budget left, want 2 more and fewer than the %d and %d before",
			openTimers, openBudget, timers, budget)
	}
	write(b, servedReply)
	receive(t, r.decider.outcomes)
	if timersAfter, budgetAfter := r.openResources(); timersAfter != timers || budgetAfter != budget || req.Args != nil {
		t.Errorf("after the answer: got %d timers and %d bytes of budget left, want %d and %d as before; arguments %q, want none",
			timersAfter, budgetAfter, timers, budget, req.Args)
	}
}

// A client that disconnects may retry its request with the same id on a new connection before the ingress has handled the disconnect. The
// retry must be served, although a second request of an open id is rejected.
func TestRequest_SameIDBeforeDisconnectIsSeen(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), nil)
	c := r.client()
	r.fillPipeline(c)
	retry := r.client()
	retry.send(lookCommand("w0")...)
	if got := retry.line(); got != "-ERR a request of this id is open" {
		t.Errorf("same id while the first client is connected: got %q, want the rejection of an open id", got)
	}
	c.Close()
	r.waitFor("the disconnect has arrived", func() bool { return r.ingress.requests["w0"].client.disconnected() })
	r.decider.onRequest = func(q policy.Request) { r.ingress.Send(q.ID, "s0", 0) }
	retry.send(lookCommand("w0")...)
	b := receive(t, conns)
	b.command()
	write(b, servedReply)
	retry.expectValue("retry after the disconnect")
}

// While an attempt of a completed request is in flight, a request with the same id must be rejected: it would have two attempts in flight.
func TestRequest_IDOfAttemptInFlightRejected(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	c.Close()
	receive(t, r.decider.disconnects)
	retry := r.client()
	retry.send(lookCommand("a")...)
	if got := retry.line(); got != "-ERR a request of this id is open" {
		t.Errorf("same id while an attempt is in flight: got %q, want the rejection of an open id", got)
	}
	write(b, servedReply)
	receive(t, r.decider.outcomes)
	retry.send(lookCommand("a")...)
	if got := b.command(); len(got) != 4 {
		t.Fatalf("backend got %q, want a command of 4 arguments", got)
	}
	write(b, servedReply)
	retry.expectValue("same id without an attempt in flight")
}

// While a request waits, its connection's reader parses the next command into the same buffer. The command that is sent to the backend must
// still have the bytes of its own request.
func TestRequest_OwnsItsBytes(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), nil)
	c := r.client()
	c.send(lookCommand("first")...)
	receive(t, r.decider.requests)
	c.send("CALL.POST", customer, "other", "c=bill,t=basic,d=300000,units=1,spread=1,first=0", "body")
	receive(t, r.decider.requests)
	r.onLoop(func() { r.ingress.Send("first", "s0", 300) })
	if got := receive(t, conns).command(); len(got) != 4 || got[0] != "CALL.GET" || got[2] != "first" || !strings.HasPrefix(got[3], "c=look,t=basic,d=") {
		t.Errorf("backend got %q, want the command of request first", got)
	}
}

// A command must reach the backend, and a value the client, byte for byte. The one exception is field d of the command, which is set to the
// time left.
func TestRequest_CommandAndValueUnchanged(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(300))
	c := r.client()
	body := "b\r\n\x00\xff*$"
	c.send("CALL.POST", customer, "9b1f03aa5c7e2d41", "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1,x=y", body)
	b := receive(t, conns)
	want := []string{"CALL.POST", customer, "9b1f03aa5c7e2d41", "c=hold,t=basic,k=5c0f,d=N,units=2,spread=2,first=1,x=y", body}
	got := b.command()
	var left int
	if len(got) == 5 {
		before, rest, _ := strings.Cut(got[3], ",d=")
		value, after, _ := strings.Cut(rest, ",")
		left, _ = strconv.Atoi(value)
		got[3] = before + ",d=N," + after
	}
	if !slices.Equal(got, want) {
		t.Fatalf("backend got %q, want %q", got, want)
	}
	if left < 1 || left > 300000 { // the attempt's timeout less the time of the dial, in ms
		t.Errorf("field d is %d, want 1 to 300000", left)
	}
	q := receive(t, r.decider.requests)
	if q.Class != "hold" || q.Plan != "basic" || q.Account != customer || q.Units != 2 || q.GatewayCount != 2 || q.FirstGateway != 1 {
		t.Errorf("the decider got request %+v, want the values of the command", q)
	}
	reply := "*3\r\n$7\r\n\r\n$1\r\n!\r\n$-1\r\n"
	write(b, string(redcon.AppendBulkString([]byte(reply), "cpu_share=0.25,served_ps=140,svc_ms=14.5,new=1")))
	if head := c.line(); head != "$7" {
		t.Fatalf("client got header %q, want $7", head)
	}
	value := make([]byte, 9)
	if _, err := io.ReadFull(c.r, value); err != nil || string(value) != "\r\n$1\r\n!\r\n" {
		t.Errorf("client got value %q, want the bytes of the reply", value)
	}
	o := receive(t, r.decider.outcomes)
	if o.Status != policy.OK || !o.Completed || o.Load == nil || o.Load.Utilization != 0.25 || o.Load.ServiceMS != 14.5 || o.Load.Queue != -1 {
		t.Errorf("the decider got outcome %+v, want OK, completed, with the load report", o)
	}
}

// A request must not wait forever. If the decider panics on it, it fails, and only this request does. If the decider never answers, it fails
// at its deadline, and the decider is notified of a disconnect.
func TestRequest_DeciderPanicsOrIsSilent(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) {
			if q.ID == "boom" {
				panic("broken")
			}
		}
	})
	c := r.client()
	c.send(lookCommand("boom")...)
	if got := c.line(); got != "-ERR failed" {
		t.Errorf("after a panic of the decider: got %q, want -ERR failed", got)
	}
	c.send("CALL.GET", customer, "mute", "c=look,t=basic,d=20,units=2,spread=2,first=1")
	if got := c.line(); got != "-ERR failed" {
		t.Errorf("at the deadline of an undecided request: got %q, want -ERR failed", got)
	}
	if id := receive(t, r.decider.disconnects); id != "mute" {
		t.Errorf("disconnect: got request %q, want mute", id)
	}
}
