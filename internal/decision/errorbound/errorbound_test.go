package errorbound

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

var account = Account{Gateways: 4, Rate: 38, Burst: 76, LargestRequest: 3, Demand: 400}

func TestExcess(t *testing.T) {
	single := account
	single.Gateways = 1
	lowDemand := account
	lowDemand.Demand = 40
	for _, tc := range []struct {
		name    string
		account Account
		fault   Fault
		want    float64
	}{
		{"no fault, high demand: members use units that the owner uses too", account, Fault{}, 76*0.75 + 3},
		{"no fault, low demand", lowDemand, Fault{}, 40*0.6 + 3},
		{"no fault, a single gateway", single, Fault{}, 0},
		{"a single gateway loses its count in a restart", single, Fault{Kind: OwnerRestarted}, 76},
		{"owner lost: the successor starts with the available units that it last received", account, Fault{Kind: OwnerLost}, 76 + 3},
		{"partition into three: two more windows", account, Fault{Kind: Partition, From: 0, To: 10, Sides: 3}, 2 * (76 + 38*11.6)},
		{"message loss with a loss rate of 0", account, Fault{Kind: MessageLoss, From: 0, To: 10}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Excess(tc.account, tc.fault); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("excess of %v units, want %v", got, tc.want)
			}
		})
	}
}

// Faults never lower a bound, and faults that ended long ago do not raise it.
func TestExcessWithin_MonotonicInFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Account{
			Gateways:       rapid.IntRange(2, 1000).Draw(t, "gateways"),
			Rate:           rapid.Float64Range(1, 50).Draw(t, "rate"),
			Burst:          rapid.Float64Range(6, 150).Draw(t, "burst"),
			LargestRequest: 6,
			Demand:         rapid.Float64Range(0, 500).Draw(t, "demand"),
		}
		var faults []Fault
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			from := rapid.Float64Range(0, 60).Draw(t, "from")
			faults = append(faults, Fault{
				Kind:     FaultKind(rapid.IntRange(1, int(FaultKinds)-1).Draw(t, "kind")),
				From:     from,
				To:       from + rapid.Float64Range(0, 10).Draw(t, "duration"),
				Sides:    2,
				LossRate: rapid.Float64Range(0, 1).Draw(t, "loss rate"),
			})
		}
		excess, effective := ExcessWithin(a, faults, 20, 30)
		without, _ := ExcessWithin(a, nil, 20, 30)
		if excess < without || RejectionsWithin(a, faults, 20, 30) < RejectionsWithin(a, nil, 20, 30) {
			t.Fatalf("excess of %v units with %v and %v without faults, want excess and rejections to be no lower with them", excess, effective, without)
		}
		if after, effective := ExcessWithin(a, faults, 100, 110); after != without || len(effective) > 0 {
			t.Fatalf("excess of %v units long after the faults, %v without faults, want the same and no effective fault", after, without)
		}
	})
}

func TestSlotExcessWithin_IsBoundedByGateways(t *testing.T) {
	a := Account{Gateways: 3, MaxConcurrent: 2, RequestRate: 1}
	for _, tc := range []struct {
		name   string
		faults []Fault
		want   float64
	}{
		{"no fault", nil, 1.25},
		{"owner lost", []Fault{{Kind: OwnerLost, From: 9, To: 9}}, 3.25},
		{"owner lost long ago", []Fault{{Kind: OwnerLost, From: 1, To: 1}}, 1.25},
		{"many faults", []Fault{{Kind: OwnerLost, From: 9, To: 10}, {Kind: OwnerRestarted, From: 10, To: 10}, {Kind: Partition, From: 9, To: 11, Sides: 3}}, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got, _ := SlotExcessWithin(a, tc.faults, 10); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("excess of %v attempts, want %v", got, tc.want)
			}
		})
	}
}

func TestSlotIdleS(t *testing.T) {
	for _, tc := range []struct {
		fault Fault
		want  float64
	}{
		{Fault{}, 0.08},
		{Fault{Kind: MemberLost}, 0.58},
		{Fault{Kind: OwnerLost}, 0.64},
		{Fault{Kind: OwnerRestarted}, 0.5},
		{Fault{Kind: MessageLoss, LossRate: 0.5}, 0.29},
		{Fault{Kind: Partition}, 1},
	} {
		if got := SlotIdleS(tc.fault); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%v: a slot is idle for %v s, want %v s", tc.fault.Kind, got, tc.want)
		}
	}
}
