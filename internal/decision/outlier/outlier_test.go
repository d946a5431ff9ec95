package outlier

import (
	"math"
	"testing"
)

func newScores(classes int) (s Scores) {
	s.Grow(classes)
	return s
}

func TestScores_GrowDecayAndReset(t *testing.T) {
	s := newScores(2)
	for _, want := range []float64{0.5, 0.75} {
		if got := s.RecordFailure(0, 0.5, 10); got != want {
			t.Fatalf("score after a failure: %v, want %v", got, want)
		}
	}
	if got := s.ErrorScore(1, 10); got != 0 {
		t.Errorf("score of another class: %v", got)
	}
	if got := s.ErrorScore(0, 10+scoreTauS); math.Abs(got-0.75/math.E) > 1e-9 {
		t.Errorf("score after one time constant: %v, want %v", got, 0.75/math.E)
	}
	if s.RecordSuccess(0, 20); s.ErrorScore(0, 20) != 0 || s.LastSuccessAt(0) != 20 {
		t.Errorf("after a success: score %v, last success at %v s", s.ErrorScore(0, 20), s.LastSuccessAt(0))
	}
}

func TestScores_OneSuccessDoesNotClear(t *testing.T) {
	s := newScores(1)
	for range 8 {
		s.RecordError(0)
	}
	s.RecordSuccess(0, 5)
	if s.ErrorScore(0, 5) < 0.3 || s.ErrorRate(0) < 0.5 {
		t.Errorf("after 8 errors and a success: score %v, error rate %v", s.ErrorScore(0, 5), s.ErrorRate(0))
	}
	if s.Reset(); s.ErrorScore(0, 5) != 0 || s.ErrorRate(0) != 0 {
		t.Errorf("after a reset: score %v, error rate %v", s.ErrorScore(0, 5), s.ErrorRate(0))
	}
}

func TestScores_ApplyGossipIgnoresStale(t *testing.T) {
	s := newScores(1)
	s.RecordSuccess(0, 10)
	for _, tc := range []struct {
		at   float64
		want bool
	}{{9, false}, {10.1, false}, {10.3, true}, {10.4, false}, {10.6, true}} {
		if got := s.ApplyGossip(0, 0.9, tc.at, 0.2); got != tc.want {
			t.Errorf("gossip of %v s: taken %v, want %v", tc.at, got, tc.want)
		}
	}
}
