package simulation

import (
	"fmt"
	"time"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/hashring"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// CountFailures are the failures of a shared count that can be simulated one at a time, in the order of a report.
var CountFailures = []string{"none", "owner dies", "owner blinks", "owner moves and comes back", "member dies", "split in two", "12% lost", "50% lost"}

// CountFailureConfig returns the configuration of a run with one failure of a shared count at 15 s. A single account requests six times its
// quota through all ingresses. What it is admitted beyond the quota, and what it is denied of it, is due to the failure: the nodes have room
// for all requests and work without faults or delays, and no hard limit applies.
func CountFailureConfig(failure string, ingresses int, seed uint64) (Config, error) {
	cfg, err := MakeOf("calm", false, ingresses, seed, 60)
	if err != nil {
		return Config{}, err
	}
	plan := policy.Plan{Name: "chaine", Rate: 25, Burst: 48, Weight: 1.6}
	cfg.Plans, cfg.Nodes, cfg.NodeConditions, cfg.Exact = []policy.Plan{plan}, 24, node.Conditions{}, true
	cfg.Accounts = []testbed.Account{{Name: fmt.Sprintf("%016x", seed), Plan: plan.Name, Rate: 6 * plan.Rate, Spread: ingresses}}
	order := hashring.New(ingresses, hashring.PointsPerGateway(ingresses)).Successors(peerprotocol.HashPoint(cfg.Accounts[0].Name), func(int) bool { return true })
	const at, lasts = 15 * time.Second, 5 * time.Second
	x := testbed.Fault{At: at, For: lasts, Kind: "forwarder", A: order[0]}
	switch failure {
	case "none":
		return cfg, nil
	case "owner dies":
	case "owner blinks":
		x.Kind, x.X = "blink", 0.5
	case "owner moves and comes back":
		x.For = 1500 * time.Millisecond
	case "member dies":
		x.A = order[1]
	case "split in two":
		x.Kind = "peers"
	case "12% lost":
		x.Kind, x.X = "fog", 0.4
	case "50% lost":
		x.Kind, x.X = "fog", 1.0/0.6
	default:
		return Config{}, fmt.Errorf("unknown failure %q, expected one of %q", failure, CountFailures)
	}
	cfg.Faults = []testbed.Fault{x}
	return cfg, nil
}

// WorstCountErrors simulates a failure with the given number of seeds. It returns, by window in seconds, the most that was admitted beyond
// rate and burst, and the most of the quota that was denied.
func WorstCountErrors(failure string, ingresses, seeds int) (excess, denied map[int]oracle.Margin, err error) {
	excess, denied = map[int]oracle.Margin{}, map[int]oracle.Margin{}
	for seed := range uint64(seeds) {
		cfg, err := CountFailureConfig(failure, ingresses, seed+1)
		if err != nil {
			return nil, nil, err
		}
		r := New(cfg).Run()
		for _, x := range []struct{ of, to map[int]oracle.Margin }{{r.QuotaExcess, excess}, {r.QuotaShortfall, denied}} {
			for length, m := range x.of {
				if m.Units > x.to[length].Units {
					x.to[length] = m
				}
			}
		}
	}
	return excess, denied, nil
}
