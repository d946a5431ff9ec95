package decay

import (
	"math"
	"testing"
)

func TestRate_DecaysByItsTimeConstant(t *testing.T) {
	const tauS = 2.0
	var r Rate
	r.Add(10, 6, tauS)
	for _, tc := range []struct{ now, want float64 }{{10, 3}, {12, 3 / math.E}, {14, 3 / math.E / math.E}} {
		if got := r.Now(tc.now, tauS); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("rate at %v s is %v, want %v", tc.now, got, tc.want)
		}
	}
	if r.Add(12, 6, tauS); math.Abs(r.Value-(3/math.E+3)) > 1e-9 {
		t.Errorf("rate after a second amount is %v, want %v", r.Value, 3/math.E+3)
	}
}

func TestWindow_Sum(t *testing.T) {
	var w Window
	for i := range 10 {
		w.Add(float64(i), 1)
	}
	if sum := w.Sum(9.5, 3); sum != 3 || len(w) != 3 {
		t.Errorf("sum of the last 3 s is %v with %d entries left, want 3 and 3", sum, len(w))
	}
	if sum := w.Sum(20, 3); sum != 0 || len(w) != 0 {
		t.Errorf("sum after all entries have expired is %v with %d entries left, want 0 and 0", sum, len(w))
	}
}

func TestWindow_RemoveTakesOldestFirst(t *testing.T) {
	for _, tc := range []struct{ amount, first, second float64 }{{0, 2, 3}, {1, 1, 3}, {2.5, 0, 2.5}, {9, 0, 0}} {
		w := Window{{At: 1, Amount: 2}, {At: 2, Amount: 3}}
		if w.Remove(tc.amount); w[0].Amount != tc.first || w[1].Amount != tc.second {
			t.Errorf("entries after removing %v: %v, want amounts %v and %v", tc.amount, w, tc.first, tc.second)
		}
	}
}
