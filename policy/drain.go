package policy

// Drain is the schedule by which an ingress closes its client connections after an operator has requested a
// drain. The load balancer in front detects the drain at once, by a failed health check, but clients may
// still open connections and send requests: each event is decided when it happens.
//
// Operators allow 4 s for a drain. At its end no connection may be idle, or have an open request that is
// younger than 2 s. If a connection closes while a request is on its way, the client has to send the request
// again. Therefore as few connections as possible are closed, and those in use are closed last. A client
// whose connection closes may come again at once. Therefore connections are accepted no longer when those in
// use are closed, and no end waits for a moment in which a client pauses. In seconds from Begin:
//
//	0    to 0.5  all requests are served, because new connections still arrive
//	0.5  to 3.1  idle connections are closed
//	1.9  on      requests are rejected
//	3.1  to 3.4  no connection is closed, so that few clients come again while the accept queue is emptied
//	3.3  on      no connection is accepted
//	3.4  on      connections that have sent nothing are closed with a rejection; the others are closed as soon
//	             as all of their requests are answered
//	3.6  on      a request is ended if younger ones wait behind it on its connection
//	3.7  on      each connection is closed on which no request is open, whatever is on its way
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
	drainQuietS          = 3.1 // from then until drainCloseUnusedS no connection is closed
	drainStopAcceptingS  = 3.3 // from then on no connection is accepted
	drainCloseUnusedS    = 3.4 // until then connections that have sent nothing stay open
	drainPartialRequestS = 3.5 // until then connections with a partly received request stay open
	// From then on no request that could be less than drainRecentS old at the end may wait behind another one.
	drainCloseBlockedS       = 3.6
	drainCloseAfterResponseS = 3.4 // from then on connections in use are closed
	// From then on all connections without an open request are closed. A process may be late by maxStallS, and
	// by drainCheckIntervalS until it looks.
	drainCloseAllS         = 3.7
	drainCloseUndeliveredS = 3.95 // until then a closed connection waits for its client
	drainEndS              = 4.0  // the time that operators allow for a drain
	drainRecentS           = 2.0  // age in seconds below which no request may be open at the end
	drainIdleGraceS        = 0.15 // seconds that a connection stays idle, so that its client reads the answer
	drainReturnGraceS      = 0.1  // seconds for which a new connection stays open, see closeAfterResponse
	drainRetryAfterS       = 0.2  // seconds, retry hint for the client of a rejected request
	drainCheckIntervalS    = 0.1  // seconds between two checks for idle connections
)

// DrainedConn is what a drain has to know of a client's connection.
type DrainedConn struct {
	AcceptedAt      float64
	UsedAt          float64 // when a request was accepted or an answer became final; initially AcceptedAt
	AnswerOpen      bool    // the client is owed an answer
	InputPending    bool    // bytes or commands have arrived that are not processed
	Receiving       bool    // a part of a command has arrived
	CommandReceived bool
	RequestReceived bool // one of the commands was a request
	Lagging         bool // see ClientLags
}

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

// StartedAt returns when the drain began, or 0 if it is not active.
func (d *Drain) StartedAt() float64 { return d.startedAt }

// Accepts reports whether new connections are accepted.
func (d *Drain) Accepts(now float64) bool { return d.Elapsed(now) < drainStopAcceptingS }

// UntilBlockedS returns the seconds until CloseBlocked may close a connection, at least 0.
func (d *Drain) UntilBlockedS(now float64) float64 { return max(0, drainCloseBlockedS-d.Elapsed(now)) }

// Closes reports whether to close a connection now.
func (d *Drain) Closes(now float64, c DrainedConn) bool {
	switch {
	case !d.active || c.AnswerOpen:
		return false
	case d.ClosesAll(now):
		return true
	case c.InputPending:
		return false
	case !c.CommandReceived && !c.Receiving:
		return d.closeUnused(now, c.AcceptedAt)
	case d.closeIdle(now, c.UsedAt, c.Receiving) && !c.Lagging:
		return true
	}
	return c.RequestReceived && d.closeAfterResponse(now, c.AcceptedAt)
}

// ClosesAll reports whether each connection without an open request is to be closed, whatever is on its way.
func (d *Drain) ClosesAll(now float64) bool { return d.active && now-d.startedAt >= drainCloseAllS }

// ClosesPartial reports whether to close a connection, last used at usedAt, on which a part of a command has
// arrived and nothing else is open.
func (d *Drain) ClosesPartial(now, usedAt, acceptedAt float64) bool {
	return d.closeIdle(now, usedAt, true) || d.closeAfterResponse(now, acceptedAt) || d.ClosesAll(now)
}

// closeIdle reports whether to close a connection that has no complete open request and was last used at
// usedAt. receiving means that a part of a request has arrived on it. Such a connection stays open longer,
// until drainPartialRequestS: its client writes slowly, and may still be answered in time.
func (d *Drain) closeIdle(now, usedAt float64, receiving bool) bool {
	elapsed := now - d.startedAt
	if !d.active || now-usedAt <= drainIdleGraceS || elapsed >= drainQuietS && elapsed < drainCloseUnusedS {
		return false
	}
	if receiving {
		return elapsed >= drainPartialRequestS
	}
	return elapsed >= drainNoticeS
}

// closeUnused reports whether to close a connection, accepted at acceptedAt, on which no part of a request
// has arrived yet. Its client may be about to send its first request, and must read a rejection before the
// end: a connection that ends before its first answer may have lost that request.
func (d *Drain) closeUnused(now, acceptedAt float64) bool {
	return d.active && now-d.startedAt >= drainCloseUnusedS && now-acceptedAt > drainIdleGraceS
}

// closeAfterResponse reports whether to close a connection, accepted at acceptedAt, once all of its requests
// are answered. Requests that cross its end are sent again elsewhere. A connection stays open for
// drainReturnGraceS: on it a client may send again what has crossed an earlier end.
func (d *Drain) closeAfterResponse(now, acceptedAt float64) bool {
	return d.active && now-d.startedAt >= drainCloseAfterResponseS && now-acceptedAt >= drainReturnGraceS
}

// CloseBlocked reports whether to end the open requests of a connection because its last request, sent at
// lastRequestAt, would otherwise still be open at the end of the drain, and could then be less than
// drainRecentS old. Answers are written in order, so that even a rejection waits behind an open request.
func (d *Drain) CloseBlocked(now, lastRequestAt float64) bool {
	return d.active && now-d.startedAt >= drainCloseBlockedS &&
		lastRequestAt-d.startedAt > drainEndS-drainRecentS-maxStallS
}

// Overdue reports whether an open connection breaks the operators' rule after the time that they allow: it is
// idle, or its last request, sent at lastRequestAt, is less than drainRecentS old. A new one is no exception.
func (d *Drain) Overdue(now, lastRequestAt float64, idle bool) bool {
	return d.active && now-d.startedAt >= drainEndS && (idle || now-lastRequestAt < drainRecentS)
}

// RejectRequest reports whether to reject a request that arrives now, and after how many seconds its client
// may retry at another ingress.
func (d *Drain) RejectRequest(now float64) (retryAfterS float64, reject bool) {
	if d.active && now-d.startedAt >= drainRejectS {
		return drainRetryAfterS, true
	}
	return 0, false
}
