package testbed

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// The soak: ten to forty processes under faults that overlap in time, all of it drawn from one number, judged by the rules that must never break.
const (
	soakMinIngresses, soakMaxIngresses = 10, 40 // ingresses
	soakMinNodes, soakNodeCounts       = 6, 8   // nodes, and as many more at most, less one
	soakStallS                         = 0.2    // that a process which is held up may be late: the most that it stands still, and some
	soakIngressesPerAccountGroup       = 6      // for which there are 33 accounts
	soakMinFaultIntervalMS             = 120.0  // between two faults in the mean, each of which lasts 0.5 to 3 s and some longer
	soakMaxFaultIntervalMS             = 400.0
	soakFaultyFraction                 = 0.06
	soakLateDialFraction               = 0.3 // of the connections to nodes, in every second run
	soakMinKeyTTLS                     = 0.5 // for which nodes remember keys: less than a request may last
	soakMaxKeyTTLS                     = 2.0
	soakMaxDeadlineFactor              = 3  // times as long as usual, at most
	soakStream                         = 53 // of what is drawn here, beside the faults' own draws
)

// soakFaultKinds are the faults of a soak of one level, the more often a kind stands here the more often it is drawn.
var soakFaultKinds = []string{"drained", "drained-deaf", "drained-deaf", "held up", "held up", "reloaded", "replaced", "held", "restart", "roll", "forwarder", "blink",
	"peers", "fog", "lost client", "drain", "drain", "crash", "replace", "node pause", "slow", "sick", "node cut", "node half cut", "one way",
	"refused", "far", "node reset", "late roster", "silent roster", "broken roster", "shift", "flood"}

// Soak draws a run by its number, for a length of time. What stands in base (how programs are started, where files go) is kept.
func Soak(number uint64, length time.Duration, base FleetConfig) (Scenario, error) {
	rng := rand.New(rand.NewPCG(number, soakStream))
	sc := Scenario{Length: length, FleetConfig: base}
	sc.Seed = number
	if sc.Forwarders == 0 {
		sc.Forwarders = soakMinIngresses + rng.IntN(soakMaxIngresses-soakMinIngresses+1)
	}
	sc.Nodes = soakMinNodes + rng.IntN(soakNodeCounts)
	sc.Classes, sc.Plans, sc.Node = soakClasses(rng), LabPlans, LabNode
	for _, c := range sc.Classes {
		if c.Idempotency == policy.KeyedIdempotent {
			sc.Node.KeyedS = c.KeyTTLS
		}
	}
	if number%2 == 0 {
		sc.LateDials = soakLateDialFraction
	}
	sc.StallS = soakStallS
	k := max(1, sc.Forwarders/soakIngressesPerAccountGroup)
	sc.Accounts = Accounts(20*k, 10*k, 3*k, sc.Forwarders, min(4, sc.Forwarders), number)
	every := time.Duration((soakMinFaultIntervalMS + rng.Float64()*(soakMaxFaultIntervalMS-soakMinFaultIntervalMS)) * float64(time.Millisecond))
	if err := Make("soak", &sc, nil, every); err != nil {
		return sc, err
	}
	return sc, nil
}

// soakClasses are the laboratory's classes with deadlines and windows of their own.
func soakClasses(rng *rand.Rand) []policy.Class {
	longer := 1 + rng.Float64()*(soakMaxDeadlineFactor-1)
	list := append([]policy.Class(nil), LabClasses...)
	for i := range list {
		c := &list[i]
		c.LatencyObjectiveS *= longer
		c.DeadlineS *= longer
		if c.Idempotency == policy.KeyedIdempotent {
			c.KeyTTLS = soakMinKeyTTLS + rng.Float64()*(soakMaxKeyTTLS-soakMinKeyTTLS)
		}
	}
	return list
}

func init() {
	scenarios["soak"] = scenario{what: "operators drain, reload, replace and hold, processes stand still and die, nodes, ways and the roster fail, all at once; testbed soak draws it",
		kinds: soakFaultKinds, every: 400 * time.Millisecond, faultyFraction: soakFaultyFraction, hangUps: 0.05, batches: 0.2, misbehaving: 2, quota: -1,
		floors: map[string]int{oracle.RuleNoRequestLost: 50, oracle.RuleOneAnswer: 20, oracle.RuleOneOpenAttempt: 20, oracle.RuleNoDuplicateEffect: 10, oracle.RuleDrain: 2, oracle.RuleDrainEnd: 1, oracle.RuleIngressSelfCheck: 1, oracle.RuleDisconnectedClient: 1}}
}

// String tells what was drawn, in a line.
func (sc Scenario) String() string {
	keyed := 0.0
	for _, c := range sc.Classes {
		if c.Idempotency == policy.KeyedIdempotent {
			keyed = c.KeyTTLS
		}
	}
	return fmt.Sprintf("seed %d: %d ingresses, %d nodes, %d accounts, deadline %.1f s, keys %.1f s, late dials %.0f%%, %d faults", sc.Seed, sc.Forwarders, sc.Nodes,
		len(sc.Accounts), sc.Classes[0].DeadlineS, keyed, 100*sc.LateDials, len(sc.Faults))
}
