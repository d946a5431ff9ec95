package policy

import (
	"testing"
)

// A late or forbidden write can run a request twice, miss its deadline or reach a draining backend. Each rule must
// give the right latest start; if several rules apply, the earliest latest start must be returned.
func TestAttempt_LatestStart(t *testing.T) {
	const now = 1000.0
	up := Backend{ID: "a", Zone: "z", State: Up}
	other := Backend{ID: "b", Zone: "y", State: Up}
	mayHaveRun := PriorAttempt{Backend: up, WrittenAt: now - 0.5, MayHaveRun: true}
	neverRan := PriorAttempt{Backend: up, WrittenAt: now - 0.5}
	inFlight := PriorAttempt{Backend: up, WrittenAt: now - 0.5, InFlight: true, MayHaveRun: true}
	keyed := Class{Idempotency: KeyedIdempotent, KeyTTLS: 1}
	zoned := Class{Idempotency: KeyedIdempotent, KeyTTLS: 1, KeyScope: ScopeZone}
	for name, tc := range map[string]struct {
		attempt Attempt
		at      float64
		rule    Violation
	}{
		"a first one":                        {Attempt{Backend: up}, now + 2, SendAfterDeadline},
		"to a backend that drains":           {Attempt{Backend: Backend{State: Draining}}, 0, SendToDraining},
		"beyond the limit":                   {Attempt{Backend: up, MaxAttempts: 1, Prior: []PriorAttempt{neverRan}}, 0, SendOverAttemptLimit},
		"beside another":                     {Attempt{Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{inFlight}}, 0, SendWhileInFlight},
		"beside another where that is usual": {Attempt{Backend: up, MaxAttempts: 3, HedgingAllowed: true, Prior: []PriorAttempt{inFlight}}, now + 2, SendAfterDeadline},
		"safe":                               {Attempt{Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{mayHaveRun}}, now + 2, SendAfterDeadline},
		"unsafe":                             {Attempt{Class: Class{Idempotency: NonIdempotent}, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{mayHaveRun}}, 0, RetryNonIdempotent},
		"unsafe, the first never ran":        {Attempt{Class: Class{Idempotency: NonIdempotent}, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{neverRan}}, now + 2, SendAfterDeadline},
		"keyed":                              {Attempt{Class: keyed, Backend: other, MaxAttempts: 3, Prior: []PriorAttempt{mayHaveRun}}, now - 0.5 + 1 - maxStallS, RetryAfterKeyExpiry},
		"keyed, after two":                   {Attempt{Class: keyed, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{mayHaveRun, {Backend: up, WrittenAt: now - 0.1, MayHaveRun: true}}}, now - 0.5 + 1 - maxStallS, RetryAfterKeyExpiry},
		"keyed, the first never ran":         {Attempt{Class: keyed, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{neverRan}}, now + 2, SendAfterDeadline},
		"keyed, of another zone":             {Attempt{Class: zoned, Backend: other, MaxAttempts: 3, Prior: []PriorAttempt{mayHaveRun}}, 0, RetryOutsideKeyScope},
		"keyed, of one zone":                 {Attempt{Class: zoned, Backend: up, MaxAttempts: 3, Prior: []PriorAttempt{mayHaveRun}}, now - 0.5 + 1 - maxStallS, RetryAfterKeyExpiry},
		"to a backend in slow start":         {Attempt{Backend: Backend{State: Up, StartedAt: now - 3}, DecidedAt: now, SlowStartS: 8}, now + slowStartBudgetTTLS, SlowStartBudgetExpired},
		"to one after slow start":            {Attempt{Backend: Backend{State: Up, StartedAt: now - 9}, DecidedAt: now, SlowStartS: 8}, now + 2, SendAfterDeadline},
		"in slow start, shortly before d":    {Attempt{Backend: Backend{State: Up, StartedAt: now - 3}, DecidedAt: now, SlowStartS: 8, TimeoutAt: now + 0.01}, now + 0.01, SendAfterDeadline},
	} {
		if tc.attempt.TimeoutAt == 0 {
			tc.attempt.TimeoutAt = now + 2
		}
		if at, rule := tc.attempt.LatestStart(); at != tc.at || rule != tc.rule {
			t.Errorf("%s: latest start %v s from now by rule %v, want %v s from now by rule %v", name, at-now, rule, tc.at-now, tc.rule)
		}
	}
}

// A write after its latest start is a violation. It may be maxStallS late, except after a deadline or if the
// attempt must never be written.
func TestViolationAt(t *testing.T) {
	for _, tc := range []struct {
		late float64
		rule Violation
		want Violation
	}{
		{-0.1, RetryAfterKeyExpiry, NoViolation}, {0.1, RetryAfterKeyExpiry, NoViolation}, {0.2, RetryAfterKeyExpiry, RetryAfterKeyExpiry},
		{0.01, SendAfterDeadline, SendAfterDeadline}, {0.1, SlowStartBudgetExpired, NoViolation}, {0.2, SlowStartBudgetExpired, SlowStartBudgetExpired},
	} {
		if got := ViolationAt(10+tc.late, 10, tc.rule); got != tc.want {
			t.Errorf("write %v s after the latest start of rule %v: violation %v, want %v", tc.late, tc.rule, got, tc.want)
		}
	}
	if got := ViolationAt(10, 0, RetryNonIdempotent); got != RetryNonIdempotent {
		t.Errorf("write of an attempt with latest start 0: violation %v, want %v", got, RetryNonIdempotent)
	}
	for v := NoViolation; int(v) < ViolationCount; v++ {
		if v.String() == "" {
			t.Errorf("violation %d has no name", v)
		}
	}
}
