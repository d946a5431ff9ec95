package ingress

import (
	"time"

	"eiderspread/internal/dataplane/sockets"
)

// What a client has not received is still owed to it, also when the kernel has taken it: a command that comes after the close of a
// connection is answered by a reset, which destroys the rest.

// deliveryPollInterval is the interval at which a half-closed connection looks for what its client has received.
const deliveryPollInterval = 100 * time.Millisecond

// delivered reports whether the client's kernel has acknowledged everything that was written, as far as that is known.
func (c *clientConn) delivered() bool { return sockets.UnackedBytes(c.rawConn) <= 0 }

// closeDelivered closes a half-closed connection after a delay, or later if its client has not received everything by then, see
// deliveryWait.
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
// shutdown or hand-over until its end, in a drain as long as operators allow, and otherwise for clientStallTimeout.
func (in *Ingress) deliveryWaitS(stalled time.Duration) float64 {
	switch {
	case in.shutdown.closingClients: // its end closes all connections
		return deliveryPollInterval.Seconds()
	case in.drain.Active():
		return in.drain.DeliveryRemainingS(in.now)
	}
	return (clientStallTimeout - stalled).Seconds()
}
