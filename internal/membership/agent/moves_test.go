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

// waitFor waits for what an agent serves to be so.
func waitFor(t *testing.T, a *Agent, what string, ok func(l discovery.List) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok(a.EndpointList()) {
			return
		}
	}
	t.Fatalf("%s: %v, %+v", what, describe(a.EndpointList()), a.EtcdStatus())
}

func state(l discovery.List, id string) string {
	for _, s := range l.Endpoints {
		if s.ID == id {
			return s.State
		}
	}
	return ""
}

// Guards SIGHUP's part: an agent goes on at other members with other certificates, its list and version as they were and
// without a new read; at another cluster it takes the whole, after a change in the very moment too.
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
	a, _ := startWith(t, write(addrs[0]))
	waitFor(t, a, "start", func(l discovery.List) bool { return len(l.Endpoints) == 2 })
	version := a.EndpointList().Version
	if a.Reload(write(addrs[1], addrs[2])) {
		t.Error("more than endpoints and certificates is said to differ")
	}
	c.Set("/t/drain/a", "{}") // in the same moment
	c.StopMember(0)           // where it was is gone
	waitFor(t, a, "after the move", func(l discovery.List) bool { return state(l, "a") == "terminating" && len(l.Endpoints) == 2 })
	if st := a.EtcdStatus(); a.EndpointList().Version < version || st.FullReads != 1 {
		t.Errorf("version %d after %d, %+v", a.EndpointList().Version, version, st)
	}
	other, err := standin.Open(standin.Config{TLS: tls})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	other.Restore(standin.Head{Cluster: 9, Revision: 5, Term: 3}, standin.KV{Key: "/t/nodes/b", Value: nodeValue(2), Revision: 4})
	version = a.EndpointList().Version
	a.Reload(write(addrs[1]))
	a.Reload(write(other.Addr())) // the last word counts
	waitFor(t, a, "at another cluster", func(l discovery.List) bool { return len(l.Endpoints) == 1 && state(l, "b") == "in_service" })
	if st := a.EtcdStatus(); a.EndpointList().Version <= version || st.Replaced != 1 {
		t.Errorf("version %d after %d, %+v", a.EndpointList().Version, version, st)
	}
	next := write(other.Addr())
	next.Merge.OrphanAfterS++
	if !a.Reload(next) {
		t.Error("what a restart alone takes over is not said")
	}
}

// Guards against tokens that run out at the worst moments: during the read after a compaction, and before a watch.
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
	a, _ := startWith(t, cfg)
	waitFor(t, a, "start", func(l discovery.List) bool { return len(l.Endpoints) == 1 })
	forgotten := 0
	c.SetScript(standin.Script{AfterRead: func() {
		if forgotten++; forgotten < 4 {
			c.Forget()
		}
	}, OnWatch: func(pb.Watch_WatchServer, int64) {}})
	link.Cut()
	c.Set("/t/drain/a", "{}")
	c.Set("/t/nodes/b", nodeValue(2))
	c.CompactAll()
	c.Forget()
	link.Heal()
	waitFor(t, a, "after the compaction", func(l discovery.List) bool { return state(l, "a") == "terminating" && state(l, "b") == "in_service" })
	c.Jump(time.Hour) // and the clock says that all have run out
	link.Break()
	c.Delete("/t/drain/a")
	waitFor(t, a, "after the hour", func(l discovery.List) bool { return state(l, "a") == "in_service" })
	if a.EtcdStatus().Compacted == 0 || forgotten == 0 {
		t.Errorf("%+v, forgotten %d times: the run shows nothing", a.EtcdStatus(), forgotten)
	}
}

// Guards an agent that is killed and comes back during a drain, while etcd, which told the drain, is out of reach: it knows it
// still, and its version goes on although the clock was put back.
func TestAgent_RestartsDuringDrain(t *testing.T) {
	for _, kept := range []bool{true, false} {
		e := startEtcd(t)
		link, err := testbed.NewLink(e.srv.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer link.Close()
		ros := testbed.NewDiscovery(oracle.NewHistory())
		defer ros.Close()
		addr, err := ros.For("a")
		if err != nil {
			t.Fatal(err)
		}
		ros.Set(discovery.Endpoint{ID: "n", Addr: "127.0.0.1:1", State: "in_service", Weight: 1})
		ros.Set(discovery.Endpoint{ID: "m", Addr: "127.0.0.1:2", State: "in_service", Weight: 1})
		cfg := config(link.Addr(), addr)
		cfg.StartTimeoutS = 0.3
		if kept {
			cfg.State = filepath.Join(t.TempDir(), "state")
		}
		a, stop := startWith(t, cfg)
		e.put("drain/n", "{}")
		waitFor(t, a, "the drain", func(l discovery.List) bool { return state(l, "n") == "terminating" && state(l, "m") == "in_service" })
		link.Cut()
		stop()
		version := a.EndpointList().Version
		if kept {
			m, err := loadState(cfg.State)
			if err != nil || m.Version != version {
				t.Fatalf("%+v, %v, want version %d", m, err, version)
			}
			m.Version += 3.6e6 // as a clock that was an hour ahead would have had it
			version = m.Version
			if err := writeState(cfg.State, m); err != nil {
				t.Fatal(err)
			}
		}
		b, _ := startWith(t, cfg)
		ros.Set(discovery.Endpoint{ID: "m", Addr: "127.0.0.1:2", State: "terminating", Weight: 1})
		waitFor(t, b, "back", func(l discovery.List) bool { return state(l, "m") == "terminating" })
		if got := state(b.EndpointList(), "n"); kept != (got == "terminating") {
			t.Errorf("kept %v: the marked node is %q", kept, got) // without a file it can't be known
		}
		if kept && b.EndpointList().Version <= version {
			t.Errorf("version %d after %d", b.EndpointList().Version, version)
		}
		link.Heal()
		waitFor(t, b, "etcd again", func(l discovery.List) bool { return state(l, "n") == "terminating" })
		e.del("drain/n")
		waitFor(t, b, "taken back", func(l discovery.List) bool { return state(l, "n") == "in_service" })
	}
}

// Guards ingresses against an agent that has just come: it serves nothing before its sources are current, then without the one
// that does not come in time.
func TestAgent_ServesNothingBeforeSync(t *testing.T) {
	e := startEtcd(t)
	e.put("nodes/a", nodeValue(1))
	link, err := testbed.NewLink(e.srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.Cut()
	ros := testbed.NewDiscovery(oracle.NewHistory())
	defer ros.Close()
	addr, err := ros.For("a")
	if err != nil {
		t.Fatal(err)
	}
	ros.Set(discovery.Endpoint{ID: "m", Addr: "127.0.0.1:2", State: "in_service", Weight: 1})
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
	a, _ := startWith(t, cfg)
	waitFor(t, a, "the roster", func(l discovery.List) bool { return state(l, "m") == "in_service" })
	if code, _ := get(a); code != http.StatusServiceUnavailable {
		t.Errorf("%d while etcd has said nothing", code)
	}
	link.Heal()
	for code, l := get(a); code != http.StatusOK || len(l.Endpoints) != 2; code, l = get(a) {
		if code == http.StatusOK && len(l.Endpoints) < 2 {
			t.Fatalf("served too early: %+v", l)
		}
		time.Sleep(time.Millisecond)
	}
	link.Cut()
	cfg.StartTimeoutS = 0.01
	b, _ := startWith(t, cfg)
	for code, l := get(b); code != http.StatusOK; code, l = get(b) {
		if code == http.StatusOK && state(l, "m") == "" {
			t.Fatalf("served %+v", l)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards what a machine beside the agent can know of its age: lines without nodes tell it, and a watcher sums it up.
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
			t.Fatalf("%+v", w.Age())
		}
	}
	if !(discovery.Age{SinceUpdateS: 2, ReportedAgeS: 9}).Stale() || (discovery.Age{SinceUpdateS: 2, ReportedAgeS: 2}).Stale() {
		t.Error("what is old is not said to be")
	}
	if len(lists) > 1 { // the watch's first line is the whole list
		t.Errorf("%d lists: lines without nodes are taken for changes", len(lists))
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
			t.Errorf("%s, %v, %v", line, err, perr)
		}
	}
}
