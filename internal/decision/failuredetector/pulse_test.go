package failuredetector

import "testing"

// Where a quarter of all reports stays unanswered, as 12% of messages lost both ways make it, two in a row are no silence: they come once in
// twenty. Owners that were well were passed over for a second each, and their stand-ins can pay no ceiling. Where hardly any is lost, two are.
func TestDetector_ThresholdGrowsWithLoss(t *testing.T) {
	for _, tc := range []struct {
		lost float64
		want int
	}{{0, 2}, {0.03, 2}, {0.08, 2}, {0.11, 3}, {0.24, 4}, {0.9, 4}} {
		p := New(2)
		p.lossRate = tc.lost
		if got := p.Threshold(); got != tc.want {
			t.Errorf("with %v unanswered %d in a row are a silence, want %d", tc.lost, got, tc.want)
		}
		for i := range tc.want {
			if p.Suspected(1, 5) {
				t.Errorf("with %v unanswered, %d in a row are taken for silence", tc.lost, i)
			}
			p.RecordUnanswered(1, 5)
			p.lossRate = tc.lost
		}
		if !p.Suspected(1, 5) || p.Suspected(0, 5) {
			t.Errorf("with %v unanswered, %d in a row are none", tc.lost, tc.want)
		}
	}
}

func TestDetector_SuspicionEnds(t *testing.T) {
	p := New(1)
	for range maxThreshold {
		p.RecordUnanswered(0, 10)
	}
	if !p.Suspected(0, 10+SuspicionS) || p.Suspected(0, 10.01+SuspicionS) {
		t.Error("a silent peer is not tried again in time")
	}
	p.RecordUnanswered(0, 12)
	if p.RecordMessage(0); p.Suspected(0, 12) {
		t.Error("a peer that was heard is silent")
	}
}

// The share of reports that stay unanswered is learned, both ways.
func TestDetector_LearnsLossRate(t *testing.T) {
	p := New(1)
	for i := range 1000 {
		if i%4 == 0 {
			p.RecordUnanswered(0, 0)
		} else {
			p.RecordReply()
		}
	}
	if p.lossRate < 0.15 || p.lossRate > 0.35 {
		t.Errorf("a quarter unanswered is taken for %v", p.lossRate)
	}
	for range 300 {
		p.RecordReply()
	}
	if p.Threshold() != minThreshold {
		t.Errorf("%v after 300 answers", p.lossRate)
	}
}
