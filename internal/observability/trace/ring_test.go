package trace

import "testing"

// An event loop that is faster than the disk fills the ring. Put then drops the newest decisions without waiting, and Drain
// returns how many were lost.
func TestRing_DropsNewestAndCounts(t *testing.T) {
	const capacity = 4
	r := NewRing(capacity)
	for round := range 3 {
		for i := range capacity + 3 {
			r.Put(testDecision(10*round + i))
		}
		list, lost := r.Drain(nil)
		if len(list) != capacity || lost != 3 || list[0] != testDecision(10*round) || list[3] != testDecision(10*round+3) {
			t.Fatalf("round %d: drained %+v, %d lost; want the oldest %d decisions, 3 lost", round, list, lost, capacity)
		}
	}
	if list, lost := r.Drain(nil); len(list) != 0 || lost != 0 {
		t.Fatalf("drained an empty ring: %d decisions, %d lost; want 0 and 0", len(list), lost)
	}
}
