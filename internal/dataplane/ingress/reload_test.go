package ingress

import (
	"strings"
	"testing"

	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/policy"
)

// Guards against readers that parse calls by outdated classes: after a reload, calls of an added class are accepted and calls of a removed
// class are rejected. A change that the decider rejects leaves everything as it was.
func TestReload_NewClasses(t *testing.T) {
	cfg := testConfig("127.0.0.1:1")
	r := startIngress(t, cfg, nil)
	sendCall := func(class string) string {
		w := r.client()
		w.send("CALL.GET", customer, "id-"+class, "c="+class+",t=basic,d=600000,units=2,spread=2,first=1")
		select {
		case q := <-r.decider.requests:
			return q.Class
		case line := <-func() chan string {
			c := make(chan string, 1)
			go func() { c <- w.line() }()
			return c
		}():
			return line
		}
	}
	next := cfg
	next.Settings.Classes = []policy.Class{{Name: "peek", LatencyObjectiveS: 1, DeadlineS: 2, Idempotency: policy.Idempotent}, cfg.Settings.Classes[2]}
	next.Settings.MaxAttempts = 1000
	if err := r.reconfigure(next); err == nil {
		t.Fatal("applySettings returned no error for settings that the decider rejects")
	}
	if got := sendCall("peek"); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("call of a class in rejected settings: got %q, want -ERR", got)
	}
	next.Settings.MaxAttempts = 1
	if err := r.reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if got := sendCall("peek"); got != "peek" {
		t.Errorf("call of an added class: got %q, want it accepted as class peek", got)
	}
	if got := sendCall("look"); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("call of a removed class: got %q, want -ERR", got)
	}
}

func (r *testIngress) reconfigure(cfg ingressconfig.Config) (err error) {
	r.onLoop(func() { err = r.ingress.applySettings(cfg) })
	return err
}
