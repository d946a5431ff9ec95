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

// Guards against memory that an answered request holds until its deadline, an hour away if its client
// says so: timers, the command's bytes and what the budget lent for them.
func TestRequest_ReleasesResourcesWhenAnswered(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	timers, left := r.openResources()
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	req := (*request)(nil)
	r.onLoop(func() { req = r.ingress.requests["a"] })
	if busy, less := r.openResources(); busy != timers+2 || less >= left {
		t.Errorf("%d timers and %d bytes while it is open, %d and %d before", busy, less, timers, left)
	}
	write(b, servedReply)
	receive(t, r.decider.outcomes)
	if again, now := r.openResources(); again != timers || now != left || req.Args != nil {
		t.Errorf("%d timers and %d bytes afterwards, %d and %d before, arguments %q", again, now, timers, left, req.Args)
	}
}

// A client's one more send, with the same id, comes before the end of the connection that it was on.
func TestRequest_SameIDBeforeDisconnectIsSeen(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), nil)
	c := r.client()
	r.fillPipeline(c)
	again := r.client()
	again.send(lookCommand("w0")...)
	if got := again.line(); got != "-ERR a request of this id is open" {
		t.Errorf("while the first is there: %q", got)
	}
	c.Close()
	r.waitFor("its end is there", func() bool { return r.ingress.requests["w0"].client.disconnected() })
	r.decider.onRequest = func(q policy.Request) { r.ingress.Send(q.ID, "s0", 0) }
	again.send(lookCommand("w0")...)
	b := receive(t, conns)
	b.command()
	write(b, servedReply)
	again.served("sent once more")
}

// The id of a request that is over stays taken while an attempt of it is out: what comes with it again would have two out.
func TestRequest_IDOfAttemptInFlightRejected(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	c.Close()
	receive(t, r.decider.disconnects)
	again := r.client()
	again.send(lookCommand("a")...)
	if got := again.line(); got != "-ERR a request of this id is open" {
		t.Errorf("got %q", got)
	}
	write(b, servedReply)
	receive(t, r.decider.outcomes)
	again.send(lookCommand("a")...)
	if got := b.command(); len(got) != 4 {
		t.Fatalf("got %q", got)
	}
	write(b, servedReply)
	again.served("once nothing is out")
}

// A request waits while its connection's reader goes on to the next: what is sent on is its own, byte for byte.
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
		t.Errorf("sent on: %q", got)
	}
}

// Guards against a changed command or value: all goes through byte for byte but d, which tells what
// is left of the time.
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
	if left < 1 || left > 300000 { // the attempt's time-out, less what the dial took
		t.Errorf("d is %d", left)
	}
	q := receive(t, r.decider.requests)
	if q.Class != "hold" || q.Plan != "basic" || q.Account != customer || q.Units != 2 || q.GatewayCount != 2 || q.FirstGateway != 1 {
		t.Errorf("the module got %+v", q)
	}
	reply := "*3\r\n$7\r\n\r\n$1\r\n!\r\n$-1\r\n"
	write(b, string(redcon.AppendBulkString([]byte(reply), "cpu_share=0.25,served_ps=140,svc_ms=14.5,new=1")))
	if head := c.line(); head != "$7" {
		t.Fatalf("client got %q", head)
	}
	value := make([]byte, 9)
	if _, err := io.ReadFull(c.r, value); err != nil || string(value) != "\r\n$1\r\n!\r\n" {
		t.Errorf("client got %q", value)
	}
	o := receive(t, r.decider.outcomes)
	if o.Status != policy.OK || !o.Completed || o.Load == nil || o.Load.Utilization != 0.25 || o.Load.ServiceMS != 14.5 || o.Load.Queue != -1 {
		t.Errorf("the module got %+v", o)
	}
}

// Guards against a request that waits for ever: a panic in the module costs one request, and a
// module that never answers is answered for.
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
		t.Errorf("after a panic: %q", got)
	}
	c.send("CALL.GET", customer, "mute", "c=look,t=basic,d=20,units=2,spread=2,first=1")
	if got := c.line(); got != "-ERR failed" {
		t.Errorf("at the deadline: %q", got)
	}
	if id := receive(t, r.decider.disconnects); id != "mute" {
		t.Errorf("gone: %q", id)
	}
}
