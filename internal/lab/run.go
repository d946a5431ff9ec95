package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"eiderspread/internal/forward"
	"eiderspread/policy"
)

// Classes and plans of the laboratory: the middle of what the operators state for rayon-quebec.
var (
	LabClasses = []policy.Class{
		{Name: "zone-check", AimS: 0.5, DeadlineS: 2, Worth: 1, Effect: policy.Safe},
		{Name: "slot-hold", AimS: 1, DeadlineS: 4, Worth: 3, Effect: policy.Keyed, KeyTTLS: 4},
		{Name: "courier-send", AimS: 1.5, DeadlineS: 4, Worth: 5, Effect: policy.Unsafe},
	}
	LabPlans = []policy.Plan{
		{Name: "comptoir", Rate: 2, Burst: 9, Price: 0.8},
		{Name: "resto", Rate: 9, Burst: 18, Price: 1.1, Parallel: 6},
		{Name: "chaine", Rate: 38, Burst: 76, Price: 1.6, CeilingRate: 68, CeilingBurst: 137, CeilingSlack: 14},
	}
	labWork = map[string]time.Duration{"zone-check": 30 * time.Millisecond, "slot-hold": 60 * time.Millisecond,
		"courier-send": 100 * time.Millisecond}
	labShares = map[string]float64{"zone-check": 0.37, "slot-hold": 0.34, "courier-send": 0.29}
	labUnits  = map[string]int{"zone-check": 1, "slot-hold": 2, "courier-send": 3}
)

// LabNode is the stand-in node of the laboratory's runs.
var LabNode = NodeConfig{Cores: 8, Queue: 40, Speed: 1, KeyedS: 4, ColdS: 3, ColdPart: 0.4, Work: labWork}

// Accounts makes a population: of each plan so many accounts, most of them well under their quotas, one in five near
// it, one in eight far beyond it now and then, the first of chaine always far beyond it. Each comes through spread
// forwarders.
func Accounts(comptoir, resto, chaine, forwarders, spread int, seed uint64) []Account {
	rng := rand.New(rand.NewPCG(seed, 3))
	var list []Account
	for i, n := range []int{comptoir, resto, chaine} {
		p := LabPlans[i]
		for j := range n {
			a := Account{Name: fmt.Sprintf("%016x", uint64(i+1)<<28|uint64(j)), Plan: p.Name,
				Rate: p.Rate * (0.3 + 0.2*rng.Float64()), Spread: min(spread, forwarders)}
			a.First = rng.IntN(forwarders - a.Spread + 1)
			switch {
			case i == 2 && j == 0:
				a.Rate = p.Rate * 3
			case j%5 == 1:
				a.Rate = p.Rate * 0.85
			case j%8 == 2:
				a.FloodX, a.FloodEvery, a.FloodFor = 8, 8*time.Second, 3*time.Second
			}
			list = append(list, a)
		}
	}
	return list
}

// Scenario is one run of a fleet under faults.
type Scenario struct {
	FleetConfig
	Accounts []Account
	Length   time.Duration
	Faults   bool
	Every    time.Duration // mean time between two faults
	Kinds    []string      // of faults; none: all
}

// Kinds of faults.
var faultKinds = []string{"kill", "kill", "pause", "cut", "split", "drain", "forwarder", "lone", "term", "all"}

// Run starts a fleet, lets clients and faults loose on it and has the auditor judge.
func Run(sc Scenario, log io.Writer) (*Fleet, *Report, error) {
	f, err := StartFleet(sc.FleetConfig)
	if err != nil {
		f.Stop()
		return f, nil, err
	}
	defer f.Stop()
	if err := f.WaitLed(20 * time.Second); err != nil {
		return f, nil, err
	}
	ctx, end := context.WithTimeout(context.Background(), sc.Length)
	defer end()
	clients := NewClients(Traffic{Accounts: sc.Accounts, Classes: sc.Classes, Shares: labShares, Units: labUnits, Retries: 2,
		Seed: sc.Seed}, f.Hist, f.Addr)
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		if sc.Faults {
			f.faults(ctx, sc, log)
		}
	}()
	clients.Run(ctx)
	<-faults
	time.Sleep(500 * time.Millisecond) // for nodes to notice what was given up
	return f, Audit(f.Hist, f.Rules()), nil
}

// WaitLed waits until all forwarders follow a leader in all cells.
func (f *Fleet) WaitLed(most time.Duration) error {
	if len(f.Planners) == 0 {
		return nil
	}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f.Led() == len(f.Forwarders)*f.cfg.Params.Cells {
			return nil
		}
	}
	return fmt.Errorf("after %v %d of %d cells are led", most, f.Led(), len(f.Forwarders)*f.cfg.Params.Cells)
}

// Led counts the cells that forwarders see as led, over all forwarders.
func (f *Fleet) Led() (n int) {
	for _, p := range f.Forwarders {
		var st forward.Status
		if p.ReadStatus(context.Background(), &st) == nil {
			for _, c := range st.Cells {
				if c.Led {
					n++
				}
			}
		}
	}
	return n
}

// faults does what goes wrong, one thing at a time, and mends it.
func (f *Fleet) faults(ctx context.Context, sc Scenario, log io.Writer) {
	rng := rand.New(rand.NewPCG(sc.Seed, 5))
	kinds := sc.Kinds
	if len(kinds) == 0 {
		kinds = faultKinds
	}
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	span := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	for wait(span(sc.Every/2, 3*sc.Every/2)) {
		kind := kinds[rng.IntN(len(kinds))]
		p, i := 0, rng.IntN(len(f.Forwarders))
		if len(f.Planners) > 0 {
			p = rng.IntN(len(f.Planners))
		} else if kind != "drain" && kind != "forwarder" && kind != "split" {
			kind = "forwarder"
		}
		long := span(500*time.Millisecond, 3*time.Second)
		what := fmt.Sprintf("%s planner %d forwarder %d for %v", kind, p, i, long.Round(time.Millisecond))
		f.Hist.fault(what)
		fmt.Fprintf(log, "%8.3f %s\n", f.Hist.Now().Seconds(), what)
		switch kind {
		case "kill":
			f.Planners[p].Kill()
			wait(long)
			f.Planners[p].Start()
		case "term":
			f.Planners[p].Term()
			wait(long)
			f.Planners[p].Start()
		case "pause":
			f.Planners[p].Pause()
			wait(5 * time.Second)
			f.Planners[p].Resume()
		case "cut": // a planner from half of the forwarders
			f.cut(p, func(i int) bool { return i%2 == 0 })
			wait(long)
			f.heal(p)
		case "split": // a planner from all forwarders
			if f.Peers != nil { // between ingresses: two halves
				f.Peers.All(Weather{Cut: true}, func(i, j int) bool { return i%2 != j%2 })
				wait(long)
				f.Peers.All(Weather{}, nil)
				break
			}
			f.cut(p, func(int) bool { return true })
			wait(long)
			f.heal(p)
		case "all": // planners die at once and come back empty
			for _, p := range f.Planners {
				p.Kill()
			}
			wait(long)
			for _, p := range f.Planners {
				p.Start()
			}
		case "lone": // a forwarder from all planners
			for p := range f.Planners {
				f.cut(p, func(n int) bool { return n == i })
			}
			wait(long)
			for p := range f.Planners {
				f.heal(p)
			}
		case "forwarder":
			from := f.Hist.Now()
			f.Forwarders[i].Kill()
			wait(long)
			f.Forwarders[i].Start()
			f.Forwarders[i].Ready(10 * time.Second)
			f.Hist.outage(i, from, f.Hist.Now())
		case "drain":
			if _, err := f.AddNode(); err == nil {
				f.Drain(2 * time.Second)
			}
		}
	}
}

func (f *Fleet) cut(p int, which func(forwarder int) bool) {
	for i, k := range f.Links[p] {
		if which(i) {
			k.Cut()
		}
	}
}

func (f *Fleet) heal(p int) {
	for _, k := range f.Links[p] {
		k.Heal()
	}
}

// Print writes a report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "tries %d: served %d, refused %d, failed %d, broken %d, open %d; attempts %d\n", r.Tries, r.Results[Served],
		r.Results[Refused], r.Results[Failed], r.Results[Broken], r.Results[Open], r.Attempts)
	var plans []string
	for name, s := range r.ByPlan {
		plans = append(plans, fmt.Sprintf("%s %.3f", name, s))
	}
	sort.Strings(plans)
	fmt.Fprintf(w, "service %.3f (%s)\n", r.Service, strings.Join(plans, ", "))
	lost, worst := 0.0, 1.0
	for _, x := range r.Windows {
		if x >= 0 {
			lost += 1 - x
			worst = min(worst, x)
		}
	}
	fmt.Fprintf(w, "accounts inside their quotas: %.2f seconds of service lost, the worst second at %.3f\n", lost, worst)
	fmt.Fprint(w, "by second:")
	for _, x := range r.Windows {
		fmt.Fprintf(w, " %.2f", x)
	}
	fmt.Fprintln(w)
	for i, o := range r.Overshoots {
		if i == 5 {
			break
		}
		fmt.Fprintf(w, "overshoot %s %s: %.1f units, %.1f%% of the burst, at %.1f s\n", o.Account, o.Plan, o.Units, o.Percent, o.At.Seconds())
	}
	var rules []string
	for rule, n := range r.Counts {
		rules = append(rules, fmt.Sprintf("%s %d", rule, n))
	}
	sort.Strings(rules)
	fmt.Fprintf(w, "breaches: %s\n", strings.Join(append(rules, ""), "; "))
	for i, b := range r.Breaches {
		if i == 12 {
			break
		}
		fmt.Fprintf(w, "  %8.3f %s: %s\n", b.At.Seconds(), b.Rule, b.What)
	}
}
