package simulation

import (
	"slices"
	"time"

	"eiderspread/internal/testbed"
)

// Make is one of the laboratory's scenarios in virtual time, at a size that fits thousands of schedules into minutes: 5
// forwarders and 3 planners in 4 cells, or with two false 4 ingresses.
func Make(name string, two bool, seed uint64, lengthS float64) (Config, error) {
	return MakeOf(name, two, 0, seed, lengthS)
}

// MakeOf is Make with another number of forwarders or ingresses; 0 stands for the usual one.
func MakeOf(name string, two bool, forwarders int, seed uint64, lengthS float64) (Config, error) {
	return Sized(name, two, forwarders, 0, seed, lengthS)
}

// Sized is MakeOf with another number of nodes too; 0 stands for the scenario's, or the usual one.
func Sized(name string, two bool, forwarders, nodes int, seed uint64, lengthS float64) (Config, error) {
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
	if of := testbed.KindsOf(name); len(of) > 0 {
		chosen = slices.DeleteFunc(slices.Clone(of), func(k string) bool { return !slices.Contains(known, k) })
	}
	if err := testbed.Make(name, &sc, chosen, 0); err != nil {
		return Config{}, err
	}
	return Config{Forwarders: sc.Forwarders, Planners: sc.Planners, Cells: 4, Nodes: sc.Nodes, Zones: sc.Zones, Classes: sc.Classes, Plans: sc.Plans, Node: sc.Node,
		NodeConditions: sc.NodeConditions, Accounts: sc.Accounts, ClassFractions: testbed.LabClassFractions, Units: testbed.LabUnits, LengthS: lengthS, Faults: sc.Faults, Exact: sc.Exact, MeasureOverload: sc.MeasureOverload, Peak: sc.Peak, LoadSheddingBounds: sc.Stated, QuotaSlack: sc.Quota, ConcurrencyFactor: sc.CapX, PeerLoss: sc.PeerLoss, Seed: seed}, nil
}

// Shrink cuts the faults of a failing run down to those that matter: with any one of what is left taken out, fails no
// longer holds. It is delta debugging by halves, then by ever smaller parts; fails must be true of list.
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
