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

// scenario is a named kind of run: what goes wrong, how often, and how many occasions for which rules it must bring, a
// minute.
type scenario struct {
	what            string
	kinds           []string // of faults; none: all that fit the shape
	every           time.Duration
	faultyFraction  float64 // share of all attempts that go wrong at their node, in all ways
	tightHardLimits bool    // ceilings under what quotas let in
	loadFactor      float64 // factor on what accounts ask for; 0 stands for 1
	hangUps         float64
	batches         float64
	misbehaving     int
	nodes           int                                         // 0: as asked
	workFactor      float64                                     // factor on what requests cost nodes; 0 stands for 1
	accounts        func(forwarders int, seed uint64) []Account // its accounts; nil: as asked
	zones           int                                         // see FleetConfig
	adjustPlans     func([]policy.Plan)
	peerLoss        float64                          // of messages between ingresses in virtual time; 0 stands for 3%
	exact           bool                             // see FleetConfig
	quota           float64                          // see FleetConfig; below 0: not judged
	capX            float64                          // see FleetConfig
	adjustClasses   func([]policy.Class)             // changes them; nil: as they are
	keyedS          float64                          // for which nodes drop repeats; 0: as asked
	faultStrength   float64                          // strength of its faults; 0: as drawn
	faultDuration   time.Duration                    // of each; 0: as drawn
	fixedFaults     []Fault                          // at fixed times, beside what is drawn
	reportS         float64                          // see node.Config
	peakLoad        float64                          // times what nodes can do, that is asked for from peakFrom until peakEnd before the end
	adjustBounds    func(*oracle.LoadSheddingBounds) // changes what is stated of a fleet that sheds as one
	adjustAccounts  func([]Account)                  // changes the accounts of a peak
	floors          map[string]int                   // occasions a minute
}

var faultFloors = map[string]int{oracle.RuleNoRequestLost: 50, oracle.RuleOneAnswer: 20, oracle.RuleOneOpenAttempt: 20, oracle.RuleNoDuplicateEffect: 20}

// lowConcurrencyLimits has plans with a cap on open attempts come to it.
func lowConcurrencyLimits(list []policy.Plan) {
	for i := range list {
		if p := &list[i]; p.MaxConcurrency > 0 {
			p.MaxConcurrency, p.Burst = 2, 3*p.Burst
		}
	}
}

// concurrencyLimitOfTwo is the plan with a cap as the operators' largest days have it.
func concurrencyLimitOfTwo(list []policy.Plan) {
	for i := range list {
		if p := &list[i]; p.MaxConcurrency > 0 {
			p.MaxConcurrency, p.Rate, p.Burst = 2, 8.6, 19
		}
	}
}

// shortKeyTTLs has nodes remember keys for less than a request lasts. Quotas are not judged with it: what is counted waits for a server for up to
// the long aim, and is sent on that much later.
func shortKeyTTLs(list []policy.Class) {
	for i := range list {
		if c := &list[i]; c.Idempotency == policy.KeyedIdempotent {
			c.LatencyObjectiveS, c.DeadlineS, c.KeyTTLS = 3, 4, 0.6
		}
	}
}

// scenarios are the laboratory's days. Later subsystems add theirs here.
var scenarios = map[string]scenario{
	"storm": {what: "everything at once: all faults of programs, nodes, links, front and roster", every: 700 * time.Millisecond, faultyFraction: 0.06, tightHardLimits: true,
		loadFactor: 1, hangUps: 0.03, batches: 0.1, misbehaving: 2,
		floors: map[string]int{oracle.RuleNoRequestLost: 200, oracle.RuleOneAnswer: 100, oracle.RuleAnswerOrder: 100, oracle.RuleOneOpenAttempt: 100, oracle.RuleNoDuplicateEffect: 40, oracle.RuleDrain: 4, oracle.RuleSlowStart: 100,
			oracle.RuleQuota: 100, oracle.RuleHardLimit: 100}},
	"etcd": {what: "membership from etcd, which breaks; membershipagent lab alone plays it", every: 600 * time.Millisecond, faultyFraction: 0.02, loadFactor: 0.6,
		floors: map[string]int{oracle.RuleDrain: 10, oracle.RuleFreshMembership: 20, oracle.RuleViewsAgree: 3}},
	"calm":    {what: "nothing goes wrong", floors: map[string]int{oracle.RuleQuota: 100}},
	"answers": {what: "nodes err, break off, stay silent, answer late, twice and nonsense; nothing else", faultyFraction: 0.35, hangUps: 0.03, batches: 0.1, floors: faultFloors},
	"rude":    {what: "rude clients beside usual ones, some of which hang up", faultyFraction: 0.03, hangUps: 0.1, batches: 0.3, misbehaving: 8, floors: map[string]int{oracle.RuleAnswerOrder: 200}},
	"programs": {what: "programs are killed, ended, paused and cut off from each other while nodes err",
		kinds: []string{"kill", "term", "pause", "all", "cut", "split", "lone", "peers", "fog", "forwarder", "restart"}, every: 1200 * time.Millisecond,
		faultyFraction: 0.08, floors: faultFloors},
	"ways": {what: "the ways to nodes and from clients are cut, refused, slow and one-way",
		kinds: []string{"node cut", "node half cut", "one way", "refused", "far", "lost client"}, every: 700 * time.Millisecond, faultyFraction: 0.02,
		floors: map[string]int{oracle.RuleNoRequestLost: 50, oracle.RuleOneOpenAttempt: 20, oracle.RuleNoDuplicateEffect: 20}},
	"drains": {what: "nodes drain, crash and are replaced while the roster is late, silent and broken",
		kinds: []string{"drain", "drain", "drain", "replace", "crash", "late roster", "silent roster", "broken roster"}, every: 900 * time.Millisecond, faultyFraction: 0.02,
		floors: map[string]int{oracle.RuleDrain: 10}},
	"cold": {what: "nodes crash in concert and come back cold under a full load", kinds: []string{"crashes", "crashes", "crash"}, every: 3 * time.Second, loadFactor: 1.4,
		nodes: 6, floors: map[string]int{oracle.RuleSlowStart: 200}},
	"back": {what: "many gateways wait with requests for one of two nodes, which comes back cold", kinds: []string{"lone crash"}, every: 4 * time.Second, loadFactor: 8,
		nodes: 2, quota: -1, floors: map[string]int{oracle.RuleSlowStart: 200}},
	"ceilings": {what: "accounts far beyond quotas and ceilings, and ceilings that bind, while programs die", tightHardLimits: true, exact: true,
		kinds: []string{"flood", "flood", "kill", "split", "all", "peers", "forwarder"}, every: time.Second,
		floors: map[string]int{oracle.RuleHardLimit: 300, oracle.RuleQuota: 300}},
	"keys": {what: "keys that nodes remember for less than a request lasts, and attempts that end late, unserved",
		adjustClasses: shortKeyTTLs, keyedS: 0.6, faultyFraction: 0.5, quota: -1, kinds: []string{"kill", "split", "all", "snow", "forwarder"}, every: 1500 * time.Millisecond, floors: faultFloors},
	"capped": {what: "accounts at small caps on open attempts, slow nodes, and planners that die with attempts out",
		kinds: []string{"kill", "kill", "snow", "snow", "slow"}, loadFactor: 2, every: 700 * time.Millisecond, adjustPlans: lowConcurrencyLimits, quota: -1, floors: map[string]int{oracle.RuleMaxConcurrency: 2}},
	"lonely": {what: "accounts at small caps, slow nodes, and forwarders that are cut off from all planners with attempts out",
		kinds: []string{"lone", "lone", "snow", "slow"}, every: 700 * time.Millisecond, adjustPlans: lowConcurrencyLimits, quota: -1, floors: map[string]int{oracle.RuleMaxConcurrency: 2}},
	"zones": {what: "nodes of two zones, each of which remembers keys for itself, err, break off and are slow",
		adjustClasses: func(list []policy.Class) {
			for i := range list {
				if list[i].Idempotency == policy.KeyedIdempotent {
					list[i].KeyScope = policy.ScopeZone
				}
			}
		}, zones: 2, faultyFraction: 0.35, kinds: []string{"kill", "split", "forwarder", "crash"}, every: 1500 * time.Millisecond, floors: faultFloors},
	"errors": {what: "nodes turn nearly everything away, err and break off: requests come to the end of their attempts", faultyFraction: 0.85,
		kinds: []string{"kill", "kill", "split", "all"}, every: time.Second, quota: -1, floors: map[string]int{oracle.RuleAttemptLimit: 20, oracle.RuleOneOpenAttempt: 100}},
	"blinks": {what: "forwarders die and are back at once while planners are cut off from them", kinds: []string{"blink", "blink", "cut", "split", "kill"}, exact: true,
		every: 300 * time.Millisecond, faultyFraction: 0.02},
	"hands": {what: "operators of a fleet of two levels take nodes out and call them back at whichever planner, and send planners away, while programs die",
		kinds: []string{"fleet held", "fleet held", "torn", "torn", "away", "kill", "pause", "cut", "split", "odd", "lone", "forwarder", "drain"},
		every: 500 * time.Millisecond, floors: map[string]int{oracle.RuleCordon: 20}},
	"upgrades": {what: "forwarders of two levels are replaced while they serve, the one or the other process dying of it, while planners die, leave and are cut off",
		kinds: []string{"fleet replaced", "fleet replaced", "fleet replaced", "successor dies", "successor dies", "predecessor dies", "torn succession", "torn succession", "all replaced", "torn", "away", "kill", "pause", "cut", "split", "odd", "lone", "forwarder"},
		every: 250 * time.Millisecond, faultyFraction: 0.08, exact: true, floors: map[string]int{oracle.RuleReplacement: 100, oracle.RuleNoRequestLost: 50, oracle.RuleNoDuplicateEffect: 20}},
	"handed": {what: "every forwarder of two levels is replaced, at times every new process dies, and a leader dies with it, while accounts are far beyond their quotas",
		kinds: []string{"all replaced", "all successors die", "flood", "flood", "kill"}, every: 700 * time.Millisecond, exact: true,
		floors: map[string]int{oracle.RuleQuota: 300, oracle.RuleReplacement: 100}},
	"handed-torn": {what: "a forwarder's new process dies while two planners need its promise and the third gives its cells up",
		kinds: []string{"torn succession"}, every: 2500 * time.Millisecond, exact: true, floors: map[string]int{oracle.RuleReplacement: 5}},
	"handed-queue": {what: "forwarders of two levels are replaced, and their new processes die, while requests wait for nodes under too much load",
		kinds: []string{"fleet replaced", "successor dies", "successor dies", "predecessor dies", "snow"}, loadFactor: 2, quota: -1, faultyFraction: 0.1, every: 200 * time.Millisecond,
		floors: map[string]int{oracle.RuleReplacement: 100, oracle.RuleOneOpenAttempt: 20}},
	"handed-keys": {what: "keys that nodes remember for less than a request lasts, while forwarders of two levels are replaced",
		adjustClasses: shortKeyTTLs, keyedS: 0.6, faultyFraction: 0.5, quota: -1, kinds: []string{"fleet replaced", "fleet replaced", "successor dies", "kill", "snow"}, every: 200 * time.Millisecond, floors: faultFloors},
	"friday": {what: "Friday supper: floods on chaine, accounts that shift, a node that is sick", kinds: []string{"flood", "flood", "shift", "sick", "slow"},
		every: 1500 * time.Millisecond, faultyFraction: 0.02, loadFactor: 1.2, tightHardLimits: true, floors: map[string]int{oracle.RuleHardLimit: 200, oracle.RuleQuota: 200}},
	"crowd": {what: "accounts through up to all of many ingresses, some at several times their quotas, others just inside them", accounts: ManyAccounts, nodes: 48, exact: true,
		kinds: []string{"flood"}, every: 2 * time.Second, floors: map[string]int{oracle.RuleQuota: 200}},
	"crowd-split": {what: "the same, while ingresses are split in halves, lose messages and die", accounts: ManyAccounts, nodes: 48, exact: true,
		kinds: []string{"flood", "peers", "fog", "forwarder", "forwarder"}, every: 2 * time.Second, floors: map[string]int{oracle.RuleQuota: 200}},
	"crowd-deaf": {what: "crowd, one ingress hears no other all the time, and the auditor is not told", accounts: ManyAccounts, nodes: 48, exact: true,
		fixedFaults: []Fault{{At: 300 * time.Millisecond, For: time.Hour, Kind: "deaf"}}},
	"crowd-babel": {what: "crowd, half of the ingresses can't read the others' words all the time, and the auditor is not told: its verdict must be lost", accounts: ManyAccounts,
		nodes: 48, exact: true, fixedFaults: []Fault{{At: 300 * time.Millisecond, For: time.Hour, Kind: "babel"}}},
	"places": {what: "accounts at a cap of two open attempts, each through up to two thirds of many ingresses", accounts: ConcurrencyLimitedAccounts, adjustPlans: concurrencyLimitOfTwo, nodes: 180, workFactor: 1.7, peerLoss: 0.07, exact: true,
		every: 2 * time.Second, kinds: []string{"flood"}, floors: map[string]int{oracle.RuleMaxConcurrency: 100}},
	"places-slow": {what: "the same at requests that take long, so that caps bind before quotas do", accounts: ConcurrencyLimitedAccounts, adjustPlans: concurrencyLimitOfTwo, nodes: 180, workFactor: 6, peerLoss: 0.07, exact: true,
		floors: map[string]int{oracle.RuleMaxConcurrency: 100}},
	"places-storm": {what: "the same, while ingresses die, restart, are split and lose messages, and nodes are slow", accounts: ConcurrencyLimitedAccounts, adjustPlans: concurrencyLimitOfTwo, nodes: 180, workFactor: 1.7, peerLoss: 0.07, exact: true,
		every: time.Second, kinds: []string{"flood", "peers", "fog", "forwarder", "forwarder", "blink", "slow"}, floors: map[string]int{oracle.RuleMaxConcurrency: 100}},
	"places-hush": {what: "the same, while no message between ingresses arrives for some seconds", accounts: ConcurrencyLimitedAccounts, adjustPlans: concurrencyLimitOfTwo, nodes: 180, workFactor: 1.7, peerLoss: 0.07, exact: true,
		every: 7 * time.Second, kinds: []string{"fog"}, faultStrength: 4, faultDuration: 4 * time.Second, floors: map[string]int{oracle.RuleMaxConcurrency: 100}},
	"overload":      {what: "from 5 s until 7 s before the end 2.8 times as much is asked for, inside quotas, as nodes can do", peakLoad: 2.8, nodes: 2},
	"overload-low":  {what: "the same, 1.4 times", peakLoad: 1.4, nodes: 2},
	"overload-high": {what: "the same, 5 times", peakLoad: 5, nodes: 2, adjustBounds: relaxWastedWorkBound},
	"overload-split": {what: "2.8 times, and ingresses are split in halves for four seconds of it", peakLoad: 2.8, nodes: 2,
		fixedFaults: []Fault{{At: 8 * time.Second, For: 4 * time.Second, Kind: "peers"}}},
	"overload-fog": {what: "2.8 times, and half of all messages between ingresses are lost", peakLoad: 2.8, nodes: 2,
		fixedFaults: []Fault{{At: 4 * time.Second, For: 10 * time.Second, Kind: "thick fog"}}},
	"overload-deaths": {what: "2.8 times, and seven in ten ingresses are killed at once in it and come back empty", peakLoad: 2.8, nodes: 2, adjustBounds: relaxBoundsForMassFailure,
		fixedFaults: []Fault{{At: 9 * time.Second, For: 2 * time.Second, Kind: "mass kill"}}},
	"overload-heavy": {what: "no more is asked for, but every node is three times as slow for six seconds, and well again", peakLoad: 0.8, nodes: 2, adjustBounds: relaxBoundsForTransientSlowdown,
		fixedFaults: []Fault{{At: 5 * time.Second, For: 6 * time.Second, Kind: "heavy"}}},
	"overload-busy":  {what: "2.8 times, and one ingress has a quarter of all accounts", peakLoad: 2.8, nodes: 2, adjustAccounts: concentrateOnFirstIngress},
	"overload-cheap": {what: "2.8 times, and all that is more is of the cheapest class", peakLoad: 2.8, nodes: 2, adjustBounds: relaxWastedWorkBound, adjustAccounts: lowPriorityFlood},
	"overload-liar": {what: "2.8 times, and one ingress says of it by turns that all is well and that all is lost", peakLoad: 2.8, nodes: 2,
		fixedFaults: []Fault{{At: time.Second, For: time.Hour, Kind: "liar", A: 1}}},
	"overload-half": {what: "no more is asked for, but half of the nodes are three times as slow for six seconds", peakLoad: 0.8, nodes: 6, adjustBounds: relaxBoundsForTransientSlowdown,
		fixedFaults: []Fault{{At: 5 * time.Second, For: 6 * time.Second, Kind: "half heavy"}}},
	"overload-stale": {what: "2.8 times, and nodes' reports of their load are up to three seconds old", peakLoad: 2.8, nodes: 2, reportS: 3},
	"overload-once":  {what: "2.8 times, and no client tries again", peakLoad: 2.8, nodes: 2, adjustAccounts: disableRetries},
	"overload-rude":  {what: "2.8 times, and half of the clients come back when they like", peakLoad: 2.8, nodes: 2, adjustAccounts: ignoreRetryAfter},
	"snow": {what: "snowstorm evening: every node slow again and again, some pausing, under a full load", kinds: []string{"snow", "snow", "node pause", "far"},
		every: 2 * time.Second, faultyFraction: 0.02, loadFactor: 1.2, floors: map[string]int{oracle.RuleNoRequestLost: 50, oracle.RuleQuota: 100}},
	"playoff": {what: "playoff night: planned restarts of ingresses and planners one after the other, accounts shift, nodes are replaced",
		kinds: []string{"roll", "roll", "term", "shift", "drain", "forwarder"}, every: 2 * time.Second, faultyFraction: 0.03, hangUps: 0.02, batches: 0.05, misbehaving: 1, loadFactor: 1.1,
		floors: map[string]int{oracle.RuleOneOpenAttempt: 20, oracle.RuleDrain: 2}},
}

// ScenarioNames lists the scenarios, each with what it does.
func ScenarioNames() (list []string) {
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		list = append(list, fmt.Sprintf("%-10s %s", name, scenarios[name].what))
	}
	return list
}

// KindsOf are the kinds of faults that a scenario names; none stand for all.
func KindsOf(name string) []string { return scenarios[name].kinds }

// Make completes a run by a named scenario: nodes' weather, clients, plans, faults and floors. FleetConfig's sizes, Seed and
// Length are the caller's, as are Accounts; kinds and every, if given, go before the scenario's own.
func Make(name string, sc *Scenario, kinds []string, every time.Duration) error {
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
	sc.Floors = map[string]int{}
	for rule, n := range s.floors {
		sc.Floors[rule] = int(float64(n) * sc.Length.Minutes())
	}
	return nil
}

func (s scenario) setNodes(sc *Scenario) {
	sc.NodeConditions = node.Rough(s.faultyFraction)
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

func (s scenario) setClassesAndPlans(sc *Scenario) {
	sc.Exact, sc.Quota, sc.CapX, sc.PeerLoss = s.exact, s.quota, s.capX, s.peerLoss
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

// setAccounts sets the traffic and who makes it, for the nodes that were set.
func (s scenario) setAccounts(sc *Scenario) {
	sc.Traffic = Traffic{DisconnectFraction: s.hangUps, BatchFraction: s.batches, MisbehavingClients: s.misbehaving}
	if s.accounts != nil {
		sc.Accounts = s.accounts(sc.Forwarders, sc.Seed)
	}
	if s.peakLoad > 0 {
		sc.MeasureOverload, sc.Peak = true, peakInterval(sc.Length)
		sc.Accounts = OverloadAccounts(sc.Forwarders, float64(sc.Nodes*sc.Node.Cores)*sc.Node.Speed, s.peakLoad, sc.Peak, sc.Seed)
		sc.Stated = oracle.DefaultLoadSheddingBounds
		if s.adjustBounds != nil {
			s.adjustBounds(&sc.Stated)
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
