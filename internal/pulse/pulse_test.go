package pulse

import "testing"

// Where a quarter of all reports stays unanswered, as 12% of messages lost both ways make it, two in a row are no silence: they come once in
// twenty. Owners that were well were passed over for a second each, and their stand-ins can pay no ceiling. Where hardly any is lost, two are.
func TestLossIsNoSilence(t *testing.T) {
	for _, tc := range []struct {
		lost float64
		want int
	}{{0, 2}, {0.03, 2}, {0.08, 2}, {0.11, 3}, {0.24, 4}, {0.9, 4}} {
		p := New(2)
		p.lost = tc.lost
		if got := p.Limit(); got != tc.want {
			t.Errorf("with %v unanswered %d in a row are a silence, want %d", tc.lost, got, tc.want)
		}
		for i := range tc.want {
			if p.Silent(1, 5) {
				t.Errorf("with %v unanswered, %d in a row are taken for silence", tc.lost, i)
			}
			p.Missed(1, 5)
			p.lost = tc.lost
		}
		if !p.Silent(1, 5) || p.Silent(0, 5) {
			t.Errorf("with %v unanswered, %d in a row are none", tc.lost, tc.want)
		}
	}
}

func TestASilenceEnds(t *testing.T) {
	p := New(1)
	for range most {
		p.Missed(0, 10)
	}
	if !p.Silent(0, 10+RetryS) || p.Silent(0, 10.01+RetryS) {
		t.Error("a silent peer is not tried again in time")
	}
	p.Missed(0, 12)
	if p.Heard(0); p.Silent(0, 12) {
		t.Error("a peer that was heard is silent")
	}
}

// The share of reports that stay unanswered is learned, both ways.
func TestLossIsLearned(t *testing.T) {
	p := New(1)
	for i := range 1000 {
		if i%4 == 0 {
			p.Missed(0, 0)
		} else {
			p.Answered()
		}
	}
	if p.lost < 0.15 || p.lost > 0.35 {
		t.Errorf("a quarter unanswered is taken for %v", p.lost)
	}
	for range 300 {
		p.Answered()
	}
	if p.Limit() != least {
		t.Errorf("%v after 300 answers", p.lost)
	}
}
