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

// CountFailures are the failures of a shared count that can be played by themselves, in order.
var CountFailures = []string{"none", "owner dies", "owner blinks", "owner moves and comes back", "member dies", "split in two", "12% lost", "50% lost"}

// CountFailureConfig is a run of one account alone, whose quota is asked for six times over through all ingresses, with one failure of its count at 15 s. What
// is let in beyond, and what is withheld, is that failure's. Nodes have room for all of it and go by the clock; no ceiling holds it back.
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
		return Config{}, fmt.Errorf("unknown failure %q; known are %q", failure, CountFailures)
	}
	cfg.Faults = []testbed.Fault{x}
	return cfg, nil
}

// CountWorst plays a failure on so many seeds and returns the worst of each length of time: let in beyond rate and burst, and withheld.
func CountWorst(failure string, ingresses, seeds int) (beyond, short map[int]oracle.Margin, err error) {
	beyond, short = map[int]oracle.Margin{}, map[int]oracle.Margin{}
	for seed := range uint64(seeds) {
		cfg, err := CountFailureConfig(failure, ingresses, seed+1)
		if err != nil {
			return nil, nil, err
		}
		r := New(cfg).Run()
		for _, x := range []struct{ of, to map[int]oracle.Margin }{{r.QuotaExcess, beyond}, {r.QuotaShortfall, short}} {
			for length, m := range x.of {
				if m.Units > x.to[length].Units {
					x.to[length] = m
				}
			}
		}
	}
	return beyond, short, nil
}
