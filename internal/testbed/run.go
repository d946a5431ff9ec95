package testbed

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"eiderspread/internal/controlplane/forwarder"
	"eiderspread/internal/controlplane/planner"
	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// Classes and plans of the laboratory: the middle of what the operators state for rayon-quebec.
var (
	LabClasses = []policy.Class{
		{Name: "zone-check", LatencyObjectiveS: 0.5, DeadlineS: 2, PriorityWeight: 1, Idempotency: policy.Idempotent},
		{Name: "slot-hold", LatencyObjectiveS: 1, DeadlineS: 4, PriorityWeight: 3, Idempotency: policy.KeyedIdempotent, KeyTTLS: 4},
		{Name: "courier-send", LatencyObjectiveS: 1.5, DeadlineS: 4, PriorityWeight: 5, Idempotency: policy.NonIdempotent},
	}
	LabPlans = []policy.Plan{
		{Name: "comptoir", Rate: 2, Burst: 9, Weight: 0.8, OverQuotaCostFraction: 1},
		{Name: "resto", Rate: 9, Burst: 18, Weight: 1.1, MaxConcurrency: 6},
		{Name: "chaine", Rate: 38, Burst: 76, Weight: 1.6, OverQuotaCostFraction: 0.8, HardLimitRate: 68, HardLimitBurst: 137, HardLimitSlack: 14},
	}
	labWork           = map[string]float64{"zone-check": 0.03, "slot-hold": 0.06, "courier-send": 0.1}
	LabClassFractions = map[string]float64{"zone-check": 0.37, "slot-hold": 0.34, "courier-send": 0.29}
	LabUnits          = map[string]int{"zone-check": 1, "slot-hold": 2, "courier-send": 3}
)

// TightenHardLimits are plans with ceilings under their quotas, so that the ceilings bind.
func TightenHardLimits(plans []policy.Plan) []policy.Plan {
	plans = slices.Clone(plans)
	for i := range plans {
		if p := &plans[i]; p.HardLimitRate > 0 {
			p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack = p.Rate*0.6, p.Burst*0.6, 6
		}
	}
	return plans
}

// LabNode is the stand-in node of the laboratory's runs: as cold at its start and as easily pushed over as the operators say.
var LabNode = node.Config{Cores: 3, Queue: 30, Speed: 1, KeyedS: 4, SlowStartS: 8, SlowStartMinFraction: 0.26, FallMultiple: StatedMultiple, FallS: StatedFallS,
	Work: labWork, Conns: 200, IdleS: 15}

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

// ManyAccounts are accounts of many ingresses: a third come through all of them, the others through a quarter. One in ten asks for three to six times its
// quota all the time, one in five for nearly all of it, and one in seven floods now and then.
func ManyAccounts(forwarders int, seed uint64) []Account {
	rng := rand.New(rand.NewPCG(seed, 14))
	list := Accounts(60, 40, 16, forwarders, forwarders, seed)
	for i := range list {
		a := &list[i]
		p := LabPlans[slices.IndexFunc(LabPlans, func(p policy.Plan) bool { return p.Name == a.Plan })]
		a.Rate, a.FloodX = p.Rate*(0.2+0.3*rng.Float64()), 0
		if i%3 > 0 {
			a.Spread = max(forwarders/4, min(3, forwarders))
		}
		a.First = rng.IntN(forwarders - a.Spread + 1)
		switch x := rng.Float64(); {
		case x < 0.1:
			a.Rate = p.Rate * (3 + 3*rng.Float64())
		case x < 0.3:
			a.Rate = p.Rate * (0.8 + 0.15*rng.Float64())
		case x < 0.45:
			a.FloodX, a.FloodEvery, a.FloodFor = 8, 8*time.Second, 3*time.Second
		}
	}
	return list
}

// ConcurrencyLimitedAccounts is a population as the operators' largest days have it: for each ingress four small accounts, one with a cap on open attempts, and for every
// second a large one. Each comes through a thirtieth to two thirds of many ingresses, one with a ceiling through no more than keep two of the largest
// requests in its burst each. Most ask for a third to half of their quota, large ones for more, one in six for nearly all of it, one in twelve for
// three times as much.
func ConcurrencyLimitedAccounts(forwarders int, seed uint64) []Account {
	rng := rand.New(rand.NewPCG(seed, 15))
	list := Accounts(forwarders*4, forwarders, max(forwarders/2, 1), forwarders, forwarders, seed)
	for i := range list {
		a := &list[i]
		p := LabPlans[slices.IndexFunc(LabPlans, func(p policy.Plan) bool { return p.Name == a.Plan })]
		a.Rate, a.FloodX = p.Rate*(0.3+0.2*rng.Float64()), 0
		a.Spread = min(max(int(float64(forwarders)/30*math.Pow(20, rng.Float64())), 3), forwarders)
		if p.HardLimitBurst > 0 {
			a.Spread, a.Rate = min(a.Spread, int(p.HardLimitBurst/6)), a.Rate*1.4
		} else if p.MaxConcurrency == 0 {
			a.Spread = min(a.Spread, max(forwarders/12, 3))
		}
		a.First = rng.IntN(forwarders - a.Spread + 1)
		switch {
		case i%6 == 1:
			a.Rate = p.Rate * (0.8 + 0.1*rng.Float64())
		case i%12 == 2:
			a.Rate = 3 * p.Rate
		}
	}
	return list
}

// Homes is where accounts come in.
func Homes(list []Account) map[string]oracle.GatewayRange {
	homes := map[string]oracle.GatewayRange{}
	for _, a := range list {
		homes[a.Name] = oracle.GatewayRange{First: a.First, Count: a.Spread}
	}
	return homes
}

// Scenario is one run of a fleet under faults.
type Scenario struct {
	FleetConfig
	Name      string
	Traffic   Traffic // classes, shares and units are filled in
	Accounts  []Account
	Length    time.Duration
	Faults    []Fault
	Floors    map[string]int // see audit.Rules
	NodeCount int            // in place of a scenario's own number of nodes; 0: as it says
	inspectAfter      time.Duration
	inspect      func(f *Fleet) // called when clients have asked for so long; nil: nothing is
	Upgrades  int            // of the whole fleet, one after the other, in two levels
}

// Run starts a fleet, lets clients and faults loose on it and has the auditor judge.
func Run(sc Scenario, log io.Writer) (*Fleet, *oracle.Report, error) {
	return RunWith(sc, log, func() {})
}

// RunAndInspect is Run that calls look while the fleet runs, so long after clients began.
func RunAndInspect(sc Scenario, log io.Writer, at time.Duration, look func(f *Fleet)) (*Fleet, *oracle.Report, error) {
	sc.inspectAfter, sc.inspect = at, look
	return Run(sc, log)
}

// settleTime is how long backends have to notice what was given up, after the last answer.
const settleTime = 500 * time.Millisecond

// RunWith is Run that calls ended while the fleet still runs, when clients and faults have come to their end.
func RunWith(sc Scenario, log io.Writer, ended func()) (*Fleet, *oracle.Report, error) {
	f, err := StartFleet(sc.FleetConfig)
	if err != nil {
		f.Stop()
		return f, nil, err
	}
	defer f.Stop()
	if err := f.WaitForLeaders(20 * time.Second); err != nil {
		return f, nil, err
	}
	ctx, end := context.WithTimeout(context.Background(), sc.Length)
	defer end()
	f.addClients(sc)
	faulty, mend := context.WithCancel(context.Background()) // until the last answers: what is mended all at once would meet requests under way
	defer mend()
	var beside sync.WaitGroup
	beside.Go(func() { f.measureLateness(ctx) })
	beside.Go(func() { f.play(ctx, faulty, sc.Faults, log) })
	beside.Go(func() { f.upgradeAndLog(ctx, sc.Upgrades, log) })
	beside.Go(func() { sc.runInspection(ctx, f) })
	if sc.MeasureOverload && sc.Operator != "" {
		beside.Go(func() { f.recordLoadLevels(ctx) })
	}
	f.clients.Run(ctx)
	mend()
	beside.Wait()
	ended()
	time.Sleep(settleTime)
	f.recordRuleViolations()
	rules := f.Rules()
	rules.MinOccasions = sc.Floors
	return f, oracle.Check(f.Hist, rules), nil
}

// addClients makes the scenario's clients. Its peak counts from now on, by the history's clock, which runs since the fleet's start.
func (f *Fleet) addClients(sc Scenario) {
	if sc.Peak.To > 0 {
		began := f.Hist.Now()
		f.cfg.Peak = oracle.Peak{From: began + sc.Peak.From, To: began + sc.Peak.To}
	}
	t := sc.Traffic
	t.Accounts, t.Classes, t.ClassFractions, t.Units, t.Seed = sc.Accounts, sc.Classes, LabClassFractions, LabUnits, sc.Seed
	t.Retries, f.accounts = 2, sc.Accounts
	f.clients = NewClients(t, f.Hist, f.Front)
}

// upgradeAndLog upgrades the whole fleet so many times.
func (f *Fleet) upgradeAndLog(ctx context.Context, times int, log io.Writer) {
	if times > 0 {
		took, err := f.UpgradeAll(ctx, times)
		fmt.Fprintf(log, "upgraded whole %d times, in %v; %v\n", len(took), took, err)
	}
}

// runInspection calls look when clients have asked for as long as the scenario says.
func (sc Scenario) runInspection(ctx context.Context, f *Fleet) {
	if sc.inspect == nil {
		return
	}
	select {
	case <-time.After(sc.inspectAfter):
		sc.inspect(f)
	case <-ctx.Done():
	}
}

const latenessInterval = 20 * time.Millisecond

// measureLateness measures for as long as ctx lasts how late the laboratory itself is: its timers, and its taking of connections.
func (f *Fleet) measureLateness(ctx context.Context) {
	l, err := net.Listen("tcp", ownAddr(0))
	if err != nil {
		return
	}
	defer l.Close()
	accepted := make(chan struct{}, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Close()
			accepted <- struct{}{}
		}
	}()
	for ctx.Err() == nil {
		due := time.Now().Add(latenessInterval)
		time.Sleep(latenessInterval)
		f.Hist.ObserveLateness(time.Since(due))
		began := time.Now()
		if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
			<-accepted
			c.Close()
			f.Hist.ObserveLateness(time.Since(began))
		}
	}
}

// WaitForLeaders waits until all forwarders follow a leader in all cells.
func (f *Fleet) WaitForLeaders(most time.Duration) error {
	if len(f.Planners) == 0 {
		return nil
	}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f.LedCells() == len(f.Forwarders)*f.cfg.Params.Cells {
			return nil
		}
	}
	return fmt.Errorf("after %v %d of %d cells are led", most, f.LedCells(), len(f.Forwarders)*f.cfg.Params.Cells)
}

// LedCells counts the cells that forwarders see as led, over all forwarders.
func (f *Fleet) LedCells() (n int) {
	for _, p := range f.Forwarders {
		var st forwarder.Status
		if p.ReadStatus(context.Background(), &st) == nil {
			for _, c := range st.Cells {
				if c.HasLeader {
					n++
				}
			}
		}
	}
	return n
}

const loadLevelInterval = 500 * time.Millisecond

// recordLoadLevels records for as long as ctx lasts what programs hold of overload.
func (f *Fleet) recordLoadLevels(ctx context.Context) {
	for tick := time.NewTicker(loadLevelInterval); ; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			tick.Stop()
			return
		}
		var of []float64
		for _, p := range f.Forwarders {
			var st ingress.Status
			if len(f.Planners) == 0 && p.ReadStatus(ctx, &st) == nil && st.Overload != nil {
				of = append(of, st.Overload.Level)
			}
		}
		for _, p := range f.Planners {
			var st planner.Status
			if p.ReadStatus(ctx, &st) == nil {
				for _, c := range st.Cells {
					if c.Overload != nil {
						of = append(of, c.Overload.Level)
					}
				}
			}
		}
		f.Hist.AddLoadLevels(of)
	}
}
