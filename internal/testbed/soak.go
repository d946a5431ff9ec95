package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// The soak runs ten to forty processes under faults that overlap in time. One number determines the whole run. The oracle checks the
// rules that must always hold.
const (
	soakMinIngresses, soakMaxIngresses = 10, 40 // number of ingresses
	soakMinNodes, soakNodeCounts       = 6, 8   // lowest number of nodes, and how many different numbers are possible: 6 to 13 nodes
	soakStallS                         = 0.2    // how late a stalled process may answer, in seconds: maxStall and a margin
	soakIngressesPerAccountGroup       = 6      // the accounts are scaled to 33 per this many ingresses
	soakMinFaultIntervalMS             = 120.0  // range of the mean time between two faults; most faults last 0.5 to 3 s, some longer
	soakMaxFaultIntervalMS             = 400.0
	soakFaultyFraction                 = 0.06
	soakLateDialFraction               = 0.3 // fraction of the connections to nodes that are established late, in every second run
	soakMinKeyTTLS                     = 0.5 // range of the time for which nodes remember keys; shorter than a request may take
	soakMaxKeyTTLS                     = 2.0
	soakMaxDeadlineFactor              = 3  // largest factor on deadlines and latency objectives
	soakStream                         = 53 // random stream of the draws here; the faults use a stream of their own
)

// soakFaultKinds are the kinds of faults of a soak, which runs a fleet of one level. A kind that is listed several times is drawn that
// much more often.
var soakFaultKinds = []string{"drained", "drained-deaf", "drained-deaf", "held up", "held up", "reloaded", "replaced", "held", "restart", "roll", "forwarder", "blink",
	"peers", "fog", "lost client", "drain", "drain", "crash", "replace", "node pause", "slow", "sick", "node cut", "node half cut", "one way",
	"refused", "far", "node reset", "late roster", "silent roster", "broken roster", "shift", "flood"}

// crowdEvery is the interval of the soak's numbers whose runs have a crowd of idle clients.
const crowdEvery = 3

// Soak returns the run that number determines. It keeps what base sets: how programs are started, where files go, and the number of
// ingresses unless that is 0.
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
	groups := max(1, sc.Forwarders/soakIngressesPerAccountGroup)
	sc.Accounts = Accounts(20*groups, 10*groups, 3*groups, sc.Forwarders, min(4, sc.Forwarders), number)
	every := time.Duration((soakMinFaultIntervalMS + rng.Float64()*(soakMaxFaultIntervalMS-soakMinFaultIntervalMS)) * float64(time.Millisecond))
	faults := slices.Concat(soakFaultKinds, []string{"terminated", "terminated", "terminated"})
	if number%crowdEvery == 0 {
		faults = append(faults, "crowd", "crowd")
	}
	if err := ApplyScenario("soak", &sc, faults, every); err != nil {
		return sc, err
	}
	sc.Traffic.KeepConnections = true
	return sc, nil
}

// soakClasses returns the testbed's classes with random deadlines, latency objectives and key lifetimes.
func soakClasses(rng *rand.Rand) []policy.Class {
	factor := 1 + rng.Float64()*(soakMaxDeadlineFactor-1)
	list := append([]policy.Class(nil), LabClasses...)
	for i := range list {
		c := &list[i]
		c.LatencyObjectiveS *= factor
		c.DeadlineS *= factor
		if c.Idempotency == policy.KeyedIdempotent {
			c.KeyTTLS = soakMinKeyTTLS + rng.Float64()*(soakMaxKeyTTLS-soakMinKeyTTLS)
		}
	}
	return list
}

func init() {
	scenarios["soak"] = scenario{what: "operators drain, reload and replace ingresses and cordon nodes; processes stall and die; nodes, links and discovery fail; testbed soak draws it",
		kinds: soakFaultKinds, every: 400 * time.Millisecond, faultyFraction: soakFaultyFraction, hangUps: 0.05, batches: 0.2, misbehaving: 2, quota: -1,
		floors: map[string]int{oracle.RuleNoRequestLost: 50, oracle.RuleOneAnswer: 20, oracle.RuleOneOpenAttempt: 20, oracle.RuleNoDuplicateEffect: 10, oracle.RuleDrain: 2, oracle.RuleDrainEnd: 1, oracle.RuleIngressSelfCheck: 1, oracle.RuleDisconnectedClient: 1}}
}

// String describes the run in one line.
func (sc Scenario) String() string {
	keyTTLS := 0.0
	for _, c := range sc.Classes {
		if c.Idempotency == policy.KeyedIdempotent {
			keyTTLS = c.KeyTTLS
		}
	}
	return fmt.Sprintf("seed %d: %d ingresses, %d nodes, %d accounts, deadline %.1f s, keys %.1f s, late dials %.0f%%, %d faults", sc.Seed, sc.Forwarders, sc.Nodes,
		len(sc.Accounts), sc.Classes[0].DeadlineS, keyTTLS, 100*sc.LateDials, len(sc.Faults))
}
