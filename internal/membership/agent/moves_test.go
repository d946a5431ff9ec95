package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/certs"
	standin "eiderspread/internal/testbed/etcdstandin"
	"eiderspread/internal/testbed/oracle"
)

// waitFor waits until the agent's list satisfies ok. what names the awaited list in the failure text.
func waitFor(t *testing.T, a *Agent, what string, ok func(l discovery.List) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok(a.EndpointList()) {
			return
		}
	}
	t.Fatalf("%s: the expected list did not appear; the list is\n%v\nstatus %+v", what, describe(a.EndpointList()), a.EtcdStatus())
}

func stateOf(l discovery.List, id string) string {
	for _, s := range l.Endpoints {
		if s.ID == id {
			return s.State
		}
	}
	return ""
}

// Guards a reload of the configuration. Other members of the same cluster with other certificates must not cause a full read or a version
// that goes back, also if a node changes at the same moment. Endpoints of another cluster must cause a full read.
func TestAgent_ReloadMovesEndpoints(t *testing.T) {
	ca, err := certs.New(t.TempDir(), "lab")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "etcd.toml")
	turn := 0
	write := func(endpoints ...string) Config {
		turn++
		id, err := ca.Issue("w" + string(rune('a'+turn)))
		if err != nil {
			t.Fatal(err)
		}
		text := "listen = \"127.0.0.1:0\"\nprefix = \"/t/\"\nendpoints = [\"https://" + strings.Join(endpoints, "\", \"https://") + "\"]\nprogress_ms = 150\n" +
			"stale_ms = 800\nretry_ms = 300\n[tls]\ncert = \"" + id.Cert + "\"\nkey = \"" + id.Key + "\"\nca = \"" + id.CA + "\"\n"
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	server, err := ca.Issue("etcd")
	if err != nil {
		t.Fatal(err)
	}
	tls, err := server.Config()
	if err != nil {
		t.Fatal(err)
	}
	c, err := standin.Open(standin.Config{Members: 3, TLS: tls, Election: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Set("/t/nodes/a", nodeValue(1))
	c.Set("/t/nodes/b", nodeValue(2))
	addrs := c.Addrs()
	a, _ := startAgentWith(t, write(addrs[0]))
	waitFor(t, a, "start", func(l discovery.List) bool { return len(l.Endpoints) == 2 })
	version := a.EndpointList().Version
	if a.Reload(write(addrs[1], addrs[2])) {
		t.Error("Reload reports that a restart is needed, but only endpoints and certificates differ")
	}
	c.Set("/t/drain/a", "{}") // at the moment of the reload
	c.StopMember(0)           // the member that the agent was connected to
	waitFor(t, a, "after the move", func(l discovery.List) bool { return stateOf(l, "a") == "terminating" && len(l.Endpoints) == 2 })
	if st := a.EtcdStatus(); a.EndpointList().Version < version || st.FullReads != 1 {
		t.Errorf("after the move: version %d, want at least %d; status %+v, want one full read", a.EndpointList().Version, version, st)
	}
	other, err := standin.Open(standin.Config{TLS: tls})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	other.Restore(standin.Head{Cluster: 9, Revision: 5, Term: 3}, standin.KV{Key: "/t/nodes/b", Value: nodeValue(2), Revision: 4})
	version = a.EndpointList().Version
	a.Reload(write(addrs[1]))
	a.Reload(write(other.Addr())) // the last reload applies
	waitFor(t, a, "at another cluster", func(l discovery.List) bool { return len(l.Endpoints) == 1 && stateOf(l, "b") == "in_service" })
	if st := a.EtcdStatus(); a.EndpointList().Version <= version || st.Replaced != 1 {
		t.Errorf("at another cluster: version %d, want above %d; status %+v, want one replaced cluster", a.EndpointList().Version, version, st)
	}
	next := write(other.Addr())
	next.Merge.OrphanAfterS++
	if !a.Reload(next) {
		t.Error("Reload does not report that a changed orphan_ms needs a restart")
	}
}

// Guards against authentication tokens that expire during the full read after a compaction, or before a watch starts: the agent must log in
// again and catch up.
func TestAgent_AuthTokenExpires(t *testing.T) {
	c, err := standin.Open(standin.Config{Users: map[string]string{"u": "x"}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Set("/t/nodes/a", nodeValue(1))
	link, err := testbed.NewLink(c.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	cfg := config(link.Addr(), "")
	cfg.Etcd.User, cfg.Etcd.Password = "u", "x"
	a, _ := startAgentWith(t, cfg)
	waitFor(t, a, "start", func(l discovery.List) bool { return len(l.Endpoints) == 1 })
	forgotten := 0
	c.SetScript(standin.Script{AfterRead: func() {
		if forgotten++; forgotten < 4 {
			c.InvalidateTokens()
		}
	}, OnWatch: func(pb.Watch_WatchServer, int64) {}})
	link.Cut()
	c.Set("/t/drain/a", "{}")
	c.Set("/t/nodes/b", nodeValue(2))
	c.CompactAll()
	c.InvalidateTokens()
	link.Heal()
	waitFor(t, a, "after the compaction", func(l discovery.List) bool {
		return stateOf(l, "a") == "terminating" && stateOf(l, "b") == "in_service"
	})
	c.AdvanceClock(time.Hour) // all tokens expire
	link.Break()
	c.Delete("/t/drain/a")
	waitFor(t, a, "after the hour", func(l discovery.List) bool { return stateOf(l, "a") == "in_service" })
	if a.EtcdStatus().Compacted == 0 || forgotten == 0 {
		t.Errorf("status %+v, %d reads; want at least one compaction and one read for the test to be valid", a.EtcdStatus(), forgotten)
	}
}

// Guards the state file. An agent that restarts during a drain, while etcd, which reported the drain, is unreachable, must keep the drain,
// and its version must grow although the clock was set back by an hour.
func TestAgent_RestartsDuringDrain(t *testing.T) {
	for _, kept := range []bool{true, false} {
		e := startEtcd(t)
		link, err := testbed.NewLink(e.srv.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer link.Close()
		service := testbed.NewDiscovery(oracle.NewHistory())
		defer service.Close()
		addr, err := service.For("a")
		if err != nil {
			t.Fatal(err)
		}
		service.Set(discovery.Endpoint{ID: "n", Addr: "127.0.0.1:1", State: "in_service", Weight: 1})
		service.Set(discovery.Endpoint{ID: "m", Addr: "127.0.0.1:2", State: "in_service", Weight: 1})
		cfg := config(link.Addr(), addr)
		cfg.StartTimeoutS = 0.3
		if kept {
			cfg.State = filepath.Join(t.TempDir(), "state")
		}
		a, stop := startAgentWith(t, cfg)
		e.put("drain/n", "{}")
		waitFor(t, a, "drain before the restart", func(l discovery.List) bool {
			return stateOf(l, "n") == "terminating" && stateOf(l, "m") == "in_service"
		})
		link.Cut()
		stop()
		version := a.EndpointList().Version
		if kept {
			m, err := loadState(cfg.State)
			if err != nil || m.Version != version {
				t.Fatalf("state file holds %+v, error %v; want version %d", m, err, version)
			}
			m.Version += 3.6e6 // an agent starts with its clock in ms as the version; this is the version as if that clock had been an hour ahead
			version = m.Version
			if err := writeState(cfg.State, m); err != nil {
				t.Fatal(err)
			}
		}
		b, _ := startAgentWith(t, cfg)
		service.Set(discovery.Endpoint{ID: "m", Addr: "127.0.0.1:2", State: "terminating", Weight: 1})
		waitFor(t, b, "after the restart", func(l discovery.List) bool { return stateOf(l, "m") == "terminating" })
		if got := stateOf(b.EndpointList(), "n"); kept != (got == "terminating") {
			t.Errorf("state file kept: %v: the marked node has state %q after the restart", kept, got) // without the file the drain is lost
		}
		if kept && b.EndpointList().Version <= version {
			t.Errorf("version after the restart is %d, want above %d", b.EndpointList().Version, version)
		}
		link.Heal()
		waitFor(t, b, "etcd reachable again", func(l discovery.List) bool { return stateOf(l, "n") == "terminating" })
		e.del("drain/n")
		waitFor(t, b, "drain mark removed", func(l discovery.List) bool { return stateOf(l, "n") == "in_service" })
	}
}

// Guards ingresses against the incomplete list of an agent that has just started: it serves nothing before all sources are current or the
// start timeout has passed, and after the timeout the list of the current sources.
func TestAgent_ServesNothingBeforeSync(t *testing.T) {
	e := startEtcd(t)
	e.put("nodes/a", nodeValue(1))
	link, err := testbed.NewLink(e.srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.Cut()
	service := testbed.NewDiscovery(oracle.NewHistory())
	defer service.Close()
	addr, err := service.For("a")
	if err != nil {
		t.Fatal(err)
	}
	service.Set(discovery.Endpoint{ID: "m", Addr: "127.0.0.1:2", State: "in_service", Weight: 1})
	get := func(a *Agent) (int, discovery.List) {
		r, err := http.Get("http://" + a.Addr() + "/api/targets")
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		var l discovery.List
		if err := json.NewDecoder(r.Body).Decode(&l); err != nil && r.StatusCode == http.StatusOK {
			t.Fatal(err)
		}
		return r.StatusCode, l
	}
	cfg := config(link.Addr(), addr)
	cfg.StartTimeoutS = 3600
	a, _ := startAgentWith(t, cfg)
	waitFor(t, a, "list of the discovery service", func(l discovery.List) bool { return stateOf(l, "m") == "in_service" })
	if code, _ := get(a); code != http.StatusServiceUnavailable {
		t.Errorf("got status %d before etcd has reported, want %d", code, http.StatusServiceUnavailable)
	}
	link.Heal()
	for code, l := get(a); code != http.StatusOK || len(l.Endpoints) != 2; code, l = get(a) {
		if code == http.StatusOK && len(l.Endpoints) < 2 {
			t.Fatalf("list served before both sources are current: %+v, want two endpoints", l)
		}
		time.Sleep(time.Millisecond)
	}
	link.Cut()
	cfg.StartTimeoutS = 0.01
	b, _ := startAgentWith(t, cfg)
	for code, l := get(b); code != http.StatusOK; code, l = get(b) {
		if code == http.StatusOK && stateOf(l, "m") == "" {
			t.Fatalf("list served without node m: %+v", l)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards the source age that an agent reports to its clients while etcd is unreachable: keep-alive lines carry it, and a Watcher exposes it
// without taking these lines for changes.
func TestAgent_ReportsSourceAge(t *testing.T) {
	e := startEtcd(t)
	e.put("nodes/a", nodeValue(1))
	link, err := testbed.NewLink(e.srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	a := startAgent(t, link.Addr(), "")
	waitFor(t, a, "start", func(l discovery.List) bool { return len(l.Endpoints) == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lists := make(chan discovery.List, 100)
	w := discovery.NewWatcher(a.Addr(), -1, func(l discovery.List) { lists <- l }, func(string, ...any) {})
	go w.Run(ctx, nil)
	<-lists
	link.Cut()
	for end := time.Now().Add(testTimeout); w.Age().ReportedAgeS < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("watcher's age is %+v, want a reported age of at least 2 s", w.Age())
		}
	}
	if !(discovery.Age{SinceUpdateS: 2, ReportedAgeS: 9}).Stale() || (discovery.Age{SinceUpdateS: 2, ReportedAgeS: 2}).Stale() {
		t.Error("Age.Stale must be true for 11 s and false for 4 s")
	}
	if len(lists) > 1 { // the first line of the watch is the full list
		t.Errorf("watcher passed on %d further lists, want at most one: lines without nodes are not changes", len(lists))
	}
	r, err := http.Get("http://" + a.Addr() + "/api/targets?watch=1&after=0")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	in := bufio.NewReader(r.Body)
	for range 2 {
		line, err := in.ReadBytes('\n')
		if l, perr := discovery.Parse(line); err != nil || perr != nil || l.SourceAgeS < 1 {
			t.Errorf("line %s, read error %v, parse error %v; want a list with a source age of at least 1 s", line, err, perr)
		}
	}
}
