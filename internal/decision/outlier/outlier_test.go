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
			t.Fatalf("error score after a failure is %v, want %v", got, want)
		}
	}
	if got := s.ErrorScore(1, 10); got != 0 {
		t.Errorf("error score of a class without failures is %v, want 0", got)
	}
	if got := s.ErrorScore(0, 10+scoreTauS); math.Abs(got-0.75/math.E) > 1e-9 {
		t.Errorf("error score after one time constant is %v, want %v", got, 0.75/math.E)
	}
	if s.RecordSuccess(0, 20); s.ErrorScore(0, 20) != 0 || s.LastSuccessAt(0) != 20 {
		t.Errorf("after a success at 20 s: error score %v, last success at %v s, want 0 and 20 s", s.ErrorScore(0, 20), s.LastSuccessAt(0))
	}
}

func TestScores_OneSuccessDoesNotClear(t *testing.T) {
	s := newScores(1)
	for range 8 {
		s.RecordError(0)
	}
	s.RecordSuccess(0, 5)
	if s.ErrorScore(0, 5) < 0.3 || s.ErrorRate(0) < 0.5 {
		t.Errorf("after 8 errors and a success: error score %v and error rate %v, want at least 0.3 and 0.5", s.ErrorScore(0, 5), s.ErrorRate(0))
	}
	if s.Reset(); s.ErrorScore(0, 5) != 0 || s.ErrorRate(0) != 0 {
		t.Errorf("after a reset: error score %v and error rate %v, want 0 and 0", s.ErrorScore(0, 5), s.ErrorRate(0))
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
			t.Errorf("score recorded at %v s: applied is %v, want %v", tc.at, got, tc.want)
		}
	}
}
