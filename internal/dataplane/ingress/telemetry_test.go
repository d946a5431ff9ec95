package ingress

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"eiderspread/policy"
)

// Guards what operators are told of a drain: each connection's end with its reason, and what outlives the time allowed.
func TestDrain_LoggedAndCounted(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, adminConfig(t, addr), sendTo(0))
	var log bytes.Buffer
	r.onLoop(func() { r.ingress.log = slog.New(slog.NewTextHandler(&log, nil)) })
	slow, quick := r.client(), r.client()
	slow.send(lookCommand("slow")...)
	slowBackend := receive(t, conns)
	slowBackend.command()
	quick.send(lookCommand("quick")...)
	backend := receive(t, conns)
	backend.command()
	io.WriteString(backend, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	quick.line()
	quick.line()
	receive(t, r.decider.outcomes)
	if got := r.call("POST", "/v1/ingress/drain"); got != 200 {
		t.Fatal(got)
	}
	r.drainSince(1.75)
	r.waitFor("the idle connection is closed", func() bool { return r.ingress.counters.closed[closeDrained] == 1 })
	r.onLoop(r.ingress.logOpenConns)
	r.onLoop(func() { r.ingress.log = slog.New(slog.DiscardHandler) })
	for _, want := range []string{
		`msg="connection closed"`, "reason=drained", `msg="drain time is over" connections=1 requests=1`,
		`msg="connection outlived the drain"`, "open=1", "reader_stopped=false", "unread_bytes=0",
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%s is not in the log:\n%s", want, log.String())
		}
	}
	var counts CounterStatus
	r.onLoop(func() { counts = r.ingress.counters.status() })
	if counts.Accepted != 2 || counts.Requests != 2 || counts.Attempts != 2 || counts.Retries != 0 || counts.Closed["drained"] != 1 {
		t.Errorf("%+v", counts)
	}
}

// Guards the counts of what was not sent and not taken, and why.
func TestCounters_Rejections(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Send(q.ID, "nobody", 0) }
	})
	r.client().send(lookCommand("a")...)
	receive(t, r.decider.outcomes)
	second := r.client()
	second.send(lookCommand("a")...)
	second.line()
	var counts CounterStatus
	r.onLoop(func() { counts = r.ingress.counters.status() })
	if counts.Unsent["backend_state"] != 1 || counts.Rejected["open_id"] != 1 {
		t.Errorf("%+v", counts)
	}
}
