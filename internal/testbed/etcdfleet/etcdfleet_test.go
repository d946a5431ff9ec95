package etcdfleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/membership/agent"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
)

// The programs under test are this one, started again.
func TestMain(m *testing.M) {
	kind, file := os.Getenv("RIG_KIND"), os.Getenv("RIG_FILE")
	if kind == "" {
		os.Exit(m.Run())
	}
	if err := program(kind, file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func program(kind, file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if kind == "ingress" {
		cfg, err := ingressconfig.Read(file)
		if err != nil {
			return err
		}
		return ingress.Run(ctx, cfg, nil, log)
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := agent.ReadFile(file)
	if err != nil {
		return err
	}
	a, err := agent.Open(cfg, log)
	if err != nil {
		return err
	}
	go func() {
		for range hup {
			if cfg, err := agent.ReadFile(file); err == nil {
				a.Reload(cfg)
			}
		}
	}()
	return a.Run(ctx)
}

func spawn(kind, file string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "RIG_KIND="+kind, "RIG_FILE="+file)
	return c
}

// Guards the whole way from etcd to a node: a small fleet through one trouble of each kind, in order, while nodes are marked.
// No node gets work past the cutoff, none comes in on a stale word, and after each trouble all views are the truth.
func TestFleetWhileEtcdBreaks(t *testing.T) {
	rig, err := New(t.TempDir(), 3)
	if err != nil {
		t.Fatal(err)
	}
	defer rig.Close()
	Play(rig)
	cfg := testbed.FleetConfig{Forwarders: 2, Nodes: 4, Classes: testbed.LabClasses, Plans: testbed.LabPlans, Seed: 1, Dir: t.TempDir(), Spawn: spawn, MemoryMB: 256, SlowS: 1,
		Node: node.Config{Cores: 8, Queue: 100, Speed: 1, KeyedS: 4, Work: map[string]float64{"zone-check": 0.005, "slot-hold": 0.005, "courier-send": 0.005}}}
	rig.Use(&cfg)
	sc := testbed.Scenario{FleetConfig: cfg, Length: 16 * time.Second, Accounts: testbed.Accounts(4, 3, 1, 2, 2, 1), Floors: map[string]int{oracle.RuleDrain: 1, oracle.RuleFreshMembership: 4}}
	// The troubles come one after the other as the one before is over; marks beside them.
	for i := range 400 {
		kind := "mark"
		if i%8 == 0 {
			kind = "next trouble"
		}
		sc.Faults = append(sc.Faults, testbed.Fault{At: time.Duration(i) * 40 * time.Millisecond, For: 300 * time.Millisecond, Kind: kind, A: i, B: i + 1})
	}
	played := 0
	testbed.AddKind("next trouble", "the troubles in their order", "etcd", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		if played == len(inOrder) {
			return
		}
		x.A, x.B = played, played
		played++
		rig.round(x, wait)
	})
	f, rep, err := testbed.RunWith(sc, io.Discard, func() { rig.Print(io.Discard) })
	if err != nil {
		t.Fatal(err)
	}
	if err := rep.Verdict(); err != nil {
		var b strings.Builder
		rep.Print(&b)
		t.Errorf("%v\n%s", err, b.String())
	}
	rig.mu.Lock()
	defer rig.mu.Unlock()
	if played < 4 || len(f.Hist.ViewChecks) < played-1 {
		t.Errorf("%d troubles played, %d times current again: the run shows too little", played, len(f.Hist.ViewChecks))
	}
	if i := slices.IndexFunc(inOrder, func(x namedFault) bool {
		return rig.met[x.name] == 0
	}); i >= 0 && played == len(inOrder) {
		t.Errorf("no %s", inOrder[i].name)
	}
}
