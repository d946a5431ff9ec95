package outlier

import (
	"math"
	"testing"
)

func TestScores_GrowDecayAndReset(t *testing.T) {
	var h Scores
	h.Grow(2)
	if h.RecordFailure(0, 0.5, 10) != 0.5 || h.RecordFailure(0, 0.5, 10) != 0.75 || h.ErrorScore(1, 10) != 0 {
		t.Fatal("two failures")
	}
	if x := h.ErrorScore(0, 10+scoreMemoryS); math.Abs(x-0.75/math.E) > 1e-9 {
		t.Errorf("%v after a time constant", x)
	}
	h.RecordSuccess(0, 20)
	if h.ErrorScore(0, 20) != 0 || h.LastSuccessAt(0) != 20 {
		t.Error("a good answer did not end it")
	}
}

// A server that answers one request well after two errors is not well.
func TestScores_OneSuccessDoesNotClear(t *testing.T) {
	var h Scores
	h.Grow(1)
	for range 8 {
		h.RecordError(0)
	}
	h.RecordSuccess(0, 5)
	if h.ErrorScore(0, 5) < 0.3 || h.ErrorRate(0) < 0.5 {
		t.Errorf("sick %v, share of errors %v", h.ErrorScore(0, 5), h.ErrorRate(0))
	}
	h.Reset()
	if h.ErrorScore(0, 5) != 0 || h.ErrorRate(0) != 0 {
		t.Error("a new process has its former one's errors")
	}
}

func TestScores_ApplyGossipIgnoresStale(t *testing.T) {
	var h Scores
	h.Grow(1)
	h.RecordSuccess(0, 10)
	for _, tc := range []struct {
		at   float64
		want bool
	}{{9, false}, {10.1, false}, {10.3, true}, {10.4, false}, {10.6, true}} {
		if got := h.ApplyGossip(0, 0.9, tc.at, 0.2); got != tc.want {
			t.Errorf("news of %v: taken %v", tc.at, got)
		}
	}
}
