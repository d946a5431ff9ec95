package failuredetector

import "testing"

// With 12% of messages lost in both directions, a quarter of all reports stays unanswered, and two in a row occur by
// chance once in twenty: that must not lead to a suspicion. Without loss, two in a row must.
func TestDetector_ThresholdGrowsWithLoss(t *testing.T) {
	for _, tc := range []struct {
		lossRate float64
		want     int
	}{{0, 2}, {0.03, 2}, {0.08, 2}, {0.11, 3}, {0.24, 4}, {0.9, 4}} {
		d := New(2)
		d.lossRate = tc.lossRate
		if got := d.Threshold(); got != tc.want {
			t.Errorf("loss rate %v: threshold %d, want %d", tc.lossRate, got, tc.want)
		}
		for i := range tc.want {
			if d.Suspected(1, 5) {
				t.Errorf("loss rate %v: suspected after %d unanswered reports", tc.lossRate, i)
			}
			d.RecordUnanswered(1, 5)
			d.lossRate = tc.lossRate
		}
		if !d.Suspected(1, 5) {
			t.Errorf("loss rate %v: not suspected after %d unanswered reports", tc.lossRate, tc.want)
		}
		if d.Suspected(0, 5) {
			t.Errorf("loss rate %v: the other peer is suspected", tc.lossRate)
		}
	}
}

func TestDetector_SuspicionEnds(t *testing.T) {
	d := New(1)
	for range maxThreshold {
		d.RecordUnanswered(0, 10)
	}
	for _, tc := range []struct {
		now  float64
		want bool
	}{{10 + SuspicionS, true}, {10.01 + SuspicionS, false}} {
		if got := d.Suspected(0, tc.now); got != tc.want {
			t.Errorf("Suspected at %v s is %v, want %v", tc.now, got, tc.want)
		}
	}
	d.RecordUnanswered(0, 12)
	if d.RecordMessage(0); d.Suspected(0, 12) {
		t.Error("the peer is suspected after a message from it")
	}
}

func TestDetector_LearnsLossRate(t *testing.T) {
	d := New(1)
	for i := range 1000 {
		if i%4 == 0 {
			d.RecordUnanswered(0, 0)
		} else {
			d.RecordReply()
		}
	}
	if d.lossRate < 0.15 || d.lossRate > 0.35 {
		t.Errorf("loss rate %v with a quarter of the reports unanswered, want 0.15 to 0.35", d.lossRate)
	}
	for range 300 {
		d.RecordReply()
	}
	if d.Threshold() != minThreshold {
		t.Errorf("threshold %d at loss rate %v after 300 replies, want %d", d.Threshold(), d.lossRate, minThreshold)
	}
}
