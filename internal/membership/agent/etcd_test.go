package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/membership/etcdsource"
	"eiderspread/internal/membership/merge"
	"eiderspread/internal/testbed"
	standin "eiderspread/internal/testbed/etcdstandin"
	"eiderspread/internal/testbed/oracle"
)

const testTimeout = 60 * time.Second

var (
	etcdFor  = flag.Duration("etcd-for", 6*time.Second, "how long the test compacts, disconnects and restarts etcd")
	etcdSeed = flag.Uint64("etcd-seed", 1, "seed of the changes and faults")
)

// etcdCluster is the stand-in for etcd with the test's own client.
type etcdCluster struct {
	t   *testing.T
	srv *standin.Cluster
	cli *clientv3.Client
}

func startEtcd(t *testing.T) *etcdCluster {
	srv, err := standin.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Stop)
	e := &etcdCluster{t: t, srv: srv}
	if e.cli, err = clientv3.New(clientv3.Config{Endpoints: []string{"http://" + srv.Addr()}, DialTimeout: 5 * time.Second, Logger: zap.NewNop()}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.cli.Close() })
	return e
}

func (e *etcdCluster) start() {
	e.t.Helper()
	if err := e.srv.Start(); err != nil {
		e.t.Fatal(err)
	}
}

const prefix = "/t/"

func (e *etcdCluster) retry(f func(ctx context.Context) error) {
	e.t.Helper()
	end := time.Now().Add(testTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err := f(ctx)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			e.t.Fatal(err)
		}
	}
}

func (e *etcdCluster) put(key, value string) {
	e.t.Helper()
	e.retry(func(ctx context.Context) error { _, err := e.cli.Put(ctx, prefix+key, value); return err })
}

func (e *etcdCluster) del(key string) {
	e.t.Helper()
	e.retry(func(ctx context.Context) error { _, err := e.cli.Delete(ctx, prefix+key); return err })
}

func nodeValue(i int) string { return fmt.Sprintf(`{"addr":"127.0.0.1:%d","weight":1}`, 1000+i) }

// readList reads the list directly from etcd, independently of the agent's code, in the form of describe. It also returns the revision.
func (e *etcdCluster) readList() (string, int64) {
	var list []string
	var rev int64
	e.retry(func(ctx context.Context) error {
		r, err := e.cli.Get(ctx, prefix, clientv3.WithPrefix())
		if err != nil {
			return err
		}
		nodes, marks := map[string]string{}, map[string]bool{}
		for _, kv := range r.Kvs {
			key := strings.TrimPrefix(string(kv.Key), prefix)
			if id, ok := strings.CutPrefix(key, "drain/"); ok {
				marks[id] = true
			} else {
				var v struct{ Addr string }
				if err := json.Unmarshal(kv.Value, &v); err != nil {
					return err
				}
				nodes[strings.TrimPrefix(key, "nodes/")] = v.Addr
			}
		}
		list = nil
		for id, addr := range nodes {
			state := "in_service"
			if marks[id] {
				state = "terminating"
			}
			list = append(list, id+" "+addr+" "+state)
		}
		rev = r.Header.Revision
		return nil
	})
	sort.Strings(list)
	return strings.Join(list, "\n"), rev
}

func describe(l discovery.List) string {
	var list []string
	for _, t := range l.Endpoints {
		list = append(list, t.ID+" "+t.Addr+" "+t.State)
	}
	sort.Strings(list)
	return strings.Join(list, "\n")
}

func startAgent(t *testing.T, endpoint, discoveryAddr string) *Agent {
	t.Helper()
	a, _ := startAgentWith(t, config(endpoint, discoveryAddr))
	return a
}

func config(endpoint, discoveryAddr string) Config {
	cfg := Config{Listen: "127.0.0.1:0", Discovery: discoveryAddr,
		Etcd: etcdsource.Config{Endpoints: []string{"http://" + endpoint}, Prefix: prefix, ProgressInterval: 150 * time.Millisecond, ReadTimeout: 2 * time.Second,
			MaxRetryDelay: 300 * time.Millisecond},
		Merge: merge.Config{StaleAfterS: map[string]float64{etcdName: 0.8}, OrphanAfterS: 3600, FlapWindowS: 0.001, MaxFlapDelayS: 0.001}}
	if discoveryAddr != "" {
		cfg.Merge.StaleAfterS[discoveryName] = 5
	}
	return cfg
}

// startAgentWith starts an agent. It runs until stop is called or the test ends.
func startAgentWith(t *testing.T, cfg Config) (a *Agent, stop func()) {
	t.Helper()
	a, err := Open(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := a.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return a, stop
}

// waitForView waits until the agent's list equals etcd's and returns how long that took.
func (e *etcdCluster) waitForView(a *Agent, what string) time.Duration {
	e.t.Helper()
	began := time.Now()
	want, rev := e.readList()
	for time.Since(began) < testTimeout {
		if st := a.EtcdStatus(); st.Revision >= rev && describe(a.EndpointList()) == want {
			return time.Since(began)
		}
		time.Sleep(time.Millisecond)
	}
	e.t.Fatalf("%s: the agent's list is\n%s\nwant etcd's list at revision %d\n%s\nstatus %+v", what, describe(a.EndpointList()), rev, want, a.EtcdStatus())
	return 0
}

// Guards recovery from etcd faults: etcd is compacted, disconnected, restarted and replaced by an empty cluster while nodes and drain marks
// change. After each fault the agent's list must equal etcd's.
func TestAgent_FollowsEtcd(t *testing.T) {
	e := startEtcd(t)
	link, err := testbed.NewLink(e.srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	rng := rand.New(rand.NewPCG(*etcdSeed, 1))
	flip := func() {
		i := rng.IntN(12)
		switch rng.IntN(4) {
		case 0:
			e.put(fmt.Sprintf("drain/n%d", i), "{}")
		case 1:
			e.del(fmt.Sprintf("drain/n%d", i))
		case 2:
			e.del(fmt.Sprintf("nodes/n%d", i))
		case 3:
			e.put(fmt.Sprintf("nodes/n%d", i), nodeValue(i))
		}
	}
	for range 20 {
		flip()
	}
	a := startAgent(t, link.Addr(), "")
	e.waitForView(a, "start")
	var took []time.Duration
	compacted := 0
	for end := time.Now().Add(*etcdFor); time.Now().Before(end); {
		for range rng.IntN(10) {
			flip()
		}
		what := []string{"calm", "cut", "cut and compacted", "restarted", "emptied", "storm"}[rng.IntN(6)]
		switch what {
		case "cut":
			link.Cut()
			for range 10 {
				flip()
			}
			link.Heal()
		case "cut and compacted":
			link.Cut()
			for range 10 {
				flip()
			}
			_, rev := e.readList()
			e.retry(func(ctx context.Context) error {
				_, err := e.cli.Compact(ctx, rev)
				if err != nil && strings.Contains(err.Error(), "compacted") {
					return nil
				}
				return err
			})
			link.Heal()
			compacted++
		case "storm": // 1000 changes in 8 transactions, then 8 deletions by prefix
			for k := range 8 {
				var ops []clientv3.Op
				for i := range 125 {
					ops = append(ops, clientv3.OpPut(fmt.Sprintf("%snodes/s%d", prefix, k*125+i), nodeValue(i)))
				}
				e.retry(func(ctx context.Context) error { _, err := e.cli.Txn(ctx).Then(ops...).Commit(); return err })
			}
			for k := range 8 {
				e.retry(func(ctx context.Context) error {
					_, err := e.cli.Delete(ctx, fmt.Sprintf("%snodes/s%d", prefix, k), clientv3.WithPrefix())
					return err
				})
			}
		case "restarted":
			e.srv.Stop()
			e.start()
			flip()
		case "emptied":
			e.srv.Stop()
			e.srv.Wipe()
			e.start()
			for range 5 {
				flip()
			}
		}
		took = append(took, e.waitForView(a, what))
	}
	st := a.EtcdStatus()
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	t.Logf("%d recoveries, %d compactions, %d met by the agent; time to recovery: median %v, max %v; status %+v", len(took), compacted, st.Compacted,
		took[len(took)/2], took[len(took)-1], st)
	if st.Compacted == 0 || st.Replaced == 0 {
		t.Errorf("agent met %d compactions and %d replaced clusters, want at least one of each for the test to be valid", st.Compacted, st.Replaced)
	}
}

// Guards the merge of both sources: a drain mark in etcd on a node of the discovery service, changes of the discovery
// service while etcd is disconnected, and a drain by etcd that must stay while etcd is stopped.
func TestAgent_MergesEtcdAndDiscovery(t *testing.T) {
	e := startEtcd(t)
	link, err := testbed.NewLink(e.srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	hist := oracle.NewHistory()
	service := testbed.NewDiscovery(hist)
	defer service.Close()
	addr, err := service.For("a")
	if err != nil {
		t.Fatal(err)
	}
	set := func(id, state string) {
		service.Set(discovery.Endpoint{ID: id, Addr: "127.0.0.1:1" + strings.TrimPrefix(id, "n"), State: state, Weight: 1})
	}
	set("n01", "in_service")
	set("n02", "in_service")
	a := startAgent(t, link.Addr(), addr)
	state := func(id, want string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			got := ""
			for _, s := range a.EndpointList().Endpoints {
				if s.ID == id {
					got = s.State
				}
			}
			if got == want {
				return
			}
		}
		t.Fatalf("node %s does not reach state %q; the list is\n%v", id, want, describe(a.EndpointList()))
	}
	state("n01", "in_service")
	e.put("drain/n01", "{}") // etcd does not list the node: the mark applies to the ID
	state("n01", "terminating")
	set("n01", "in_service")
	set("n02", "terminating")
	state("n02", "terminating")
	state("n01", "terminating")
	e.del("drain/n01")
	state("n01", "in_service")
	link.Cut() // etcd is unreachable: changes of the discovery service still apply
	set("n03", "in_service")
	state("n03", "in_service")
	e.put("drain/n03", "{}")
	set("n02", "in_service")
	state("n02", "in_service")
	link.Heal()
	state("n03", "terminating")
	e.srv.Stop() // the reports of etcd stay in effect
	set("n03", "in_service")
	set("n04", "in_service")
	state("n04", "in_service")
	state("n03", "terminating")
	// An ingress reads the full list.
	r, err := http.Get("http://" + a.Addr() + "/api/targets?watch=1&after=0")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	line, err := bufio.NewReader(r.Body).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	l, err := discovery.Parse(line)
	if err != nil || !l.Full || len(l.Endpoints) != 4 {
		t.Errorf("watch got %+v, error %v; want the full list of four endpoints", l, err)
	}
}
