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
func TestDrainIsLoggedAndCounted(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, withDoor(t, addr), sendTo(0))
	var log bytes.Buffer
	r.do(func() { r.in.log = slog.New(slog.NewTextHandler(&log, nil)) })
	slow, quick := r.client(), r.client()
	slow.send(look("slow")...)
	slowBackend := get(t, conns)
	slowBackend.command()
	quick.send(look("quick")...)
	backend := get(t, conns)
	backend.command()
	io.WriteString(backend, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	quick.line()
	quick.line()
	get(t, r.mod.outcomes)
	if got := r.call("POST", "/v1/ingress/drain"); got != 200 {
		t.Fatal(got)
	}
	r.drainSince(1.75)
	r.until("the idle connection is closed", func() bool { return r.in.counts.closed[closeDrained] == 1 })
	r.do(r.in.logRemaining)
	r.do(func() { r.in.log = slog.New(slog.DiscardHandler) })
	for _, want := range []string{
		`msg="connection closed"`, "reason=drained", `msg="drain time is over" connections=1 requests=1`,
		`msg="connection outlived the drain"`, "open=1", "reader_stopped=false", "unread_bytes=0",
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%s is not in the log:\n%s", want, log.String())
		}
	}
	var counts CounterStatus
	r.do(func() { counts = r.in.counts.status() })
	if counts.Accepted != 2 || counts.Taken != 2 || counts.Attempts != 2 || counts.Retries != 0 || counts.Closed["drained"] != 1 {
		t.Errorf("%+v", counts)
	}
}

// Guards the counts of what was not sent and not taken, and why.
func TestRefusalsAreCounted(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), func(r *rig) {
		r.mod.onRequest = func(q policy.Request) { r.in.Send(q.ID, "nobody", 0) }
	})
	r.client().send(look("a")...)
	get(t, r.mod.outcomes)
	second := r.client()
	second.send(look("a")...)
	second.line()
	var counts CounterStatus
	r.do(func() { counts = r.in.counts.status() })
	if counts.Unsent["backend_state"] != 1 || counts.Refused["open_id"] != 1 {
		t.Errorf("%+v", counts)
	}
}
