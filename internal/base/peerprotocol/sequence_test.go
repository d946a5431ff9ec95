package peerprotocol

import "testing"

func TestSequenceTracker_Stale(t *testing.T) {
	var tracker SequenceTracker
	for _, tc := range []struct {
		incarnation uint8
		sequence    uint16
		stale       bool
	}{
		{1, 5, false},
		{1, 5, true}, // again
		{1, 4, true}, // overtaken
		{1, 7, false},
		{1, 65535, true}, // before 0, seen from 7
		{2, 1, false},    // of a new process
		{2, 30000, false},
		{2, 60000, false},
		{2, 2, false}, // wrapped
	} {
		if got := tracker.Stale(tc.incarnation, tc.sequence); got != tc.stale {
			t.Errorf("message %d of incarnation %d: stale is %v", tc.sequence, tc.incarnation, got)
		}
	}
}
