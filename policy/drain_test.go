package policy

import (
	"testing"
)

// What is decided at each time of a drain.
func TestDrain_Schedule(t *testing.T) {
	const call = 1000.0
	for _, x := range []struct {
		after                   float64
		idle, rejected, closing bool // an idle connection is closed; a request is rejected; connections in use close
	}{
		{0, false, false, false},
		{0.49, false, false, false},
		{0.51, true, false, false},
		{1.89, true, false, false},
		{1.91, true, true, false},
		{3.69, true, true, false},
		{3.71, true, true, true},
		{60, true, true, true},
	} {
		d, now := Drain{}, call+x.after
		d.Begin(call)
		d.Begin(now) // a second call changes nothing
		_, reject := d.RejectRequest(now)
		if got := d.CloseIdle(now, now-0.2, false); got != x.idle {
			t.Errorf("after %v: an idle connection is closed: %v", x.after, got)
		}
		if got := d.CloseIdle(now, now-0.2, true); got != (x.after > 3.5) {
			t.Errorf("after %v: a connection with half a request is closed: %v", x.after, got)
		}
		if d.CloseIdle(now, now-0.1, false) {
			t.Errorf("after %v: a connection used just now is closed", x.after)
		}
		if got := d.CloseAfterResponse(now); got != x.closing {
			t.Errorf("after %v: connections in use end: %v", x.after, got)
		}
		if reject != x.rejected {
			t.Errorf("after %v: rejected: %v", x.after, reject)
		}
		if d.End(); d.Active() || d.CloseIdle(now, call, false) || d.CloseAfterResponse(now) || d.Elapsed(now) != 0 {
			t.Errorf("after %v: a drain that has ended goes on", x.after)
		}
	}
}

// At the end of the time that operators allow no open request is younger than 2 s.
func TestDrain_NoRecentRequestsAtEnd(t *testing.T) {
	d := Drain{}
	d.Begin(0)
	for ms := range 4000 {
		now := float64(ms) / 1000
		if _, reject := d.RejectRequest(now); !reject && drainEndS-now < 2 {
			t.Fatalf("a request is taken %v s after the call", now)
		}
	}
	if d.CloseBlocked(3.5, 3) || d.CloseBlocked(3.7, 1) || !d.CloseBlocked(3.7, 3) {
		t.Error("what young requests wait behind: ", d.CloseBlocked(3.5, 3), d.CloseBlocked(3.7, 1), d.CloseBlocked(3.7, 3))
	}
	if d.RemainingS(1) != 3 || d.RemainingS(9) != 0 || d.NextIdleCheckS(0) != 0.5 || d.NextIdleCheckS(2) != 0.1 {
		t.Error(d.RemainingS(1), d.RemainingS(9), d.NextIdleCheckS(0), d.NextIdleCheckS(2))
	}
}

// The check at the end of a drain finds connections that break the rule, and no others.
func TestDrain_Overdue(t *testing.T) {
	d := Drain{}
	d.Begin(0)
	for name, x := range map[string]struct {
		now, accepted, used, last float64
		idle, want                bool
	}{
		"before the end":             {3.9, 0, 0, 0, true, false},
		"idle":                       {4.05, 0, 3, 2, true, true},
		"opened just now":            {4.05, 4, 4, 0, true, false},
		"with a recent request":      {4.05, 3, 3, 3, false, true},
		"with a request of long ago": {4.05, 1, 1.5, 1.5, false, false},
	} {
		if got := d.Overdue(x.now, x.accepted, x.used, x.last, x.idle); got != x.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
