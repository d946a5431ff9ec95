package transport

import "testing"

// Guards the kinds without a value on the wire: they are recognized by a reserved handle or cell, and only in messages from the side that
// sends them.
func TestKindFrom(t *testing.T) {
	level := NewShedLevel(3, 0.6, 7)
	for _, tc := range []struct {
		name                       string
		msg                        Message
		fromForwarder, fromPlanner Kind
	}{
		{"forwarder knows cordons", NewForwarderCordonCapable(), KindCordonCapable, KindDisconnected},
		{"planner knows cordons", NewPlannerCordonCapable(), KindRelease, KindCordonCapable},
		{"level", level, KindRelease, KindShedLevel},
		{"level 0, phase 0", NewShedLevel(0, 0, 0), KindRelease, KindShedLevel},
		{"relayed level", RelayedShedLevel(&level), KindShedLevel, KindDisconnected},
		{"disconnect", Message{Kind: KindDisconnected, Handle: 1}, KindDisconnected, KindDisconnected},
		{"disconnect, upper bit", Message{Kind: KindDisconnected, Handle: 1 << 63}, KindDisconnected, KindDisconnected},
		{"release", Message{Kind: KindRelease, Cell: 3, Epoch: level.Epoch}, KindRelease, KindRelease},
		{"promise report of the reserved cell", Message{Kind: KindPromiseReport, Cell: CordonCapableCell, Handle: CordonCapableHandle}, KindPromiseReport, KindPromiseReport},
	} {
		if got := tc.msg.KindFromForwarder(); got != tc.fromForwarder {
			t.Errorf("%s: kind from a forwarder is %d, want %d", tc.name, got, tc.fromForwarder)
		}
		if got := tc.msg.KindFromPlanner(); got != tc.fromPlanner {
			t.Errorf("%s: kind from a planner is %d, want %d", tc.name, got, tc.fromPlanner)
		}
	}
	if KindShedLevel <= kindCount {
		t.Errorf("KindShedLevel is %d, want a value above the kinds on the wire, which end below %d", KindShedLevel, kindCount)
	}
}
