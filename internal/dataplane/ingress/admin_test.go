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

// adminConfig returns a configuration with an admin address. Its files are in a temporary directory of the test.
func adminConfig(t *testing.T, backends ...string) ingressconfig.Config {
	t.Setenv("TMPDIR", t.TempDir())
	cfg := testConfig(backends...)
	cfg.AdminAddr = "127.0.0.1:0"
	return cfg
}

// call makes an operator's call and returns the HTTP status code.
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
		r.t.Fatalf("%s %s: %v", method, path, err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// backendIn returns the entry of a backend in a list that the decider got.
func backendIn(t *testing.T, list []policy.Backend, id string) policy.Backend {
	t.Helper()
	for _, s := range list {
		if s.ID == id {
			return s
		}
	}
	t.Fatalf("backend %s is not in the list %+v", id, list)
	panic("unreachable")
}

// A backend that operators suspend must get no attempt until it is resumed, although discovery reports it as in service. An attempt that
// the decider sends to it meanwhile is returned as not sent at once.
func TestAdmin_SuspendedBackendGetsNoAttempts(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	r := startIngress(t, cfg, sendTo(0))
	receive(t, r.decider.lists)
	r.client().send(lookCommand("before")...)
	receive(t, conns).command()
	if got := r.call("POST", "/v1/backends/s0/suspend"); got != 200 {
		t.Fatalf("suspend: got status %d, want 200", got)
	}
	if s := backendIn(t, receive(t, r.decider.lists), "s0"); s.State != policy.Draining {
		t.Fatalf("suspended backend: got %+v, want it draining", s)
	}
	r.onLoop(func() { r.ingress.applyDiscoveryList(cfg.InitialEndpoints, r.ingress.now) }) // discovery reports it as in service
	if s := backendIn(t, receive(t, r.decider.lists), "s0"); s.State != policy.Draining {
		t.Fatalf("suspended backend after a list of discovery: got %+v, want it draining", s)
	}
	r.client().send(lookCommand("meanwhile")...)
	if o := receive(t, r.decider.outcomes); o.ID != "meanwhile" || o.Status != policy.NotSent {
		t.Fatalf("attempt to a suspended backend: got outcome %+v, want request meanwhile not sent", o)
	}
	if got := r.call("POST", "/v1/backends/x/suspend"); got != 404 {
		t.Fatal("suspend of an unknown backend: want status 404, got", got)
	}
	if got := r.call("POST", "/v1/backends/s0/suspend"); got != 200 {
		t.Fatalf("second suspend: got status %d, want 200", got)
	}
	if got := r.call("POST", "/v1/backends/s0/resume"); got != 200 {
		t.Fatalf("resume: got status %d, want 200", got)
	}
	if s := backendIn(t, receive(t, r.decider.lists), "s0"); s.State != policy.Up || s.StartedAt == 0 {
		t.Errorf("resumed backend: got %+v, want it up with a start time", s)
	}
	r.client().send(lookCommand("after")...)
	if receive(t, conns).command() == nil {
		t.Fatal("the connection to the resumed backend ended without a command")
	}
}

// While the loop is blocked, an operator's call must be answered in time: with 503, as it was not carried out. The readiness call does not
// need the loop.
func TestAdmin_AnswersWhileLoopIsBusy(t *testing.T) {
	r := startIngress(t, adminConfig(t, "127.0.0.1:1"), nil)
	unblock := make(chan struct{})
	r.ingress.Post(func(float64) { <-unblock })
	if got := r.call("POST", "/v1/ingress/drain"); got != 503 {
		t.Error("drain while the loop is blocked: want status 503, got", got)
	}
	if got := r.call("GET", "/v1/readyz"); got != 200 {
		t.Errorf("readyz while the loop is blocked: got status %d, want 200", got)
	}
	close(unblock)
}

// A process that finds a malformed cordon file must log that and start without cordons. The next suspend replaces the file with a valid one.
func TestAdmin_MalformedCordonFile(t *testing.T) {
	cfg := adminConfig(t, "127.0.0.1:1")
	noError(t, os.WriteFile(cordonStorePath(cfg.Name), []byte("{"), 0o600))
	r := startIngress(t, cfg, nil)
	if r.call("POST", "/v1/backends/s0/suspend") != 200 {
		t.Fatal("suspend: the status is not 200")
	}
	if err := cordontable.NewStore(cordonStorePath(cfg.Name)).ReadIfChanged(func(cordons cordontable.Cordons) {
		if len(cordons) != 1 {
			t.Errorf("cordon file holds %v, want 1 cordon", cordons)
		}
	}); err != nil {
		t.Fatal("cordon file after the suspend:", err)
	}
}
