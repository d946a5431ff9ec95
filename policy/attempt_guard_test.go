package policy

import (
	"testing"
)

// The latest start by each rule, and what must not be written at all.
func TestAttempt_LatestStart(t *testing.T) {
	const now = 1000.0
	up := Backend{ID: "a", Zone: "z", State: Up}
	other := Backend{ID: "b", Zone: "y", State: Up}
	ran := PriorAttempt{Backend: up, WrittenAt: now - 0.5, MayHaveRun: true}
	never := PriorAttempt{Backend: up, WrittenAt: now - 0.5}
	out := PriorAttempt{Backend: up, WrittenAt: now - 0.5, InFlight: true, MayHaveRun: true}
	keyed := Class{Idempotency: KeyedIdempotent, KeyTTLS: 1}
	zoned := Class{Idempotency: KeyedIdempotent, KeyTTLS: 1, KeyScope: ScopeZone}
	for name, x := range map[string]struct {
		attempt Attempt
		at      float64
		rule    Violation
	}{
		"a first one":                        {Attempt{Backend: up}, now + 2, SendAfterDeadline},
		"to a backend that drains":           {Attempt{Backend: Backend{State: Draining}}, 0, SendToDraining},
		"beyond the limit":                   {Attempt{Backend: up, MaxAttempts: 1, Prior: []PriorAttempt{never}}, 0, SendOverAttemptLimit},
		"beside another":                     {Attempt{Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{out}}, 0, SendWhileInFlight},
		"beside another where that is usual": {Attempt{Backend: up, MaxAttempts: 3, HedgingAllowed: true, Prior: []PriorAttempt{out}}, now + 2, SendAfterDeadline},
		"safe":                               {Attempt{Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{ran}}, now + 2, SendAfterDeadline},
		"unsafe":                             {Attempt{Class: Class{Idempotency: NonIdempotent}, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{ran}}, 0, RetryNonIdempotent},
		"unsafe, the first never ran":        {Attempt{Class: Class{Idempotency: NonIdempotent}, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{never}}, now + 2, SendAfterDeadline},
		"keyed":                              {Attempt{Class: keyed, Backend: other, MaxAttempts: 3, Prior: []PriorAttempt{ran}}, now - 0.5 + 1 - maxStallS, RetryAfterKeyExpiry},
		"keyed, after two":                   {Attempt{Class: keyed, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{ran, {Backend: up, WrittenAt: now - 0.1, MayHaveRun: true}}}, now - 0.5 + 1 - maxStallS, RetryAfterKeyExpiry},
		"keyed, the first never ran":         {Attempt{Class: keyed, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{never}}, now + 2, SendAfterDeadline},
		"keyed, of another zone":             {Attempt{Class: zoned, Backend: other, MaxAttempts: 3, Prior: []PriorAttempt{ran}}, 0, RetryOutsideKeyScope},
		"keyed, of one zone":                 {Attempt{Class: zoned, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{ran}}, now - 0.5 + 1 - maxStallS, RetryAfterKeyExpiry},
		"to a backend in slow start":         {Attempt{Backend: Backend{State: Up, StartedAt: now - 3}, DecidedAt: now, SlowStartS: 8}, now + slowStartBudgetTTLS, SlowStartBudgetExpired},
		"to one after slow start":            {Attempt{Backend: Backend{State: Up, StartedAt: now - 9}, DecidedAt: now, SlowStartS: 8}, now + 2, SendAfterDeadline},
		"in slow start, shortly before d":    {Attempt{Backend: Backend{State: Up, StartedAt: now - 3}, DecidedAt: now, SlowStartS: 8, TimeoutAt: now + 0.01}, now + 0.01, SendAfterDeadline},
	} {
		if x.attempt.TimeoutAt == 0 {
			x.attempt.TimeoutAt = now + 2
		}
		if at, rule := x.attempt.LatestStart(); at != x.at || rule != x.rule {
			t.Errorf("%s: %v by %v, want %v by %v", name, at-now, rule, x.at-now, x.rule)
		}
	}
}

// A write after its latest start breaks a rule, with grace for stalls where the rule allows it.
func TestViolationAt(t *testing.T) {
	for _, x := range []struct {
		late float64
		rule Violation
		want Violation
	}{
		{-0.1, RetryAfterKeyExpiry, NoViolation}, {0.1, RetryAfterKeyExpiry, NoViolation}, {0.2, RetryAfterKeyExpiry, RetryAfterKeyExpiry},
		{0.01, SendAfterDeadline, SendAfterDeadline}, {0.1, SlowStartBudgetExpired, NoViolation}, {0.2, SlowStartBudgetExpired, SlowStartBudgetExpired},
	} {
		if got := ViolationAt(10+x.late, 10, x.rule); got != x.want {
			t.Errorf("%v after the last moment of %v: %v", x.late, x.rule, got)
		}
	}
	if got := ViolationAt(10, 0, RetryNonIdempotent); got != RetryNonIdempotent {
		t.Errorf("what may never be written: %v", got)
	}
	for v := NoViolation; int(v) < ViolationCount; v++ {
		if v.String() == "" {
			t.Errorf("%d has no name", v)
		}
	}
}
