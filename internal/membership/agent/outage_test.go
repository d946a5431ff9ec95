package agent

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/node"
	"eiderspread/policy"
)

var (
	cutoffs    = flag.Int("cutoffs", 0, "number of drains to measure, each from its write to the node's last new work; 0: skip the measurement")
	cutoffRate = flag.Float64("cutoff-rate", 100, "requests per second during the measurement")
	ingressBin = flag.String("ingress", "", "path of the ingress program, for -cutoffs")
)

// TestAgent_DrainDelay measures how long after the write of a drain, in the discovery service or in etcd, a node still gets new work. Run it
// with -cutoffs N -ingress bin/eiderspread.
func TestAgent_DrainDelay(t *testing.T) {
	if *cutoffs == 0 {
		t.Skip("-cutoffs is 0")
	}
	for _, source := range []string{"roster", "etcd"} {
		t.Run(source, func(t *testing.T) { measureDrainDelay(t, source) })
	}
}

func measureDrainDelay(t *testing.T, source string) {
	cfg := testbed.FleetConfig{Forwarders: 1, Nodes: 6, Classes: testbed.LabClasses, Plans: []policy.Plan{{Name: "wide", Rate: 1e5, Burst: 1e5, Weight: 1}},
		Node: node.Config{Cores: 64, Queue: 500, Speed: 1, KeyedS: 4, Work: map[string]float64{"zone-check": 0.005, "slot-hold": 0.005,
			"courier-send": 0.005}},
		Seed: 1, Direct: true, Dir: t.TempDir(), MemoryMB: 256, Sockets: 1024,
		Spawn: func(_, file string) *exec.Cmd {
			c := exec.Command(*ingressBin)
			c.Env = append(os.Environ(), "EDGE_CONFIG="+file)
			return c
		}}
	var e *etcdCluster
	if source == "etcd" {
		e = startEtcd(t)
		cfg.Discovery = func(f *testbed.Fleet, _ string) (string, error) {
			for _, n := range f.Nodes() {
				e.put("nodes/"+n.ID, `{"addr":"`+n.Addr()+`","zone":"a","weight":1}`)
			}
			a := startAgent(t, e.srv.Addr(), "")
			e.waitForView(a, "start")
			return a.Addr(), nil
		}
	}
	f, err := testbed.StartFleet(cfg)
	defer f.Stop()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var accounts []testbed.Account
	for i := range 20 {
		accounts = append(accounts, testbed.Account{Name: "00000000b4d6552" + string("0123456789abcdefghij"[i%16]), Plan: "wide", Rate: *cutoffRate / 20, Spread: 1})
	}
	go func() {
		defer close(done)
		testbed.NewClients(testbed.Traffic{Accounts: accounts, Classes: cfg.Classes, ClassFractions: map[string]float64{"zone-check": 0.4, "slot-hold": 0.3, "courier-send": 0.3},
			Units: map[string]int{"zone-check": 1, "slot-hold": 1, "courier-send": 1}, Seed: 1}, f.Hist, f.Front).Run(ctx)
	}()
	time.Sleep(2 * time.Second)
	set := func(n *testbed.Node, state string) {
		switch {
		case e == nil:
			f.Discovery.Set(discovery.Endpoint{ID: n.ID, Addr: n.Addr(), Zone: "a", State: state, Weight: 1})
		case state == "in_service":
			e.del("drain/" + n.ID)
		default:
			e.put("drain/"+n.ID, "{}")
		}
	}
	var delays []time.Duration
	for i := range *cutoffs {
		n := f.Nodes()[i%len(f.Nodes())]
		at := f.Hist.Now() // start of the write
		set(n, "terminating")
		time.Sleep(350 * time.Millisecond)
		unlock := f.Hist.Lock()
		last := time.Duration(0)
		for k := len(f.Hist.Attempts) - 1; k >= 0 && f.Hist.Attempts[k].At > at; k-- {
			if a := f.Hist.Attempts[k]; a.Node == n.ID {
				last = max(last, a.At-at)
			}
		}
		unlock()
		delays = append(delays, last)
		set(n, "in_service")
		time.Sleep(150 * time.Millisecond)
	}
	cancel()
	<-done
	slices.Sort(delays)
	tries := len(f.Hist.Requests)
	t.Logf("%s: %d drains at %.0f requests/s (%d requests in total): delay of the last new work: median %v, p99 %v, max %v", source, len(delays),
		*cutoffRate, tries, delays[len(delays)/2], delays[len(delays)*99/100], delays[len(delays)-1])
	if strings.Contains(source, "etcd") && delays[len(delays)-1] > 300*time.Millisecond {
		t.Errorf("a drained node got new work %v after the write, want at most 300 ms", delays[len(delays)-1])
	}
}
