package policy

// Drain is the schedule by which an ingress closes its client connections after an operator has requested a
// drain. The load balancer in front detects the drain at once, by a failed health check, but clients may
// still open connections and send requests: each event is decided when it happens.
//
// Operators allow 4 s for a drain. At its end no connection may be idle, or have an open request that is
// younger than 2 s. If a connection closes while a request is on its way, the client has to send the request
// again. Therefore as few connections as possible are closed, and those in use are closed last. In seconds
// from Begin:
//
//	0    to 0.5  all requests are served, because new connections still arrive
//	0.5  on      idle connections are closed
//	1.9  on      requests are rejected
//	3.4  on      connections that have sent nothing are closed with a rejection; a connection that was opened
//	             before is closed as soon as all of its requests are answered
//	3.6  on      a request is ended if younger ones wait behind it on its connection
//	3.9  on      connections opened later are closed in the same way, unless they are new
//
// The zero value is an inactive drain. Times are in Unix seconds.
type Drain struct {
	active    bool
	startedAt float64
}

// Seconds from Begin, unless the comment says otherwise.
const (
	drainNoticeS = 0.5 // until then new connections are expected
	// From then on requests are rejected, because they could be less than drainRecentS old at the end.
	drainRejectS         = 1.9
	drainCloseUnusedS    = 3.4 // until then connections that have sent nothing stay open
	drainCloseNewestS    = 3.7 // from then on those that were opened a moment ago are closed too
	drainPartialRequestS = 3.5 // until then connections with a partly received request stay open
	// From then on no request that could be less than drainRecentS old at the end may wait behind another one.
	drainCloseBlockedS       = 3.6
	drainCloseAfterResponseS = 3.4  // from then on connections in use are closed that were opened before
	drainCloseReturnedS      = 3.9  // from then on those are closed that were opened later
	drainCloseUndeliveredS   = 3.95 // until then a closed connection waits for its client
	drainEndS                = 4.0  // the time that operators allow for a drain
	drainRecentS             = 2.0  // age in seconds below which no request may be open at the end
	drainIdleGraceS          = 0.15 // seconds that a connection stays idle, so that its client reads the answer
	drainReturnGraceS        = 0.1  // seconds for which a new connection stays open, see CloseAfterResponse
	drainRetryAfterS         = 0.2  // seconds, retry hint for the client of a rejected request
	drainCheckIntervalS      = 0.1  // seconds between two checks for idle connections
)

// A client lags if its answers are undelivered for clientLagS seconds, which is longer than a round trip, or
// for clientLagFraction of the time that is left.
const (
	clientLagS        = 0.25
	clientLagFraction = 0.25
)

// ClientLags reports whether a client lags behind its answers: the oldest that it has not received was final
// undeliveredS seconds ago, and its connection is to be closed in leftS seconds. From then on it gets no new
// answers but rejections: it might not receive them in time, and what has run is owed to it.
func ClientLags(undeliveredS, leftS float64) bool {
	return undeliveredS > 0 && undeliveredS >= min(clientLagS, leftS*clientLagFraction)
}

// Begin starts the drain at now. It has no effect on an active drain.
func (d *Drain) Begin(now float64) {
	if !d.active {
		*d = Drain{active: true, startedAt: now}
	}
}

// End cancels the drain: the ingress serves clients again.
func (d *Drain) End() { *d = Drain{} }

// Active reports whether the ingress is draining.
func (d *Drain) Active() bool { return d.active }

// Elapsed returns the seconds since the drain began; 0 if it is not active.
func (d *Drain) Elapsed(now float64) float64 {
	if !d.active {
		return 0
	}
	return now - d.startedAt
}

// NextIdleCheckS returns the seconds until the next check for idle connections.
func (d *Drain) NextIdleCheckS(now float64) float64 {
	return max(drainCheckIntervalS, drainNoticeS-d.Elapsed(now))
}

// RemainingS returns the seconds left of the time that operators allow, at least 0.
func (d *Drain) RemainingS(now float64) float64 { return max(0, drainEndS-d.Elapsed(now)) }

// DeliveryRemainingS returns the seconds left, at least 0, for which a connection whose sending side is
// closed waits for its client to receive everything.
func (d *Drain) DeliveryRemainingS(now float64) float64 {
	return max(0, drainCloseUndeliveredS-d.Elapsed(now))
}

// CloseIdle reports whether to close a connection that has no complete open request and was last used at
// usedAt. receiving means that a part of a request has arrived on it. Such a connection stays open longer,
// until drainPartialRequestS: its client writes slowly, and may still be answered in time.
func (d *Drain) CloseIdle(now, usedAt float64, receiving bool) bool {
	from := drainNoticeS
	if receiving {
		from = drainPartialRequestS
	}
	return d.active && now-d.startedAt >= from && now-usedAt > drainIdleGraceS
}

// CloseUnused reports whether to close a connection, accepted at acceptedAt, on which no part of a request
// has arrived yet. Its client may be about to send its first request, and must read a rejection before the
// end: a connection that ends before its first answer may have lost that request. From
// drainCloseNewestS on even the newest connection is closed, because it would otherwise stay beyond the end
// of the drain.
func (d *Drain) CloseUnused(now, acceptedAt float64) bool {
	elapsed := now - d.startedAt
	if !d.active || elapsed < drainCloseUnusedS {
		return false
	}
	return elapsed >= drainCloseNewestS || now-acceptedAt > drainIdleGraceS
}

// CloseAfterResponse reports whether to close a connection, accepted at acceptedAt, once all of its requests
// are answered. Requests that cross its end are sent again on a new connection, and must not cross a second
// end. Therefore every connection stays open for drainReturnGraceS, and one that was opened after the first
// ones in use were closed almost until the end of the drain.
func (d *Drain) CloseAfterResponse(now, acceptedAt float64) bool {
	elapsed := now - d.startedAt
	switch {
	case !d.active || elapsed < drainCloseAfterResponseS || now-acceptedAt < drainReturnGraceS:
		return false
	case acceptedAt-d.startedAt < drainCloseAfterResponseS:
		return true
	}
	return elapsed >= drainCloseReturnedS
}

// CloseBlocked reports whether to end the open requests of a connection because its last request, sent at
// lastRequestAt, would otherwise still be open at the end of the drain, and could then be less than
// drainRecentS old. Answers are written in order, so that even a rejection waits behind an open request.
func (d *Drain) CloseBlocked(now, lastRequestAt float64) bool {
	return d.active && now-d.startedAt >= drainCloseBlockedS &&
		lastRequestAt-d.startedAt > drainEndS-drainRecentS-maxStallS
}

// Overdue reports whether a connection breaks the operators' rule after the time that they allow: it is
// idle, and was not opened or used a moment ago, or its last request is less than drainRecentS old.
func (d *Drain) Overdue(now, acceptedAt, usedAt, lastRequestAt float64, idle bool) bool {
	switch {
	case !d.active || now-d.startedAt < drainEndS:
		return false
	case idle:
		return now-max(acceptedAt, usedAt) > drainIdleGraceS+2*drainCheckIntervalS
	}
	return now-lastRequestAt < drainRecentS
}

// RejectRequest reports whether to reject a request that arrives now, and after how many seconds its client
// may retry at another ingress.
func (d *Drain) RejectRequest(now float64) (retryAfterS float64, reject bool) {
	if d.active && now-d.startedAt >= drainRejectS {
		return drainRetryAfterS, true
	}
	return 0, false
}
