package health

import (
	"math"
	"testing"
)

func TestSicknessGrowsFadesAndEnds(t *testing.T) {
	var h Health
	h.Grow(2)
	if h.Fail(0, 0.5, 10) != 0.5 || h.Fail(0, 0.5, 10) != 0.75 || h.Sick(1, 10) != 0 {
		t.Fatal("two failures")
	}
	if x := h.Sick(0, 10+tauS); math.Abs(x-0.75/math.E) > 1e-9 {
		t.Errorf("%v after a time constant", x)
	}
	h.Good(0, 20)
	if h.Sick(0, 20) != 0 || h.GoodAt(0) != 20 {
		t.Error("a good answer did not end it")
	}
}

// A server that answers one request well after two errors is not well.
func TestOneGoodAnswerIsNoHealth(t *testing.T) {
	var h Health
	h.Grow(1)
	for range 8 {
		h.Err(0)
	}
	h.Good(0, 5)
	if h.Sick(0, 5) < 0.3 || h.Erred(0) < 0.5 {
		t.Errorf("sick %v, share of errors %v", h.Sick(0, 5), h.Erred(0))
	}
	h.Reset()
	if h.Sick(0, 5) != 0 || h.Erred(0) != 0 {
		t.Error("a new process has its former one's errors")
	}
}

func TestOldNewsIsNoNews(t *testing.T) {
	var h Health
	h.Grow(1)
	h.Good(0, 10)
	for _, tc := range []struct {
		at   float64
		want bool
	}{{9, false}, {10.1, false}, {10.3, true}, {10.4, false}, {10.6, true}} {
		if got := h.Heard(0, 0.9, tc.at, 0.2); got != tc.want {
			t.Errorf("news of %v: taken %v", tc.at, got)
		}
	}
}
