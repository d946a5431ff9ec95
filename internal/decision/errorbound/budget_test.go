package errorbound

import (
	"testing"

	"pgregory.net/rapid"
)

var chaine = Account{Gateways: 4, Rate: 38, Burst: 76, LargestRequest: 3, Demand: 400}

func TestExcess(t *testing.T) {
	alone := chaine
	alone.Gateways = 1
	for _, tc := range []struct {
		name string
		a    Account
		t    Fault
		want float64
	}{
		{"calm, under a flood: members' split of a room that the owner spends too", chaine, Fault{}, 76*0.75 + 3},
		{"calm, asked for little", Account{Gateways: 4, Rate: 38, Burst: 76, LargestRequest: 3, Demand: 40}, Fault{}, 40*0.6 + 3},
		{"one gateway counts alone", alone, Fault{}, 0},
		{"and has forgotten its window when it is back", alone, Fault{Kind: OwnerRestarted}, 76},
		{"the next on the ring begins with what it heard last", chaine, Fault{Kind: OwnerLost}, 76 + 3},
		{"a split in three: two windows more", chaine, Fault{Kind: Partition, From: 0, To: 10, Sides: 3}, 2 * (76 + 38*11.6)},
		{"no message lost", chaine, Fault{Kind: MessageLoss, From: 0, To: 10}, 0},
	} {
		if got := Excess(tc.a, tc.t); got < tc.want-1e-9 || got > tc.want+1e-9 {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// More failures, longer ones and longer times never allow less; and what is far away allows nothing.
func TestExcessWithin_MonotonicInFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Account{Gateways: rapid.IntRange(2, 1000).Draw(t, "gateways"), Rate: rapid.Float64Range(1, 50).Draw(t, "rate"),
			Burst: rapid.Float64Range(6, 150).Draw(t, "burst"), LargestRequest: 6, Demand: rapid.Float64Range(0, 500).Draw(t, "demand")}
		var list []Fault
		for range rapid.IntRange(0, 6).Draw(t, "troubles") {
			from := rapid.Float64Range(0, 60).Draw(t, "from")
			list = append(list, Fault{Kind: FaultKind(rapid.IntRange(1, int(FaultKinds)-1).Draw(t, "kind")), From: from,
				To: from + rapid.Float64Range(0, 10).Draw(t, "for"), Sides: 2, LossRate: rapid.Float64Range(0, 1).Draw(t, "loss")})
		}
		over, met := ExcessWithin(a, list, 20, 30)
		calm, _ := ExcessWithin(a, nil, 20, 30)
		if over < calm || RejectionsWithin(a, list, 20, 30) < RejectionsWithin(a, nil, 20, 30) {
			t.Fatalf("%v with %v, %v in calm", over, met, calm)
		}
		if far, met := ExcessWithin(a, list, 100, 110); far != calm || len(met) > 0 {
			t.Fatalf("%v long after, %v in calm", far, calm)
		}
	})
}
