package simulation

import (
	"slices"
	"time"

	"eiderspread/internal/testbed"
)

// Make returns the configuration of a named scenario of the testbed, lengthS seconds long, at a size at which thousands of schedules take
// minutes: 5 forwarders and 3 planners in 4 cells if two is set, for a fleet of two levels, else 4 ingresses.
func Make(name string, two bool, seed uint64, lengthS float64) (Config, error) {
	return MakeOf(name, two, 0, seed, lengthS)
}

// MakeOf is Make with a given number of forwarders or ingresses; 0 means the number that Make uses.
func MakeOf(name string, two bool, forwarders int, seed uint64, lengthS float64) (Config, error) {
	return MakeWithSizes(name, two, forwarders, 0, seed, lengthS)
}

// MakeWithSizes is MakeOf with a given number of nodes too; 0 means the scenario's number, or 6 if it has none.
func MakeWithSizes(name string, two bool, forwarders, nodes int, seed uint64, lengthS float64) (Config, error) {
	sc := testbed.Scenario{Length: time.Duration(lengthS * float64(time.Second)),
		FleetConfig: testbed.FleetConfig{Forwarders: 4, Nodes: 6, Classes: testbed.LabClasses, Plans: testbed.LabPlans, Node: testbed.LabNode, Seed: seed}, NodeCount: nodes}
	if two {
		sc.Forwarders, sc.Planners = 5, 3
	}
	if forwarders > 0 {
		sc.Forwarders = forwarders
	}
	sc.Accounts = testbed.Accounts(16, 10, 3, sc.Forwarders, 3, seed)
	known := FaultKindNames(two)
	chosen := known
	if kinds := testbed.ScenarioFaultKinds(name); len(kinds) > 0 {
		chosen = slices.DeleteFunc(slices.Clone(kinds), func(k string) bool { return !slices.Contains(known, k) })
	}
	if err := testbed.ApplyScenario(name, &sc, chosen, 0); err != nil {
		return Config{}, err
	}
	return Config{Forwarders: sc.Forwarders, Planners: sc.Planners, Cells: 4, Nodes: sc.Nodes, Zones: sc.Zones, Classes: sc.Classes, Plans: sc.Plans, Node: sc.Node,
		NodeConditions: sc.NodeConditions, Accounts: sc.Accounts, ClassFractions: testbed.LabClassFractions, Units: testbed.LabUnits, LengthS: lengthS, Faults: sc.Faults, Exact: sc.Exact, MeasureOverload: sc.MeasureOverload, Peak: sc.Peak, LoadSheddingBounds: sc.LoadSheddingBounds, QuotaSlack: sc.QuotaSlack, ConcurrencyFactor: sc.ConcurrencyFactor, PeerLoss: sc.PeerLoss, Seed: seed}, nil
}

// Shrink removes from list, such as the faults of a failing run, the entries that are not needed for fails to return true: without any
// one of the returned entries, fails returns false. It is delta debugging by halves, then by ever smaller parts. fails(list) must be true.
func Shrink[T any](list []T, fails func([]T) bool) []T {
	parts := 2
	for len(list) > 0 {
		size := (len(list) + parts - 1) / parts
		smaller := false
		for from := 0; from < len(list); from += size {
			rest := slices.Concat(list[:from], list[min(from+size, len(list)):])
			if fails(rest) {
				list, smaller = rest, true
				parts = max(parts-1, 2)
				break
			}
		}
		switch {
		case smaller:
		case size == 1:
			return list
		default:
			parts = min(2*parts, len(list))
		}
	}
	return list
}
