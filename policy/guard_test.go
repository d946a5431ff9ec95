package policy

import "testing"

// Guards the last moment of an attempt: each rule that ends it, and what may not be written at all.
func TestLastMoment(t *testing.T) {
	const now = 1000.0
	up := Server{ID: "a", Zone: "z", State: Up}
	other := Server{ID: "b", Zone: "y", State: Up}
	ran := Earlier{Server: up, WrittenAt: now - 0.5, MayHaveRun: true}
	never := Earlier{Server: up, WrittenAt: now - 0.5}
	out := Earlier{Server: up, WrittenAt: now - 0.5, Out: true, MayHaveRun: true}
	keyed := Class{Effect: Keyed, KeyTTLS: 1}
	zoned := Class{Effect: Keyed, KeyTTLS: 1, KeyScope: ScopeZone}
	for name, x := range map[string]struct {
		attempt Attempt
		at      float64
		rule    Violation
	}{
		"a first one":                         {Attempt{Server: up}, now + 2, SendAfterDeadline},
		"to a backend that drains":            {Attempt{Server: Server{State: Draining}}, 0, SendToDrained},
		"beyond the limit":                    {Attempt{Server: up, Limit: 1, Earlier: []Earlier{never}}, 0, SendBeyondLimit},
		"beside another":                      {Attempt{Server: up, Limit: 3, Earlier: []Earlier{out}}, 0, SendWhileOut},
		"beside another where that is usual":  {Attempt{Server: up, Limit: 3, Parallel: true, Earlier: []Earlier{out}}, now + 2, SendAfterDeadline},
		"safe":                                {Attempt{Server: up, Limit: 3, Earlier: []Earlier{ran}}, now + 2, SendAfterDeadline},
		"unsafe":                              {Attempt{Class: Class{Effect: Unsafe}, Server: up, Limit: 3, Earlier: []Earlier{ran}}, 0, RepeatUnsafe},
		"unsafe, the first never ran":         {Attempt{Class: Class{Effect: Unsafe}, Server: up, Limit: 3, Earlier: []Earlier{never}}, now + 2, SendAfterDeadline},
		"keyed":                               {Attempt{Class: keyed, Server: other, Limit: 3, Earlier: []Earlier{ran}}, now - 0.5 + 1 - heldUpS, RepeatLate},
		"keyed, after two":                    {Attempt{Class: keyed, Server: up, Limit: 3, Earlier: []Earlier{ran, {Server: up, WrittenAt: now - 0.1, MayHaveRun: true}}}, now - 0.5 + 1 - heldUpS, RepeatLate},
		"keyed, the first never ran":          {Attempt{Class: keyed, Server: up, Limit: 3, Earlier: []Earlier{never}}, now + 2, SendAfterDeadline},
		"keyed, of another zone":              {Attempt{Class: zoned, Server: other, Limit: 3, Earlier: []Earlier{ran}}, 0, RepeatOutOfGroup},
		"keyed, of one zone":                  {Attempt{Class: zoned, Server: up, Limit: 3, Earlier: []Earlier{ran}}, now - 0.5 + 1 - heldUpS, RepeatLate},
		"to a cold backend":                   {Attempt{Server: Server{State: Up, SinceS: now - 3}, DecidedAt: now, ColdS: 8}, now + coldFreshS, StartStale},
		"to one that was cold":                {Attempt{Server: Server{State: Up, SinceS: now - 9}, DecidedAt: now, ColdS: 8}, now + 2, SendAfterDeadline},
		"to a cold backend, shortly before d": {Attempt{Server: Server{State: Up, SinceS: now - 3}, DecidedAt: now, ColdS: 8, UntilS: now + 0.01}, now + 0.01, SendAfterDeadline},
	} {
		if x.attempt.UntilS == 0 {
			x.attempt.UntilS = now + 2
		}
		if at, rule := x.attempt.LastMoment(); at != x.at || rule != x.rule {
			t.Errorf("%s: %v by %v, want %v by %v", name, at-now, rule, x.at-now, x.rule)
		}
	}
}

// Guards what counts as broken: the time for which a process may stand still belongs to rules that count to a moment, not to a deadline.
func TestPassed(t *testing.T) {
	for _, x := range []struct {
		late float64
		rule Violation
		want Violation
	}{
		{-0.1, RepeatLate, NoViolation}, {0.1, RepeatLate, NoViolation}, {0.2, RepeatLate, RepeatLate},
		{0.01, SendAfterDeadline, SendAfterDeadline}, {0.1, StartStale, NoViolation}, {0.2, StartStale, StartStale},
	} {
		if got := Passed(10+x.late, 10, x.rule); got != x.want {
			t.Errorf("%v after the last moment of %v: %v", x.late, x.rule, got)
		}
	}
	if got := Passed(10, 0, RepeatUnsafe); got != RepeatUnsafe {
		t.Errorf("what may never be written: %v", got)
	}
	for v := NoViolation; int(v) < Violations; v++ {
		if v.String() == "" {
			t.Errorf("%d has no name", v)
		}
	}
}

// Guards the check at the end of a drain against connections that break the rule, and against those that don't.
func TestDrainHolds(t *testing.T) {
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
		if got := d.Holds(x.now, x.accepted, x.used, x.last, x.idle); got != x.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
