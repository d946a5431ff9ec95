package policy

import (
	"math"
	"testing"
)

// Each decision of a drain changes at its own time of the schedule, a repeated Begin must not restart the
// schedule, and End must cancel it.
func TestDrain_Schedule(t *testing.T) {
	const begin = 1000.0
	for _, tc := range []struct {
		after                              float64
		idle, rejected, closing, all, open bool // idle connections close; requests are rejected; connections in use close; all do; new ones are accepted
	}{
		{0, false, false, false, false, true},
		{0.49, false, false, false, false, true},
		{0.51, true, false, false, false, true},
		{1.89, true, false, false, false, true},
		{1.91, true, true, false, false, true},
		{3.09, true, true, false, false, true},
		{3.11, false, true, false, false, true},
		{3.29, false, true, false, false, true},
		{3.31, false, true, false, false, false},
		{3.39, false, true, false, false, false},
		{3.41, true, true, true, false, false},
		{3.69, true, true, true, false, false},
		{3.71, true, true, true, true, false},
		{60, true, true, true, true, false},
	} {
		d, now := Drain{}, begin+tc.after
		d.Begin(begin)
		d.Begin(now) // has no effect on an active drain
		_, reject := d.RejectRequest(now)
		for name, check := range map[string]struct {
			conn DrainedConn
			want bool
		}{
			"idle":                    {DrainedConn{AcceptedAt: begin, UsedAt: now - 0.2, CommandReceived: true}, tc.idle},
			"idle, and lagging":       {DrainedConn{AcceptedAt: begin, UsedAt: now - 0.2, CommandReceived: true, Lagging: true}, tc.all},
			"used 0.1 s ago":          {DrainedConn{AcceptedAt: begin, UsedAt: now - 0.1, CommandReceived: true}, tc.all},
			"with a part of a PING":   {DrainedConn{AcceptedAt: begin, UsedAt: now - 0.2, CommandReceived: true, Receiving: true}, tc.after > 3.5},
			"in use":                  {DrainedConn{AcceptedAt: begin, UsedAt: now, CommandReceived: true, RequestReceived: true}, tc.closing},
			"in use, with a part":     {DrainedConn{AcceptedAt: begin, UsedAt: now, CommandReceived: true, RequestReceived: true, Receiving: true}, tc.closing},
			"in use, opened just now": {DrainedConn{AcceptedAt: now - 0.09, UsedAt: now, CommandReceived: true, RequestReceived: true}, tc.all},
			"with a command to read":  {DrainedConn{AcceptedAt: begin, UsedAt: now, CommandReceived: true, RequestReceived: true, InputPending: true}, tc.all},
			"unused":                  {DrainedConn{AcceptedAt: now - 0.2, UsedAt: now - 0.2}, tc.closing},
			"unused, opened just now": {DrainedConn{AcceptedAt: now - 0.1, UsedAt: now - 0.1}, tc.all},
			"with an open request":    {DrainedConn{AcceptedAt: begin, UsedAt: begin, CommandReceived: true, RequestReceived: true, AnswerOpen: true}, false},
		} {
			if got := d.Closes(now, check.conn); got != check.want {
				t.Errorf("%v s after Begin: Closes is %v for a connection that is %s, want %v", tc.after, got, name, check.want)
			}
		}
		if reject != tc.rejected || d.Accepts(now) != tc.open || d.ClosesAll(now) != tc.all {
			t.Errorf("%v s after Begin: RejectRequest, Accepts and ClosesAll are %v, %v and %v, want %v, %v and %v", tc.after, reject, d.Accepts(now),
				d.ClosesAll(now), tc.rejected, tc.open, tc.all)
		}
		conn := DrainedConn{AcceptedAt: begin, UsedAt: begin, CommandReceived: true, RequestReceived: true}
		if d.End(); d.Active() || d.Closes(now, conn) || d.ClosesPartial(now, begin, begin) || !d.Accepts(now) || d.Elapsed(now) != 0 || d.StartedAt() != 0 {
			t.Errorf("%v s after Begin: the drain is still in effect after End", tc.after)
		}
	}
}

// Operators allow no open request younger than 2 s at the end of a drain. A request that is accepted too late,
// or that waits behind another one on its connection, would break that.
func TestDrain_NoRecentRequestsAtEnd(t *testing.T) {
	d := Drain{}
	d.Begin(0)
	for ms := range 4000 {
		now := float64(ms) / 1000
		if _, reject := d.RejectRequest(now); !reject && drainEndS-now < 2 {
			t.Fatalf("a request is accepted %v s after Begin, less than 2 s before the end of the drain", now)
		}
	}
	if d.CloseBlocked(3.5, 3) || d.CloseBlocked(3.7, 1) || !d.CloseBlocked(3.7, 3) {
		t.Error("CloseBlocked, want false before 3.6 s, false for an old request, true for a young one: ", d.CloseBlocked(3.5, 3), d.CloseBlocked(3.7, 1), d.CloseBlocked(3.7, 3))
	}
	if math.Abs(d.UntilBlockedS(3)-0.6) > 1e-9 || d.UntilBlockedS(3.7) != 0 {
		t.Error("UntilBlockedS(3), UntilBlockedS(3.7), want 0.6, 0 s:", d.UntilBlockedS(3), d.UntilBlockedS(3.7))
	}
	if d.RemainingS(1) != 3 || d.RemainingS(9) != 0 || d.NextIdleCheckS(0) != 0.5 || d.NextIdleCheckS(2) != 0.1 {
		t.Error("RemainingS(1), RemainingS(9), NextIdleCheckS(0), NextIdleCheckS(2), want 3, 0, 0.5, 0.1 s:",
			d.RemainingS(1), d.RemainingS(9), d.NextIdleCheckS(0), d.NextIdleCheckS(2))
	}
}

// The check at the end of a drain must find exactly the connections that break the operators' rule.
func TestDrain_Overdue(t *testing.T) {
	d := Drain{}
	d.Begin(0)
	for name, tc := range map[string]struct {
		now, last  float64
		idle, want bool
	}{
		"before the end":             {3.9, 0, true, false},
		"idle":                       {4.05, 2, true, true},
		"opened just now":            {4.05, 0, true, true},
		"with a recent request":      {4.05, 3, false, true},
		"with a request of long ago": {4.05, 1.5, false, false},
	} {
		if got := d.Overdue(tc.now, tc.last, tc.idle); got != tc.want {
			t.Errorf("%s: Overdue is %v, want %v", name, got, tc.want)
		}
	}
}

// A connection that has sent nothing must have ended by the end of the drain, and must not end while its first request may still be served
// or rejected in the usual way.
func TestDrain_CloseUnused(t *testing.T) {
	d := Drain{}
	if d.closeUnused(3.9, 0) {
		t.Error("without a drain: closeUnused is true")
	}
	d.Begin(0)
	for name, tc := range map[string]struct {
		now, accepted float64
		want          bool
	}{
		"early":                    {3.3, 2, false},
		"late":                     {3.5, 2, true},
		"opened just now":          {3.6, 3.55, false},
		"opened a moment ago":      {3.6, 3.4, true},
		"just now, near the end":   {3.75, 3.7, true},
		"after the end, just now":  {4.6, 4.55, true},
		"after the end, long open": {4.6, 2, true},
	} {
		if got := d.Closes(tc.now, DrainedConn{AcceptedAt: tc.accepted, UsedAt: tc.accepted}); got != tc.want {
			t.Errorf("%s: Closes is %v, want %v", name, got, tc.want)
		}
	}
}

// A client that is a round trip behind must not be rejected, and the less time is left, the less it may lag.
func TestClientLags(t *testing.T) {
	for _, tc := range []struct {
		undeliveredS, leftS float64
		want                bool
	}{
		{0, 3, false}, {0.2, 3, false}, {0.25, 3, true}, {0.2, 1, false}, {0.1, 0.4, true}, {0.05, 0.4, false}, {0, 0, false}, {0.01, 0, true},
	} {
		if got := ClientLags(tc.undeliveredS, tc.leftS); got != tc.want {
			t.Errorf("ClientLags(%v, %v) is %v, want %v", tc.undeliveredS, tc.leftS, got, tc.want)
		}
	}
}
