package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/membership/cordontable"
	"eiderspread/policy"
)

// adminConfig is a configuration with an admin address, in a folder of the test's own.
func adminConfig(t *testing.T, backends ...string) ingressconfig.Config {
	t.Setenv("TMPDIR", t.TempDir())
	cfg := testConfig(backends...)
	cfg.AdminAddr = "127.0.0.1:0"
	return cfg
}

// call makes an operator's call and returns its status.
func (r *testIngress) call(method, path string) int {
	r.t.Helper()
	c, err := net.Dial("tcp", r.ingress.admin.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close()
	noError(r.t, c.SetDeadline(time.Now().Add(testTimeout)))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n\r\n", method, path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.t.Fatal(method, path, err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// backendIn is what the module was last told of a backend.
func backendIn(t *testing.T, list []policy.Backend, id string) policy.Backend {
	t.Helper()
	for _, s := range list {
		if s.ID == id {
			return s
		}
	}
	t.Fatalf("%s is not told of in %+v", id, list)
	panic("unreachable")
}

// Guards the drain rule against discovery and against time: what operators hold gets nothing until it is called back,
// and what waits for a connection to it is given back at once.
func TestAdmin_SuspendedBackendGetsNoAttempts(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	r := startIngress(t, cfg, sendTo(0))
	receive(t, r.decider.lists)
	r.client().send(lookCommand("before")...)
	receive(t, conns).command()
	if got := r.call("POST", "/v1/backends/s0/suspend"); got != 200 {
		t.Fatal(got)
	}
	if s := backendIn(t, receive(t, r.decider.lists), "s0"); s.State != policy.Draining {
		t.Fatalf("told as %+v", s)
	}
	r.onLoop(func() { r.ingress.applyDiscoveryList(cfg.InitialEndpoints, r.ingress.now) }) // discovery says that it serves
	if s := backendIn(t, receive(t, r.decider.lists), "s0"); s.State != policy.Draining {
		t.Fatalf("discovery put it back: %+v", s)
	}
	r.client().send(lookCommand("meanwhile")...)
	if o := receive(t, r.decider.outcomes); o.ID != "meanwhile" || o.Status != policy.NotSent {
		t.Fatalf("sent all the same: %+v", o)
	}
	if got := r.call("POST", "/v1/backends/x/suspend"); got != 404 {
		t.Fatal("an id of nobody:", got)
	}
	if got := r.call("POST", "/v1/backends/s0/suspend"); got != 200 {
		t.Fatal(got)
	}
	if got := r.call("POST", "/v1/backends/s0/resume"); got != 200 {
		t.Fatal(got)
	}
	if s := backendIn(t, receive(t, r.decider.lists), "s0"); s.State != policy.Up || s.StartedAt == 0 {
		t.Errorf("called back as %+v, want up and just started", s)
	}
	r.client().send(lookCommand("after")...)
	if receive(t, conns).command() == nil {
		t.Fatal("called back, but not in use")
	}
}

// Guards the door against a loop that is busy: no is said in time.
func TestAdmin_AnswersWhileLoopIsBusy(t *testing.T) {
	r := startIngress(t, adminConfig(t, "127.0.0.1:1"), nil)
	free := make(chan struct{})
	r.ingress.Post(func(float64) { <-free })
	if got := r.call("POST", "/v1/ingress/drain"); got != 503 {
		t.Error("yes was said before it was done:", got)
	}
	if got := r.call("GET", "/v1/readyz"); got != 200 {
		t.Error(got)
	}
	close(free)
}

// Guards the hold against a process that comes back to a file that is spoilt: it starts, and says so.
func TestAdmin_MalformedCordonFile(t *testing.T) {
	cfg := adminConfig(t, "127.0.0.1:1")
	noError(t, os.WriteFile(cordonStorePath(cfg.Name), []byte("{"), 0o600))
	r := startIngress(t, cfg, nil)
	if r.call("POST", "/v1/backends/s0/suspend") != 200 {
		t.Fatal("no")
	}
	if err := cordontable.NewStore(cordonStorePath(cfg.Name)).ReadIfChanged(func(h cordontable.Cordons) {
		if len(h) != 1 {
			t.Error(h)
		}
	}); err != nil {
		t.Fatal(err)
	}
}
