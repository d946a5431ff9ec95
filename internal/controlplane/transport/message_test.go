package transport

import "testing"

// The kinds without a value on the wire are told apart by handle or cell, each on messages of its own side alone.
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
		{"level of no phase", NewShedLevel(0, 0, 0), KindRelease, KindShedLevel},
		{"relayed level", RelayedShedLevel(&level), KindShedLevel, KindDisconnected},
		{"disconnect", Message{Kind: KindDisconnected, Handle: 1}, KindDisconnected, KindDisconnected},
		{"disconnect, upper bit", Message{Kind: KindDisconnected, Handle: 1 << 63}, KindDisconnected, KindDisconnected},
		{"release", Message{Kind: KindRelease, Cell: 3, Epoch: level.Epoch}, KindRelease, KindRelease},
		{"view of the reserved cell", Message{Kind: KindView, Cell: CordonCapableCell, Handle: CordonCapableHandle}, KindView, KindView},
	} {
		if got := tc.msg.KindFromForwarder(); got != tc.fromForwarder {
			t.Errorf("%s: from a forwarder %d, want %d", tc.name, got, tc.fromForwarder)
		}
		if got := tc.msg.KindFromPlanner(); got != tc.fromPlanner {
			t.Errorf("%s: from a planner %d, want %d", tc.name, got, tc.fromPlanner)
		}
	}
	if KindShedLevel <= kindCount {
		t.Error("a kind without a value on the wire has one")
	}
}
