package policy

// Drain is the schedule by which an ingress sends its clients away after an operator has asked for that. The
// load balancer in front learns of it at once, by a failed health check, but clients may go on coming: each
// event is decided when it happens.
//
// Operators allow 4 s. By then no connection may idle, or carry a request that is younger than 2 s. A close
// that crosses a request makes its client send that again: connections close as rarely as possible, those in
// use last. In seconds from Begin:
//
//	0    to 0.5  everything is served: new connections still come
//	0.5  on      idle connections are closed
//	1.9  on      requests are rejected
//	3.6  on      a request that young ones wait behind on its connection is ended
//	3.7  on      every connection closes as soon as all its requests are answered
//
// Its zero value is no drain. Times are Unix seconds.
type Drain struct {
	active    bool
	startedAt float64
}

// Seconds from Begin, unless the comment says otherwise.
const (
	drainNoticeS             = 0.5  // until new connections cease to come
	drainRejectS             = 1.9  // from then on a request would be too young at the end
	drainPartialRequestS     = 3.5  // until then a request that has come in part is waited for
	drainCloseBlockedS       = 3.6  // from then on no young request may wait behind another one
	drainCloseAfterResponseS = 3.7  // from then on connections in use close
	drainEndS                = 4.0  // the time that operators allow
	drainRecentS             = 2.0  // age in seconds, below which no request may be open at the end
	drainIdleGraceS          = 0.15 // seconds that a connection idles, so that its client has read the answer
	drainRetryAfterS         = 0.2  // seconds, hint for a client that is rejected
	drainCheckIntervalS      = 0.1  // seconds between two looks for idle connections
)

// Begin starts the drain at now. One that is active goes on.
func (d *Drain) Begin(now float64) {
	if !d.active {
		*d = Drain{active: true, startedAt: now}
	}
}

// End ends the drain: the ingress serves clients again.
func (d *Drain) End() { *d = Drain{} }

// Active reports whether the ingress is draining.
func (d *Drain) Active() bool { return d.active }

// Elapsed is the seconds since the drain began; 0 if there is none.
func (d *Drain) Elapsed(now float64) float64 {
	if !d.active {
		return 0
	}
	return now - d.startedAt
}

// NextIdleCheckS is in how many seconds to look for idle connections next.
func (d *Drain) NextIdleCheckS(now float64) float64 {
	return max(drainCheckIntervalS, drainNoticeS-d.Elapsed(now))
}

// RemainingS is the seconds left of the time that operators allow; 0 if it is over.
func (d *Drain) RemainingS(now float64) float64 { return max(0, drainEndS-d.Elapsed(now)) }

// CloseIdle reports whether a connection without an open request, last used at usedAt, is to be closed. With
// receiving a part of a request has come on it: its client writes slowly, and may still be answered in time.
func (d *Drain) CloseIdle(now, usedAt float64, receiving bool) bool {
	from := drainNoticeS
	if receiving {
		from = drainPartialRequestS
	}
	return d.active && now-d.startedAt >= from && now-usedAt > drainIdleGraceS
}

// CloseAfterResponse reports whether a connection is to be closed once all its requests are answered.
func (d *Drain) CloseAfterResponse(now float64) bool {
	return d.active && now-d.startedAt >= drainCloseAfterResponseS
}

// CloseBlocked reports whether a connection with an open request, whose client sent its last request at
// lastRequestAt, would carry a young request at the end: answers go out in order, so that even a rejection
// waits behind the open request.
func (d *Drain) CloseBlocked(now, lastRequestAt float64) bool {
	return d.active && now-d.startedAt >= drainCloseBlockedS &&
		lastRequestAt-d.startedAt > drainEndS-drainRecentS-maxStallS
}

// Overdue reports whether, after the time that operators allow, a connection breaks their rule: it idles,
// unless it was opened or used just now, or its last request is too young.
func (d *Drain) Overdue(now, acceptedAt, usedAt, lastRequestAt float64, idle bool) bool {
	switch {
	case !d.active || now-d.startedAt < drainEndS:
		return false
	case idle:
		return now-max(acceptedAt, usedAt) > drainIdleGraceS+2*drainCheckIntervalS
	}
	return now-lastRequestAt < drainRecentS
}

// RejectRequest reports whether a request that arrives now is to be rejected, and in how many seconds its
// client may retry elsewhere.
func (d *Drain) RejectRequest(now float64) (retryAfterS float64, reject bool) {
	if d.active && now-d.startedAt >= drainRejectS {
		return drainRetryAfterS, true
	}
	return 0, false
}
