package trace

import "testing"

// A loop that is faster than the disk loses decisions and knows how many; it never waits.
func TestRing_DropsNewestAndCounts(t *testing.T) {
	const capacity = 4
	r := NewRing(capacity)
	for round := range 3 {
		for i := range capacity + 3 {
			r.Put(testRecord(10*round + i))
		}
		list, lost := r.Drain(nil)
		if len(list) != capacity || lost != 3 || list[0] != testRecord(10*round) || list[3] != testRecord(10*round+3) {
			t.Fatalf("round %d: %d decisions, %d lost", round, len(list), lost)
		}
	}
	if list, lost := r.Drain(nil); len(list) != 0 || lost != 0 {
		t.Fatalf("%d decisions and %d lost after all were drained", len(list), lost)
	}
}
