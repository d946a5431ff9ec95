package planner

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"eiderspread/internal/base/mutualtls"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/dataplane/settings"
	"eiderspread/internal/testbed/certs"
	"eiderspread/policy"
)

const testTimeout = 20 * time.Second

// authority issues certificates and fails the test on an error.
type authority struct {
	t *testing.T
	*certs.Authority
}

func newAuthority(t *testing.T, name string) *authority {
	a, err := certs.New(t.TempDir(), name)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{t, a}
}

func (a *authority) issue(name string) mutualtls.Identity {
	id, err := a.Issue(name)
	if err != nil {
		a.t.Fatal(err)
	}
	return id
}

func startServer(t *testing.T, id mutualtls.Identity) *Server {
	t.Helper()
	cfg := FileConfig{Number: 1, ListenAddr: "127.0.0.1:0", TLS: id, ForwarderNames: []string{"f-0", "f-1"}, Ingress: ingressconfig.Config{Discovery: "127.0.0.1:1",
		Settings: settings.Settings{Settings: policy.Settings{Gateways: 1, Classes: testClasses, Plans: testPlans, MaxAttempts: 5}}}}
	cfg.Params = topology.Params{Name: "t", Forwarders: 2, Planners: 2, LinkTimeoutS: 5}
	if err := cfg.Check(); err != nil {
		t.Fatal(err)
	}
	s, err := Open(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

// exchangeHello sends a hello and reports whether the planner replies with its own. It fails the test if the link ends without an error.
func exchangeHello(t *testing.T, conn net.Conn, hello transport.Message) bool {
	t.Helper()
	link := transport.NewConn(conn, testTimeout)
	link.Send(hello)
	answered := false
	err := link.Serve(func(msgs []transport.Message) {
		answered = msgs[0].Kind == transport.KindHello && msgs[0].Number == 1
		link.Close(io.EOF)
	})
	if err == nil {
		t.Error("the link ended without an error")
	}
	return answered
}

func hello(number uint32) transport.Message {
	return transport.Message{Kind: transport.KindHello, Plan: transport.Version, Name: "t", Number: number, Epoch: 5, Cell: 6}
}

// Guards against links from wrong peers: the planner must close a link whose hello has another version, fleet, number of cells or an
// unknown forwarder number, and one that does not begin with a hello.
func TestServer_RejectsMismatchedHello(t *testing.T) {
	s := startServer(t, mutualtls.Identity{})
	for name, change := range map[string]func(*transport.Message){
		"valid hello":     func(*transport.Message) {},
		"another version": func(msg *transport.Message) { msg.Plan++ },
		"another fleet":   func(msg *transport.Message) { msg.Name = "u" },
		"another number":  func(msg *transport.Message) { msg.Number = 2 },
		"other cells":     func(msg *transport.Message) { msg.Cell = 5 },
		"no hello":        func(msg *transport.Message) { msg.Kind = transport.KindHeartbeat },
	} {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		msg := hello(0)
		change(&msg)
		if got := exchangeHello(t, conn, msg); got != (name == "valid hello") {
			t.Errorf("%s: planner answered the hello: %v, want %v", name, got, !got)
		}
	}
}

// Guards against a forwarder that poses as another: a certificate of the right authority is not enough, it must be the one configured for
// the forwarder's number.
func TestServer_MutualTLS(t *testing.T) {
	trustedCA, untrustedCA := newAuthority(t, "ca"), newAuthority(t, "other")
	s := startServer(t, trustedCA.issue("p-1"))
	for name, tc := range map[string]struct {
		id     mutualtls.Identity
		number uint32
		want   bool
	}{
		"on the list":          {trustedCA.issue("f-0"), 0, true},
		"as another forwarder": {trustedCA.issue("f-0"), 1, false},
		"not on the list":      {trustedCA.issue("f-9"), 0, false},
		"of another authority": {untrustedCA.issue("f-0"), 0, false},
		"no certificate":       {mutualtls.Identity{}, 0, false},
	} {
		cfg := &tls.Config{MinVersion: tls.VersionTLS13}
		if tc.id != (mutualtls.Identity{}) {
			var err error
			if cfg, err = tc.id.Config(); err != nil {
				t.Fatal(err)
			}
		}
		clientConfig, err := trustedCA.issue("f-0").Config()
		if err != nil {
			t.Fatal(err)
		}
		cfg.RootCAs, cfg.ServerName = clientConfig.RootCAs, "p-1"
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if got := exchangeHello(t, tls.Client(conn, cfg), hello(tc.number)); got != tc.want {
			t.Errorf("%s: planner answered the hello: %v, want %v", name, got, tc.want)
		}
	}
}
