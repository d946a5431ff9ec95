package ingress

import (
	"time"

	"eiderspread/internal/dataplane/sockets"
	"eiderspread/policy"
)

// What a client has not received is still owed to it, also when the kernel has taken it: a command that comes after the close of a
// connection is answered by a reset, which destroys the rest.

// deliveryPollInterval is the interval at which a half-closed connection looks for what its client has received.
const deliveryPollInterval = 100 * time.Millisecond

// delivered reports whether the client's kernel has acknowledged everything that was written, as far as that is known.
func (c *clientConn) delivered() bool { return sockets.UnackedBytes(c.rawConn) <= 0 }

// closeDelivered closes a half-closed connection after a delay, or later if its client has not received everything by then, see
// deliveryWaitS.
func (in *Ingress) closeDelivered(c *clientConn, reason closeReason, delay time.Duration) {
	stall := newStallDetector(c.rawConn, time.Now())
	var closeOrWait func()
	closeOrWait = func() {
		if c.state == connClosed {
			return
		}
		if !c.delivered() {
			if waitS := in.deliveryWaitS(stall.stalledFor(time.Now(), 0)); waitS > 0 {
				in.after(min(waitS, deliveryPollInterval.Seconds()), closeOrWait)
				return
			}
		}
		in.closeClient(c, reason)
	}
	in.after(delay.Seconds(), closeOrWait)
}

// deliveryWaitS returns for how many seconds more a half-closed connection may wait for its client, which has received nothing for stalled: in a
// drain as long as operators allow, in a shutdown or hand-over until its end, and otherwise for clientStallTimeout.
func (in *Ingress) deliveryWaitS(stalled time.Duration) float64 {
	switch {
	case in.drain.Active():
		return in.drain.DeliveryRemainingS(in.now)
	case in.shutdown.closingClients: // its end closes all connections
		return deliveryPollInterval.Seconds()
	}
	return (clientStallTimeout - stalled).Seconds()
}

// deliveryLag measures for how long a client has not received bytes of final answers. Loop only.
type deliveryLag struct {
	mark     uint64  // bytes that were owed or delivered by markedAt
	markedAt float64 // 0: not measured yet
}

// update returns for how many seconds at least the oldest byte of a final answer has waited for its client at now. unwritten is the number
// of bytes that are not written yet, at most.
func (l *deliveryLag) update(now float64, progress sockets.SendProgress, unwritten int) float64 {
	owed := progress.Written + uint64(unwritten)
	if l.markedAt == 0 || progress.Acked >= min(l.mark, owed) {
		l.mark, l.markedAt = owed, now
	}
	return now - l.markedAt
}

// unwrittenBytes returns the number of bytes of final answers that the socket has not accepted, at most.
func (c *clientConn) unwrittenBytes() int {
	switch n := c.waitingAnswerBytes(); {
	case c.output != nil:
		return n + int(c.output.unwritten.Load())
	case c.writing: // how much of a large value is left is known to the goroutine that streams it
		return n + maxLargeValue
	default:
		return n
	}
}

// measureLag looks which clients lag behind their answers. One that has lagged would lag again if its requests were served again. It is
// called at intervals from the start of a drain or shutdown on.
func (in *Ingress) measureLag() {
	leftS := in.deliveryLeftS()
	for c := range in.clients.conns {
		progress, known := sockets.ReadSendProgress(c.rawConn)
		c.lagging = known && policy.ClientLags(c.lag.update(in.now, progress, c.unwrittenBytes()), leftS)
		c.hasLagged = c.hasLagged || c.lagging
	}
}

// deliveryLeftS returns how many seconds are left for clients to receive their answers in a drain or shutdown.
func (in *Ingress) deliveryLeftS() float64 {
	if !in.shutdown.requested {
		return in.drain.DeliveryRemainingS(in.now)
	}
	left := in.shutdown.requestedAt + in.killDelayS() - expireBeforeKillS + finalWriteS - in.now
	if in.drain.Active() {
		left = min(left, in.drain.DeliveryRemainingS(in.now))
	}
	return left
}

// clearLag ends the consequences of a client's lag, as its connection is not to be closed any more.
func (in *Ingress) clearLag() {
	for c := range in.clients.conns {
		c.lagging, c.hasLagged, c.lag = false, false, deliveryLag{}
	}
}
