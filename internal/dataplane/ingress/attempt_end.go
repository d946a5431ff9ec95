package ingress

// attemptEnd says how an attempt ended that got no whole reply.
type attemptEnd uint8

const (
	endUnwritten     attemptEnd = iota // it timed out before the last byte of its command was written
	endWithoutReply                    // it timed out, and nothing of a reply had arrived
	endInReply                         // it timed out, and a part of the reply had arrived
	endCancelled                       // the decision module cancelled it
	endReset                           // the backend's connection ended, and nothing of a reply had arrived
	endResetInReply                    // the backend's connection ended in the reply
	attemptEndsCount int        = iota
)

var attemptEndNames = [attemptEndsCount]string{"unwritten", "no_reply", "in_reply", "cancelled", "reset", "reset_in_reply"}

func (e attemptEnd) String() string { return attemptEndNames[e] }

// timeoutEnd returns how a written attempt has ended that timed out.
func (a *attempt) timeoutEnd() attemptEnd {
	if a.conn.replyBytes.Load() > 0 {
		return endInReply
	}
	return endWithoutReply
}

// resetEnd returns how an attempt has ended whose connection ended.
func (a *attempt) resetEnd() attemptEnd {
	if a.conn.replyBytes.Load() > 0 {
		return endResetInReply
	}
	return endReset
}

// recordAttemptEnd counts and logs the end of an attempt that got no whole reply. It is called before the attempt releases its connection.
func (in *Ingress) recordAttemptEnd(a *attempt, end attemptEnd) {
	if a.request == nil { // a probe, of which the decision module keeps account
		return
	}
	in.counters.ended[end]++
	if !in.endLimiter.allow(in.now) {
		return
	}
	backendID, replyBytes := "", int64(0)
	if a.backend != nil {
		backendID = a.backend.ID
	}
	if a.conn != nil {
		replyBytes = a.conn.replyBytes.Load()
	}
	in.log.Warn("attempt ended without a whole reply", "why", end, "id", a.request.ID, "attempt", a.number, "class", a.request.Class,
		"backend", backendID, "after", roundToMillis(in.now-a.sentAt), "reply_bytes", replyBytes, "left", roundToMillis(a.request.DeadlineAt-in.now))
}
