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

// Classes and plans of the testbed's runs: the middle of the values that the operators state for rayon-quebec.
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
	// labWork is the work of a request, in core seconds, by class.
	labWork = map[string]float64{"zone-check": 0.03, "slot-hold": 0.06, "courier-send": 0.1}
	// LabClassFractions is the fraction of the requests, by class.
	LabClassFractions = map[string]float64{"zone-check": 0.37, "slot-hold": 0.34, "courier-send": 0.29}
	// LabUnits is the number of units of a request, by class.
	LabUnits = map[string]int{"zone-check": 1, "slot-hold": 2, "courier-send": 3}
)

// TightenHardLimits returns copies of plans whose hard limits, where they have one, are below their quotas, so that the hard limits
// take effect.
func TightenHardLimits(plans []policy.Plan) []policy.Plan {
	plans = slices.Clone(plans)
	for i := range plans {
		if p := &plans[i]; p.HardLimitRate > 0 {
			p.HardLimitRate, p.HardLimitBurst, p.HardLimitSlack = p.Rate*0.6, p.Burst*0.6, 6
		}
	}
	return plans
}

// LabNode configures the stand-in nodes of the testbed's runs. Their slow start and the overload that makes them fail are as the
// operators state.
var LabNode = node.Config{Cores: 3, Queue: 30, Speed: 1, KeyedS: 4, SlowStartS: 8, SlowStartMinFraction: 0.26, FallMultiple: StatedFallMultiple, FallS: StatedFallS,
	Work: labWork, Conns: 200, IdleS: 15}

// Accounts returns accounts of each plan in the given numbers. Most request well below their quotas, one in five close to its
// quota, one in eight far above it during floods, and the first one of chaine always far above it. The requests of an account
// arrive at spread forwarders.
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

// ManyAccounts returns accounts for fleets of many ingresses: the requests of a third of the accounts arrive at all ingresses, those
// of the others at a quarter of them. One account in ten always requests three to six times its quota, one in five nearly its
// whole quota, and one in seven floods at times.
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

// ConcurrencyLimitedAccounts returns accounts as on the operators' days of highest load: four small accounts and one with a
// concurrency limit for each ingress, and a large one for every second ingress. The requests of an account arrive at a thirtieth to two
// thirds of the ingresses; those of an account with a hard limit at so few that each one's part of the burst holds two of the
// largest requests. Most accounts request a third to half of their quota, large ones more, one in six nearly its whole quota, one
// in twelve three times its quota.
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

// AccountGateways returns the range of gateways at which each account's requests arrive.
func AccountGateways(list []Account) map[string]oracle.GatewayRange {
	gateways := map[string]oracle.GatewayRange{}
	for _, a := range list {
		gateways[a.Name] = oracle.GatewayRange{First: a.First, Count: a.Spread}
	}
	return gateways
}

// Scenario describes one run of a fleet under faults.
type Scenario struct {
	FleetConfig
	Name         string
	Traffic      Traffic // accounts, classes, fractions, units, retries and seed are filled in by the run
	Accounts     []Account
	Length       time.Duration
	Faults       []Fault
	MinOccasions map[string]int // see oracle.Config.MinOccasions
	NodeCount    int            // overrides the named scenario's number of nodes; 0: not overridden
	inspectAfter time.Duration  // after the clients' start, when inspect is called
	inspect      func(f *Fleet) // called once during the run; nil: no call
	Upgrades     int            // number of upgrades of the whole fleet, one after the other; for fleets of two levels
}

// Run starts a fleet, runs clients and faults against it, and returns the stopped fleet and the oracle's report. It writes the
// injected faults and upgrades to log.
func Run(sc Scenario, log io.Writer) (*Fleet, *oracle.Report, error) {
	return RunWith(sc, log, func() {})
}

// RunAndInspect is Run, and calls inspect while the fleet runs, at the given time after the clients' start.
func RunAndInspect(sc Scenario, log io.Writer, at time.Duration, inspect func(f *Fleet)) (*Fleet, *oracle.Report, error) {
	sc.inspectAfter, sc.inspect = at, inspect
	return Run(sc, log)
}

// settleTime is how long backends have after the last answer to notice that attempts were cancelled.
const settleTime = 500 * time.Millisecond

// RunWith is Run, and calls ended after the clients and faults have ended, while the fleet still runs.
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
	// Faults last until the last answer: their common end before it would disturb requests that are in flight.
	faulty, endFaults := context.WithCancel(context.Background())
	defer endFaults()
	var background sync.WaitGroup
	background.Go(func() { f.measureLateness(ctx) })
	background.Go(func() { f.play(ctx, faulty, sc.Faults, log) })
	background.Go(func() { f.upgradeAndLog(ctx, sc.Upgrades, log) })
	background.Go(func() { sc.runInspection(ctx, f) })
	if sc.MeasureOverload && sc.Operator != "" {
		background.Go(func() { f.recordLoadLevels(ctx) })
	}
	f.clients.Run(ctx)
	endFaults()
	background.Wait()
	ended()
	time.Sleep(settleTime)
	f.recordRuleViolations()
	rules := f.Rules()
	rules.MinOccasions = sc.MinOccasions
	return f, oracle.Check(f.Hist, rules), nil
}

// addClients creates the scenario's clients. The scenario's peak is relative to this call; the history's clock has run since the
// fleet's start.
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

// upgradeAndLog upgrades the whole fleet the given number of times and logs how long each upgrade took.
func (f *Fleet) upgradeAndLog(ctx context.Context, times int, log io.Writer) {
	if times > 0 {
		took, err := f.UpgradeRepeatedly(ctx, times)
		fmt.Fprintf(log, "fleet upgraded %d times, in %v; error: %v\n", len(took), took, err)
	}
}

// runInspection calls the scenario's inspect function at its time.
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

// latenessInterval is the time between two measurements of the testbed's own lateness.
const latenessInterval = 20 * time.Millisecond

// measureLateness records until ctx ends how late the testbed's own process is: how late its timers fire and how long it takes to
// accept a connection.
func (f *Fleet) measureLateness(ctx context.Context) {
	l, err := net.Listen("tcp", hostAddr(0))
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

// WaitForLeaders waits until every forwarder sees a leader in every cell. It returns nil at once for a fleet without planners.
func (f *Fleet) WaitForLeaders(timeout time.Duration) error {
	if len(f.Planners) == 0 {
		return nil
	}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f.LedCells() == len(f.Forwarders)*f.cfg.Params.Cells {
			return nil
		}
	}
	return fmt.Errorf("after %v forwarders see a leader in %d of %d cells, summed over all forwarders", timeout, f.LedCells(), len(f.Forwarders)*f.cfg.Params.Cells)
}

// LedCells returns the number of cells in which forwarders see a leader, summed over all forwarders.
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

// loadLevelInterval is the time between two records of the load-shedding levels.
const loadLevelInterval = 500 * time.Millisecond

// recordLoadLevels records until ctx ends the load-shedding levels of all ingresses, or of all cells of all planners.
func (f *Fleet) recordLoadLevels(ctx context.Context) {
	for tick := time.NewTicker(loadLevelInterval); ; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			tick.Stop()
			return
		}
		var levels []float64
		for _, p := range f.Forwarders {
			var st ingress.Status
			if len(f.Planners) == 0 && p.ReadStatus(ctx, &st) == nil && st.Overload != nil {
				levels = append(levels, st.Overload.Level)
			}
		}
		for _, p := range f.Planners {
			var st planner.Status
			if p.ReadStatus(ctx, &st) == nil {
				for _, c := range st.Cells {
					if c.Overload != nil {
						levels = append(levels, c.Overload.Level)
					}
				}
			}
		}
		f.Hist.AddLoadLevels(levels)
	}
}
