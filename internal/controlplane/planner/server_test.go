package planner

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/base/settings"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/testbed/certs"
	"eiderspread/policy"
)

const testTimeout = 20 * time.Second

// authority issues certificates into a folder of the test's.
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

func (a *authority) issue(name string) transport.Identity {
	id, err := a.Issue(name)
	if err != nil {
		a.t.Fatal(err)
	}
	return id
}

func serve(t *testing.T, id transport.Identity) *Server {
	t.Helper()
	cfg := FileConfig{Number: 1, ListenAddr: "127.0.0.1:0", TLS: id, ForwarderNames: []string{"f-0", "f-1"}, Ingress: ingress.Config{Discovery: "127.0.0.1:1",
		Settings: settings.Settings{Settings: policy.Settings{Gateways: 1, Classes: simClasses, Plans: simPlans, MaxAttempts: 5}}}}
	cfg.Params = topology.Params{Name: "t", Forwarders: 2, Planners: 2, LinkTimeoutS: 5}
	if err := cfg.Params.Check(); err != nil {
		t.Fatal(err)
	}
	s, err := Open(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

// greet says hello and tells whether the planner answers it.
func greet(t *testing.T, conn net.Conn, hello transport.Message) bool {
	t.Helper()
	l := transport.NewConn(conn, testTimeout)
	l.Send(hello)
	ok := false
	l.Serve(func(m []transport.Message) {
		ok = m[0].Kind == transport.KindHello && m[0].Number == 1
		l.Close(io.EOF)
	})
	return ok
}

func hello(number uint32) transport.Message {
	return transport.Message{Kind: transport.KindHello, Plan: transport.Version, Name: "t", Number: number, Epoch: 5, Cell: 6}
}

// Guards against links of another version, fleet, size or number, and peers that do not say who they are.
func TestServer_RejectsMismatchedHello(t *testing.T) {
	s := serve(t, transport.Identity{})
	for name, change := range map[string]func(*transport.Message){
		"a member":        func(*transport.Message) {},
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
		if got := greet(t, conn, msg); got != (name == "a member") {
			t.Errorf("%s: greeted %v", name, got)
		}
	}
}

// Guards the list of forwarders: a certificate of the right authority is not enough.
func TestServer_MutualTLS(t *testing.T) {
	good, other := newAuthority(t, "ca"), newAuthority(t, "other")
	s := serve(t, good.issue("p-1"))
	for name, tc := range map[string]struct {
		id     transport.Identity
		number uint32
		want   bool
	}{
		"on the list":          {good.issue("f-0"), 0, true},
		"as another":           {good.issue("f-0"), 1, false},
		"not on the list":      {good.issue("f-9"), 0, false},
		"of another authority": {other.issue("f-0"), 0, false},
		"without one":          {transport.Identity{}, 0, false},
	} {
		cfg := &tls.Config{MinVersion: tls.VersionTLS13}
		if tc.id != (transport.Identity{}) {
			var err error
			if cfg, err = tc.id.Config(); err != nil {
				t.Fatal(err)
			}
		}
		clientConfig, err := good.issue("f-0").Config()
		if err != nil {
			t.Fatal(err)
		}
		cfg.RootCAs, cfg.ServerName = clientConfig.RootCAs, "p-1"
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if got := greet(t, tls.Client(conn, cfg), hello(tc.number)); got != tc.want {
			t.Errorf("%s: greeted %v", name, got)
		}
	}
}

// Guards the operator's file: one clear line for each fault, before anything is served.
func TestReadFile_Errors(t *testing.T) {
	dir := t.TempDir()
	base := filepath.Join(dir, "base.json")
	if err := os.WriteFile(base, []byte(`{"name":"p","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
		"settings":{"balancers":2,"limits":{"dialTimeoutS":1,"connIdleS":1}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	good := "fleet = \"t\"\nnumber = 1\nforwarders = 2\nplanners = 2\nlisten = \"127.0.0.1:3\"\nbase = \"" + base + "\"\n"
	read := func(text string) error {
		path := filepath.Join(dir, "planner.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFile(path)
		return err
	}
	if err := read(good); err != nil {
		t.Fatal(err)
	}
	for want, text := range map[string]string{
		"unknown key leases":       good + "leases = 3\n",
		"number is 2":              strings.Replace(good, "number = 1", "number = 2", 1),
		"fleet must be":            strings.Replace(good, `"t"`, `""`, 1),
		"forwarders must be":       strings.Replace(good, "forwarders = 2", "forwarders = 0", 1),
		"listen: ":                 strings.Replace(good, "127.0.0.1:3", "nowhere", 1),
		"base names no":            strings.Replace(good, base, "", 1),
		"no such file":             strings.Replace(good, base, base+"x", 1),
		"lease_ms must be three":   good + "lease_ms = 100\n",
		"silence_ms must be above": good + "silence_ms = -1\n",
		"is no loopback":           good + "status = \"192.0.2.1:80\"\n",
		"cert, key and ca":         good + "[tls]\ncert = \"x\"\n",
		"allowed: 0 names":         good + "[tls]\ncert = \"x\"\nkey = \"x\"\nca = \"x\"\n",
		"cells must be":            good + "cells = 1\n",
		"expected":                 good + "cells = = 1\n",
	} {
		if err := read(text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
