package testbed

import (
	"strings"
	"testing"
	"time"

	"eiderspread/internal/testbed/oracle"
)

// A short soak of processes: operators drain ingresses behind a front that does not notice, have one read its configuration again and replace
// another, while processes stand still, one is killed, connections come up late and are reset. The long form is testbed soak.
func TestSoak(t *testing.T) {
	sc, err := Soak(2, 7*time.Second, FleetConfig{Forwarders: 5, Dir: t.TempDir(), Spawn: spawn, MemoryMB: 256, SlowS: 1})
	if err != nil {
		t.Fatal(err)
	}
	if sc.LateDials == 0 || len(sc.Faults) < 5 {
		t.Fatalf("%v: no occasion", sc)
	}
	const ms = time.Millisecond
	sc.Faults = []Fault{
		{At: 300 * ms, For: time.Second, Kind: "drained-deaf", A: 0},
		{At: 500 * ms, For: 2 * time.Second, Kind: "held up", A: 1, X: 1},
		{At: 800 * ms, For: time.Second, Kind: "reloaded", A: 2, B: 1},
		{At: time.Second, For: time.Second, Kind: "node reset", A: 1},
		{At: 1500 * ms, For: 800 * ms, Kind: "forwarder", A: 3},
		{At: 1800 * ms, For: time.Second, Kind: "drain", A: 0},
		{At: 2 * time.Second, For: time.Second, Kind: "replaced", A: 4},
		{At: 2300 * ms, For: time.Second, Kind: "sick", A: 2, X: 0.5},
		{At: 3 * time.Second, For: time.Second, Kind: "restart", A: 2},
	}
	sc.Floors = map[string]int{oracle.RuleDrainEnd: 1, oracle.RuleIngressSelfCheck: 5, oracle.RuleOneOpenAttempt: 3}
	var log strings.Builder
	_, rep, err := Run(sc, &log)
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
	if rep.Results[oracle.Served] < 50 {
		t.Errorf("%+v", rep.Results)
	}
}

// Guards what a soak is: one number draws one run, another number another.
func TestSoakIsDrawnFromItsNumber(t *testing.T) {
	draw := func(number uint64) string {
		sc, err := Soak(number, 10*time.Second, FleetConfig{})
		if err != nil {
			t.Fatal(err)
		}
		text := sc.String()
		for _, x := range sc.Faults {
			text += "\n" + x.At.String() + " " + x.String()
		}
		return text
	}
	if first, again, other := draw(7), draw(7), draw(8); first != again || first == other {
		t.Errorf("7: %s\n7 again: %s\n8: %s", first, again, other)
	}
	for number := range uint64(50) {
		sc, err := Soak(number, 10*time.Second, FleetConfig{})
		if err != nil || sc.Forwarders < soakMinIngresses || sc.Forwarders > soakMaxIngresses {
			t.Errorf("%v, %v", sc, err)
		}
	}
}
