package testbed

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// scenario is a named kind of run: which faults it injects and how often, how it changes the fleet and the traffic, and how many
// occasions per minute a run must have for the oracle's rules.
type scenario struct {
	what            string
	kinds           []string // of faults; none: all that fit fleets of that number of levels
	every           time.Duration
	faultyFraction  float64 // fraction of the attempts that fail at their node, in any way
	tightHardLimits bool    // hard limits below the quotas
	loadFactor      float64 // factor on the accounts' rates; 0 means 1
	hangUps         float64
	batches         float64
	misbehaving     int
	nodes           int                                         // overrides Scenario.Nodes; 0: not overridden
	workFactor      float64                                     // factor on the work of a request at nodes; 0 means 1
	accounts        func(forwarders int, seed uint64) []Account // makes its accounts; nil: those of the caller
	zones           int                                         // see FleetConfig
	adjustPlans     func([]policy.Plan)
	peerLoss        float64                          // fraction of the messages between ingresses that are lost in virtual time; 0 means 3%
	exact           bool                             // see FleetConfig
	quota           float64                          // see FleetConfig; below 0: not checked
	capX            float64                          // see FleetConfig
	adjustClasses   func([]policy.Class)             // nil: unchanged
	keyedS          float64                          // seconds for which nodes remember keys; 0: as in Scenario.Node
	faultStrength   float64                          // Fault.X of its random faults; 0: random
	faultDuration   time.Duration                    // Fault.For of its random faults; 0: random
	fixedFaults     []Fault                          // faults at fixed times, in addition to the random ones
	reportS         float64                          // see node.Config
	peakLoad        float64                          // demand during the peak (peakInterval), as a multiple of the nodes' capacity; 0: no peak
	adjustBounds    func(*oracle.LoadSheddingBounds) // changes the bounds for a fleet that sheds load as one; nil: unchanged
	adjustAccounts  func([]Account)                  // changes the accounts of a run with a peak; nil: unchanged
	floors          map[string]int                   // required occasions per minute, by rule
}

// faultFloors are the required occasions per minute of scenarios with frequent node failures.
var faultFloors = map[string]int{oracle.RuleNoRequestLost: 50, oracle.RuleOneAnswer: 20, oracle.RuleOneOpenAttempt: 20, oracle.RuleNoDuplicateEffect: 20}

// lowConcurrencyLimits lowers concurrency limits to 2 and triples the bursts of these plans, so that accounts reach the limits.
func lowConcurrencyLimits(list []policy.Plan) {
	for i := range list {
		if p := &list[i]; p.MaxConcurrency > 0 {
			p.MaxConcurrency, p.Burst = 2, 3*p.Burst
		}
	}
}

// concurrencyLimitOfTwo changes the plans with a concurrency limit to their values on the operators' days of highest load.
func concurrencyLimitOfTwo(list []policy.Plan) {
	for i := range list {
		if p := &list[i]; p.MaxConcurrency > 0 {
			p.MaxConcurrency, p.Rate, p.Burst = 2, 8.6, 19
		}
	}
}

// shortKeyTTLs makes nodes remember keys for less time than a request may take. Quotas can't be checked with it: a request that is
// counted may queue for a backend for up to the long latency objective, and is forwarded that much later.
func shortKeyTTLs(list []policy.Class) {
	for i := range list {
		if c := &list[i]; c.Idempotency == policy.KeyedIdempotent {
			c.LatencyObjectiveS, c.DeadlineS, c.KeyTTLS = 3, 4, 0.6
		}
	}
}

// scenarios are the named scenarios. Other files of this package add theirs in their init functions.
var scenarios = map[string]scenario{
	"storm": {what: "all kinds of faults at once: of programs, nodes, links, the front and discovery", every: 700 * time.Millisecond, faultyFraction: 0.06, tightHardLimits: true,
		loadFactor: 1, hangUps: 0.03, batches: 0.1, misbehaving: 2,
		floors: map[string]int{oracle.RuleNoRequestLost: 200, oracle.RuleOneAnswer: 100, oracle.RuleAnswerOrder: 100, oracle.RuleOneOpenAttempt: 100, oracle.RuleNoDuplicateEffect: 40, oracle.RuleDrain: 4, oracle.RuleSlowStart: 100,
			oracle.RuleQuota: 100, oracle.RuleHardLimit: 100}},
	"etcd": {what: "membership from etcd, which fails; only membershipagent lab can run it", every: 600 * time.Millisecond, faultyFraction: 0.02, loadFactor: 0.6,
		floors: map[string]int{oracle.RuleDrain: 10, oracle.RuleFreshMembership: 20, oracle.RuleViewsAgree: 3}},
	"calm":    {what: "no faults", floors: map[string]int{oracle.RuleQuota: 100}},
	"answers": {what: "nodes return errors, reset connections, don't answer, and answer late, twice or with garbage; no other faults", faultyFraction: 0.35, hangUps: 0.03, batches: 0.1, floors: faultFloors},
	"rude":    {what: "misbehaving clients beside normal ones, some of which disconnect early", faultyFraction: 0.03, hangUps: 0.1, batches: 0.3, misbehaving: 8, floors: map[string]int{oracle.RuleAnswerOrder: 200}},
	"programs": {what: "programs are killed, terminated, paused and cut off from each other while nodes return errors",
		kinds: []string{"kill", "term", "pause", "all", "cut", "split", "lone", "peers", "fog", "forwarder", "restart"}, every: 1200 * time.Millisecond,
		faultyFraction: 0.08, floors: faultFloors},
	"ways": {what: "links to nodes and from clients are cut, refuse connections, are slow, or are cut in one direction",
		kinds: []string{"node cut", "node half cut", "one way", "refused", "far", "lost client"}, every: 700 * time.Millisecond, faultyFraction: 0.02,
		floors: map[string]int{oracle.RuleNoRequestLost: 50, oracle.RuleOneOpenAttempt: 20, oracle.RuleNoDuplicateEffect: 20}},
	"drains": {what: "nodes drain, crash and are replaced while discovery is late, silent or ends its watches",
		kinds: []string{"drain", "drain", "drain", "replace", "crash", "late roster", "silent roster", "broken roster"}, every: 900 * time.Millisecond, faultyFraction: 0.02,
		floors: map[string]int{oracle.RuleDrain: 10}},
	"cold": {what: "several nodes crash at once and restart cold under full load", kinds: []string{"crashes", "crashes", "crash"}, every: 3 * time.Second, loadFactor: 1.4,
		nodes: 6, floors: map[string]int{oracle.RuleSlowStart: 200}},
	"back": {what: "many gateways queue requests for one of two nodes, which restarts cold", kinds: []string{"lone crash"}, every: 4 * time.Second, loadFactor: 8,
		nodes: 2, quota: -1, floors: map[string]int{oracle.RuleSlowStart: 200}},
	"ceilings": {what: "accounts far above their quotas and hard limits, with hard limits below the quotas, while programs are killed", tightHardLimits: true, exact: true,
		kinds: []string{"flood", "flood", "kill", "split", "all", "peers", "forwarder"}, every: time.Second,
		floors: map[string]int{oracle.RuleHardLimit: 300, oracle.RuleQuota: 300}},
	"keys": {what: "nodes remember keys for less time than a request may take, and many attempts fail late",
		adjustClasses: shortKeyTTLs, keyedS: 0.6, faultyFraction: 0.5, quota: -1, kinds: []string{"kill", "split", "all", "snow", "forwarder"}, every: 1500 * time.Millisecond, floors: faultFloors},
	"capped": {what: "accounts at low concurrency limits, slow nodes, and planners that are killed while attempts are in flight",
		kinds: []string{"kill", "kill", "snow", "snow", "slow"}, loadFactor: 2, every: 700 * time.Millisecond, adjustPlans: lowConcurrencyLimits, quota: -1, floors: map[string]int{oracle.RuleMaxConcurrency: 2}},
	"lonely": {what: "accounts at low concurrency limits, slow nodes, and forwarders cut off from all planners while attempts are in flight",
		kinds: []string{"lone", "lone", "snow", "slow"}, every: 700 * time.Millisecond, adjustPlans: lowConcurrencyLimits, quota: -1, floors: map[string]int{oracle.RuleMaxConcurrency: 2}},
	"zones": {what: "nodes of two zones, each of which remembers keys on its own, return errors, reset connections and are slow",
		adjustClasses: func(list []policy.Class) {
			for i := range list {
				if list[i].Idempotency == policy.KeyedIdempotent {
					list[i].KeyScope = policy.ScopeZone
				}
			}
		}, zones: 2, faultyFraction: 0.35, kinds: []string{"kill", "split", "forwarder", "crash"}, every: 1500 * time.Millisecond, floors: faultFloors},
	"errors": {what: "nodes reject nearly everything, return errors and reset connections: requests use up their attempts", faultyFraction: 0.85,
		kinds: []string{"kill", "kill", "split", "all"}, every: time.Second, quota: -1, floors: map[string]int{oracle.RuleAttemptLimit: 20, oracle.RuleOneOpenAttempt: 100}},
	"blinks": {what: "forwarders are killed and restart at once while planners are cut off from them", kinds: []string{"blink", "blink", "cut", "split", "kill"}, exact: true,
		every: 300 * time.Millisecond, faultyFraction: 0.02},
	"hands": {what: "operators of a fleet of two levels cordon nodes, uncordon them at any planner and drain planners, while programs are killed",
		kinds: []string{"fleet held", "fleet held", "torn", "torn", "away", "kill", "pause", "cut", "split", "odd", "lone", "forwarder", "drain"},
		every: 500 * time.Millisecond, floors: map[string]int{oracle.RuleCordon: 20}},
	"upgrades": {what: "hot restarts of forwarders of two levels, in which either process may die, while planners are killed, drained and cut off",
		kinds: []string{"fleet replaced", "fleet replaced", "fleet replaced", "successor dies", "successor dies", "predecessor dies", "torn succession", "torn succession", "all replaced", "torn", "away", "kill", "pause", "cut", "split", "odd", "lone", "forwarder"},
		every: 250 * time.Millisecond, faultyFraction: 0.08, exact: true, floors: map[string]int{oracle.RuleHotRestart: 100, oracle.RuleNoRequestLost: 50, oracle.RuleNoDuplicateEffect: 20}},
	"successors-die": {what: "hot restarts of forwarders of two levels, whose successors are killed", kinds: []string{"successor dies"}, every: 500 * time.Millisecond,
		faultyFraction: 0.06, floors: map[string]int{oracle.RuleNoDuplicateEffect: 50, oracle.RuleNoRequestLost: 50}},
	"handed": {what: "hot restarts of all forwarders of two levels, at times all successors and a leader die, while accounts are far above their quotas",
		kinds: []string{"all replaced", "all successors die", "flood", "flood", "kill"}, every: 700 * time.Millisecond, exact: true,
		floors: map[string]int{oracle.RuleQuota: 300, oracle.RuleHotRestart: 100}},
	"handed-torn": {what: "a forwarder's successor dies while two planners need its promise and the third gives up its cells",
		kinds: []string{"torn succession"}, every: 2500 * time.Millisecond, exact: true, floors: map[string]int{oracle.RuleHotRestart: 5}},
	"handed-queue": {what: "hot restarts of forwarders of two levels, some of whose successors die, while requests queue for overloaded nodes",
		kinds: []string{"fleet replaced", "successor dies", "successor dies", "predecessor dies", "snow"}, loadFactor: 2, quota: -1, faultyFraction: 0.1, every: 200 * time.Millisecond,
		floors: map[string]int{oracle.RuleHotRestart: 100, oracle.RuleOneOpenAttempt: 20}},
	"handed-keys": {what: "nodes remember keys for less time than a request may take, during hot restarts of forwarders of two levels",
		adjustClasses: shortKeyTTLs, keyedS: 0.6, faultyFraction: 0.5, quota: -1, kinds: []string{"fleet replaced", "fleet replaced", "successor dies", "kill", "snow"}, every: 200 * time.Millisecond, floors: faultFloors},
	"friday": {what: "Friday evening: floods on chaine, accounts that move to other ingresses, and failing and slow nodes", kinds: []string{"flood", "flood", "shift", "sick", "slow"},
		every: 1500 * time.Millisecond, faultyFraction: 0.02, loadFactor: 1.2, tightHardLimits: true, floors: map[string]int{oracle.RuleHardLimit: 200, oracle.RuleQuota: 200}},
	"crowd": {what: "accounts at up to all of many ingresses, some at several times their quotas, others just below", accounts: ManyAccounts, nodes: 48, exact: true,
		kinds: []string{"flood"}, every: 2 * time.Second, floors: map[string]int{oracle.RuleQuota: 200}},
	"crowd-split": {what: "crowd, while ingresses are split into halves, lose messages and are killed", accounts: ManyAccounts, nodes: 48, exact: true,
		kinds: []string{"flood", "peers", "fog", "forwarder", "forwarder"}, every: 2 * time.Second, floors: map[string]int{oracle.RuleQuota: 200}},
	"crowd-deaf": {what: "crowd; one ingress never receives messages from the others, and the oracle is not told", accounts: ManyAccounts, nodes: 48, exact: true,
		fixedFaults: []Fault{{At: 300 * time.Millisecond, For: time.Hour, Kind: "deaf"}}},
	"crowd-babel": {what: "crowd; half of the ingresses can never decode the others' messages, and the oracle is not told: it must report violations", accounts: ManyAccounts,
		nodes: 48, exact: true, fixedFaults: []Fault{{At: 300 * time.Millisecond, For: time.Hour, Kind: "babel"}}},
	"places": {what: "accounts at a concurrency limit of two, each at up to two thirds of many ingresses", accounts: ConcurrencyLimitedAccounts, adjustPlans: concurrencyLimitOfTwo, nodes: 180, workFactor: 1.7, peerLoss: 0.07, exact: true,
		every: 2 * time.Second, kinds: []string{"flood"}, floors: map[string]int{oracle.RuleMaxConcurrency: 100}},
	"places-slow": {what: "places with long requests, so that concurrency limits are reached before quotas", accounts: ConcurrencyLimitedAccounts, adjustPlans: concurrencyLimitOfTwo, nodes: 180, workFactor: 6, peerLoss: 0.07, exact: true,
		floors: map[string]int{oracle.RuleMaxConcurrency: 100}},
	"places-storm": {what: "places, while ingresses are killed, restart, are split and lose messages, and nodes are slow", accounts: ConcurrencyLimitedAccounts, adjustPlans: concurrencyLimitOfTwo, nodes: 180, workFactor: 1.7, peerLoss: 0.07, exact: true,
		every: time.Second, kinds: []string{"flood", "peers", "fog", "forwarder", "forwarder", "blink", "slow"}, floors: map[string]int{oracle.RuleMaxConcurrency: 100}},
	"places-hush": {what: "places, while for some seconds no message between ingresses arrives", accounts: ConcurrencyLimitedAccounts, adjustPlans: concurrencyLimitOfTwo, nodes: 180, workFactor: 1.7, peerLoss: 0.07, exact: true,
		every: 7 * time.Second, kinds: []string{"fog"}, faultStrength: 4, faultDuration: 4 * time.Second, floors: map[string]int{oracle.RuleMaxConcurrency: 100}},
	"overload":      {what: "from 5 s until 7 s before the end, the demand within quotas is 2.8 times the capacity of the nodes", peakLoad: 2.8, nodes: 2},
	"overload-low":  {what: "overload with 1.4 times the capacity", peakLoad: 1.4, nodes: 2},
	"overload-high": {what: "overload with 5 times the capacity", peakLoad: 5, nodes: 2, adjustBounds: relaxWastedWorkBound},
	"overload-split": {what: "overload, and ingresses are split into halves for four seconds of the peak", peakLoad: 2.8, nodes: 2,
		fixedFaults: []Fault{{At: 8 * time.Second, For: 4 * time.Second, Kind: "peers"}}},
	"overload-fog": {what: "overload, and half of the messages between ingresses are lost", peakLoad: 2.8, nodes: 2,
		fixedFaults: []Fault{{At: 4 * time.Second, For: 10 * time.Second, Kind: "thick fog"}}},
	"overload-deaths": {what: "overload, and seven in ten ingresses are killed at once during the peak and restart without state", peakLoad: 2.8, nodes: 2, adjustBounds: relaxBoundsForMassFailure,
		fixedFaults: []Fault{{At: 9 * time.Second, For: 2 * time.Second, Kind: "mass kill"}}},
	"overload-heavy": {what: "demand below the capacity of the nodes, but every node is three times as slow for six seconds", peakLoad: 0.8, nodes: 2, adjustBounds: relaxBoundsForTransientSlowdown,
		fixedFaults: []Fault{{At: 5 * time.Second, For: 6 * time.Second, Kind: "heavy"}}},
	"overload-busy":  {what: "overload, and the first ingress receives all requests of a quarter of the accounts", peakLoad: 2.8, nodes: 2, adjustAccounts: concentrateOnFirstIngress},
	"overload-cheap": {what: "overload, and all additional requests of the peak are of the class with the lowest priority", peakLoad: 2.8, nodes: 2, adjustBounds: relaxWastedWorkBound, adjustAccounts: lowPriorityFlood},
	"overload-liar": {what: "overload, and one ingress reports by turns no load and complete overload", peakLoad: 2.8, nodes: 2,
		fixedFaults: []Fault{{At: time.Second, For: time.Hour, Kind: "liar", A: 1}}},
	"overload-half": {what: "demand below the capacity of the nodes, but half of the nodes are three times as slow for six seconds", peakLoad: 0.8, nodes: 6, adjustBounds: relaxBoundsForTransientSlowdown,
		fixedFaults: []Fault{{At: 5 * time.Second, For: 6 * time.Second, Kind: "half heavy"}}},
	"overload-stale": {what: "overload, and the nodes' load reports are up to three seconds old", peakLoad: 2.8, nodes: 2, reportS: 3},
	"overload-once":  {what: "overload, and no client retries", peakLoad: 2.8, nodes: 2, adjustAccounts: disableRetries},
	"overload-rude":  {what: "overload, and the clients of half of the accounts ignore retry-after hints", peakLoad: 2.8, nodes: 2, adjustAccounts: ignoreRetryAfter},
	"snow": {what: "snowstorm evening: all nodes are slow again and again, some pause or are far away, under full load", kinds: []string{"snow", "snow", "node pause", "far"},
		every: 2 * time.Second, faultyFraction: 0.02, loadFactor: 1.2, floors: map[string]int{oracle.RuleNoRequestLost: 50, oracle.RuleQuota: 100}},
	"playoff": {what: "playoff night: rolling restarts of ingresses and planners, accounts move to other ingresses, nodes drain and are replaced",
		kinds: []string{"roll", "roll", "term", "shift", "drain", "forwarder"}, every: 2 * time.Second, faultyFraction: 0.03, hangUps: 0.02, batches: 0.05, misbehaving: 1, loadFactor: 1.1,
		floors: map[string]int{oracle.RuleOneOpenAttempt: 20, oracle.RuleDrain: 2}},
}

// ScenarioNames returns the scenarios' names in order, each with its description.
func ScenarioNames() (list []string) {
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		list = append(list, fmt.Sprintf("%-10s %s", name, scenarios[name].what))
	}
	return list
}

// ScenarioFaultKinds returns the kinds of faults that a scenario names; none means all.
func ScenarioFaultKinds(name string) []string { return scenarios[name].kinds }

// ApplyScenario applies the named scenario to a run: conditions of the nodes, clients, plans, faults, and required occasions per rule. The
// caller sets FleetConfig's sizes, Seed, Length and Accounts; the scenario overrides the number of nodes and the accounts if it has
// its own. kinds and every, if given, replace those of the scenario.
func ApplyScenario(name string, sc *Scenario, kinds []string, every time.Duration) error {
	s, ok := scenarios[name]
	if !ok {
		return fmt.Errorf("unknown scenario %q; known are %v", name, slices.Sorted(maps.Keys(scenarios)))
	}
	if len(kinds) > 0 {
		s.kinds = kinds
	}
	if every > 0 {
		s.every = every
	}
	sc.Name = name
	s.setNodes(sc)
	s.setClassesAndPlans(sc)
	s.setAccounts(sc)
	if s.every > 0 {
		sc.Faults = Schedule(sc.Seed, sc.Length, s.every, sc.Planners > 0, s.kinds)
		for i := range sc.Faults {
			f := &sc.Faults[i]
			f.X, f.For = cmp.Or(s.faultStrength, f.X), cmp.Or(s.faultDuration, f.For)
		}
	}
	sc.Faults = append(sc.Faults, s.fixedFaults...)
	sc.MinOccasions = map[string]int{}
	for rule, n := range s.floors {
		sc.MinOccasions[rule] = int(float64(n) * sc.Length.Minutes())
	}
	return nil
}

// setNodes applies the scenario's number, conditions and model of nodes.
func (s scenario) setNodes(sc *Scenario) {
	sc.NodeConditions = node.FailingConditions(s.faultyFraction)
	sc.Zones = max(sc.Zones, s.zones)
	sc.Node.ReportS = s.reportS
	if s.keyedS > 0 {
		sc.Node.KeyedS = s.keyedS
	}
	sc.Nodes = cmp.Or(sc.NodeCount, s.nodes, sc.Nodes)
	if s.workFactor > 0 {
		sc.Node.Work = maps.Clone(sc.Node.Work)
		for class := range sc.Node.Work {
			sc.Node.Work[class] *= s.workFactor
		}
	}
}

// setClassesAndPlans applies the scenario's classes and plans, and how strictly their limits are checked.
func (s scenario) setClassesAndPlans(sc *Scenario) {
	sc.Exact, sc.QuotaSlack, sc.ConcurrencyFactor, sc.PeerLoss = s.exact, s.quota, s.capX, s.peerLoss
	if s.tightHardLimits {
		sc.Plans = TightenHardLimits(sc.Plans)
	}
	if s.adjustClasses != nil {
		sc.Classes = slices.Clone(sc.Classes)
		s.adjustClasses(sc.Classes)
	}
	if s.adjustPlans != nil {
		sc.Plans = slices.Clone(sc.Plans)
		s.adjustPlans(sc.Plans)
	}
}

// setAccounts sets the traffic and the accounts. It reads the nodes' capacity, so setNodes comes first.
func (s scenario) setAccounts(sc *Scenario) {
	sc.Traffic = Traffic{DisconnectFraction: s.hangUps, BatchFraction: s.batches, MisbehavingClients: s.misbehaving}
	if s.accounts != nil {
		sc.Accounts = s.accounts(sc.Forwarders, sc.Seed)
	}
	if s.peakLoad > 0 {
		sc.MeasureOverload, sc.Peak = true, peakInterval(sc.Length)
		sc.Accounts = OverloadAccounts(sc.Forwarders, float64(sc.Nodes*sc.Node.Cores)*sc.Node.Speed, s.peakLoad, sc.Peak, sc.Seed)
		sc.LoadSheddingBounds = oracle.DefaultLoadSheddingBounds
		if s.adjustBounds != nil {
			s.adjustBounds(&sc.LoadSheddingBounds)
		}
		if s.adjustAccounts != nil {
			s.adjustAccounts(sc.Accounts)
		}
	}
	if s.loadFactor > 0 {
		for i := range sc.Accounts {
			sc.Accounts[i].Rate *= s.loadFactor
		}
	}
}
