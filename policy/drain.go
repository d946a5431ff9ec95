package policy

// Drain is the schedule by which an ingress lets go of its clients after operators have told it to. Its
// front is told at once, by a refused PING, but clients may go on coming for as long as they like: each of
// them is decided on when it comes, not when somebody looks.
//
// The operators' page allows 4 s; by then no connection may be idle or carry a request from the last 2 s.
// An end that crosses a command on its way has its client send that again, once: so connections end as
// rarely as can be, those in use at the very end alone. Times are in seconds, from the call on:
//
//	0    to 0.5  all is served as usual: new connections are on their way
//	0.5  on      connections that idle are closed
//	1.9  on      requests are refused, with a promise of no effect
//	3.6  on      what others wait behind on their connection is ended, where these are too young to wait on
//	3.7  on      every connection ends as soon as all that has come on it is answered
type Drain struct {
	active    bool
	startedAt float64
}

const (
	drainNoticeS             = 0.5  // new connections go on coming for so long after the front was told, and some more
	drainIdleGraceS          = 0.15 // a connection rests for so long before it is closed: its answer was read
	drainPartialRequestS     = 3.5  // a connection on which a part of a request has come is left until then
	drainRejectS             = 1.9  // from then on a request would be too young at the end
	drainCloseBlockedS       = 3.6  // from then on no request may wait behind another one
	drainCloseAfterResponseS = 3.7  // from then on connections in use end
	drainRecentS             = 2.0  // a request that is younger may not be open at the end
	drainEndS                = 4.0  // the time that operators allow
	drainRetryAfterS         = 0.2  // a refused client's wait before it asks another ingress
	drainCheckIntervalS      = 0.1  // how often what idles is looked for
)

// Begin starts the drain at now; one that is under way goes on.
func (d *Drain) Begin(now float64) {
	if !d.active {
		*d = Drain{active: true, startedAt: now}
	}
}

// End takes clients again.
func (d *Drain) End() { *d = Drain{} }

// Active tells that the ingress is being drained.
func (d *Drain) Active() bool { return d.active }

// Elapsed is how many seconds ago the drain began; 0 if there is none.
func (d *Drain) Elapsed(now float64) float64 {
	if !d.active {
		return 0
	}
	return now - d.startedAt
}

// NextIdleCheckS is in how many seconds connections are to be looked at for those that idle.
func (d *Drain) NextIdleCheckS(now float64) float64 {
	return max(drainCheckIntervalS, drainNoticeS-d.Elapsed(now))
}

// RemainingS is how many seconds are left of the time that operators allow.
func (d *Drain) RemainingS(now float64) float64 { return max(0, drainEndS-d.Elapsed(now)) }

// CloseIdle tells that a connection on which nothing is open and that was last used at lastUsedAt is to be
// closed. With receiving a part of a request has come on it: its client writes slowly, and may be answered
// in time.
func (d *Drain) CloseIdle(now, usedAt float64, receiving bool) bool {
	from := drainNoticeS
	if receiving {
		from = drainPartialRequestS
	}
	return d.active && now-d.startedAt >= from && now-usedAt > drainIdleGraceS
}

// CloseAfterResponse tells that a connection ends as soon as all that has come on it is answered.
func (d *Drain) CloseAfterResponse(now float64) bool {
	return d.active && now-d.startedAt >= drainCloseAfterResponseS
}

// Overdue tells that, with the time that operators allow over, a connection breaks their rule: it idles, but
// for one that was opened or used just now, or its last request is too young.
func (d *Drain) Overdue(now, acceptedAt, usedAt, lastRequestAt float64, idle bool) bool {
	switch {
	case !d.active || now-d.startedAt < drainEndS:
		return false
	case idle:
		return now-max(acceptedAt, usedAt) > drainIdleGraceS+2*drainCheckIntervalS
	}
	return now-lastRequestAt < drainRecentS
}

// CloseBlocked tells that a connection on which something is open, and whose client last asked at lastRequestAt, would
// break the operators' rule at the end: answers go in order, so that what it refused at once still waits
// behind an earlier one, and its client goes on.
func (d *Drain) CloseBlocked(now, lastRequestAt float64) bool {
	return d.active && now-d.startedAt >= drainCloseBlockedS && lastRequestAt-d.startedAt > drainEndS-drainRecentS-maxStallS
}

// MayReject tells that a request may be refused, which promises that trying again is harmless, though an
// attempt of it may have run.
func MayReject(class Class, mayHaveRun bool) bool {
	return !mayHaveRun || class.Idempotency == Idempotent || class.Idempotency == KeyedIdempotent && class.KeyScope == ScopeAll
}

// RejectRequest tells that a request that comes now is to be refused, and in how many seconds its client may try
// elsewhere.
func (d *Drain) RejectRequest(now float64) (retryAfterS float64, reject bool) {
	if d.active && now-d.startedAt >= drainRejectS {
		return drainRetryAfterS, true
	}
	return 0, false
}
