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

// TestMain runs a program under test instead of the tests if RIG_KIND is set: spawn starts the test binary itself.
func TestMain(m *testing.M) {
	kind, file := os.Getenv("RIG_KIND"), os.Getenv("RIG_FILE")
	if kind == "" {
		os.Exit(m.Run())
	}
	if err := runProgram(kind, file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func runProgram(kind, file string) error {
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

// Guards the path from etcd to the nodes: a small fleet runs through each fault of etcd, in order, while nodes are marked as
// draining. No node receives an attempt past the drain's cutoff, none enters service on stale membership, and after each fault
// the lists of all agents equal what the sources hold.
func TestFleetWhileEtcdBreaks(t *testing.T) {
	rig, err := New(t.TempDir(), 3)
	if err != nil {
		t.Fatal(err)
	}
	defer rig.Close()
	SetRig(rig)
	cfg := testbed.FleetConfig{Forwarders: 2, Nodes: 4, Classes: testbed.LabClasses, Plans: testbed.LabPlans, Seed: 1, Dir: t.TempDir(), Spawn: spawn, MemoryMB: 256, SlowS: 1,
		Node: node.Config{Cores: 8, Queue: 100, Speed: 1, KeyedS: 4, Work: map[string]float64{"zone-check": 0.005, "slot-hold": 0.005, "courier-send": 0.005}}}
	rig.ConfigureFleet(&cfg)
	sc := testbed.Scenario{FleetConfig: cfg, Length: 16 * time.Second, Accounts: testbed.Accounts(4, 3, 1, 2, 2, 1), MinOccasions: map[string]int{oracle.RuleDrain: 1, oracle.RuleFreshMembership: 4}}
	// "next trouble" injects the next fault of etcd once the previous one is repaired; "mark" sets and removes drain marks.
	for i := range 400 {
		kind := "mark"
		if i%8 == 0 {
			kind = "next trouble"
		}
		sc.Faults = append(sc.Faults, testbed.Fault{At: time.Duration(i) * 40 * time.Millisecond, For: 300 * time.Millisecond, Kind: kind, A: i, B: i + 1})
	}
	played := 0
	testbed.AddKind("next trouble", "the next fault of etcd in order", "etcd", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		if played == len(etcdFaults) {
			return
		}
		x.A, x.B = played, played
		played++
		rig.injectPair(x, wait)
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
		t.Errorf("%d faults of etcd injected, want at least 4; %d convergence checks, want at least %d", played, len(f.Hist.ViewChecks), played-1)
	}
	if i := slices.IndexFunc(etcdFaults, func(x namedFault) bool {
		return rig.injected[x.name] == 0
	}); i >= 0 && played == len(etcdFaults) {
		t.Errorf("fault %q was never injected", etcdFaults[i].name)
	}
}
