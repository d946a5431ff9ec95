package ingress

import (
	"strings"
	"testing"

	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/policy"
)

// Guards the readers: a class that has come is read, one that has gone is not, and a change that the module refuses
// leaves everything as it was.
func TestReload_NewClasses(t *testing.T) {
	cfg := testConfig("127.0.0.1:1")
	r := startIngress(t, cfg, nil)
	ask := func(class string) string {
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
		t.Fatal("a refusal of the module is not told")
	}
	if got := ask("peek"); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("taken though refused: %q", got)
	}
	next.Settings.MaxAttempts = 1
	if err := r.reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if got := ask("peek"); got != "peek" {
		t.Errorf("a new class: %q", got)
	}
	if got := ask("look"); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("a class that has gone: %q", got)
	}
}

func (r *testIngress) reconfigure(cfg ingressconfig.Config) (err error) {
	r.onLoop(func() { err = r.ingress.applySettings(cfg) })
	return err
}
