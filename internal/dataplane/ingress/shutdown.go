package ingress

import "time"

const (
	// acceptAfterSIGTERM is how long after SIGTERM new connections are accepted: clients open them for up to 0.4 s after a planned restart is
	// announced, and losses count from 0.7 s on.
	acceptAfterSIGTERM = 500 * time.Millisecond
	// closeIdleInterval is the interval at which idle connections are closed during a shutdown.
	closeIdleInterval = 100 * time.Millisecond
	// SIGKILL may follow SIGTERM after min(longest deadline of the classes, maxKillDeadlineS) + killMarginS, all in seconds.
	maxKillDeadlineS = 3.0
	killMarginS      = 0.7
	// expireBeforeKillS is how many seconds before the earliest SIGKILL the shutdown expires: requests that are still open fail.
	expireBeforeKillS = 0.2
)

// finalWriteS is how many seconds after its expiry a shutdown closes all connections: the last answers must be written and read until then.
// Tests make it longer.
var finalWriteS = 0.15

// shutdownState is the progress of a shutdown, which sets requested, then closingClients and, if it takes too long, expired. A hot restart
// sets closingClients without requested, and clears it if the successor dies and no shutdown was requested.
type shutdownState struct {
	requested      bool // SIGTERM was received
	requestedAt    float64
	closingClients bool // no new connections are accepted; an open one closes, or is transferred, once everything on it is answered
	expired        bool // all open requests have failed; new requests are rejected
}

// requestShutdown starts a shutdown. New connections are accepted for another acceptFor.
func (in *Ingress) requestShutdown() {
	in.shutdown.requested, in.shutdown.requestedAt = true, in.now
	in.log.Info("shutdown started")
	in.measureLag()
	in.every(closeIdleInterval, func() {
		if in.successor.stage == handoverNone { // else connections are transferred to the successor
			in.measureLag()
		}
	})
	in.after(in.acceptFor.Seconds(), in.stopAccepting)
}

// shutdownComplete reports whether the loop may end.
func (in *Ingress) shutdownComplete() bool {
	return in.shutdown.closingClients && in.clients.open() == 0 && in.accept == nil && !in.mustAwaitPredecessor() && !in.mustProceed()
}

// killDelayS returns how many seconds after SIGTERM the process may be killed at the earliest.
func (in *Ingress) killDelayS() float64 {
	longest := 0.0
	for _, c := range in.classes {
		longest = max(longest, c.DeadlineS)
	}
	return min(longest, maxKillDeadlineS) + killMarginS
}

// stopAccepting stops accepting new connections, except those in the kernel's accept queue, and starts to close idle connections once that
// queue is empty: clients whose connections close come again at once.
func (in *Ingress) stopAccepting() {
	in.shutdown.closingClients = true
	in.acceptingClients.Store(false)
	if in.accept != nil && in.successor.stage == handoverNone {
		in.endAccepting()
	} else {
		in.listener.Close() // the successor has its own descriptor
	}
	in.every(closeIdleInterval, in.closeIdleClients)
	in.closeIdleClients()
	if in.successor.stage != handoverActive { // else the hand-over's timer calls expireShutdown
		in.after(max(in.killDelayS()-expireBeforeKillS-acceptAfterSIGTERM.Seconds(), 0), in.expireShutdown)
	}
}

// closeIdleClients closes idle connections. In a hot restart they are transferred to the successor instead.
func (in *Ingress) closeIdleClients() {
	if in.closesClients() {
		in.clients.closeIdle(in)
	}
}

// closesClients reports whether connections are closed for a shutdown as soon as all on them is answered: once no others are accepted, or to
// make room for those that wait in the accept queue.
func (in *Ingress) closesClients() bool {
	return in.shutdown.closingClients && in.successor.stage == handoverNone && (in.accept == nil || in.clients.full())
}

// expireShutdown ends a shutdown or hand-over that takes too long. All open requests fail, and the remaining connections close finalWriteS
// later, so that clients can still read these errors and the answers written before.
func (in *Ingress) expireShutdown() {
	in.shutdown.expired = true
	in.abortAccepting()
	in.logOpenConns()
	in.failOpenRequests()
	for c := range in.clients.conns {
		if c.fullyAnswered() { // else the input that has arrived is rejected first
			in.closeGracefully(c, closeShutdownEnd)
		}
	}
	in.after(finalWriteS, func() {
		for c := range in.clients.conns {
			in.closeClient(c, closeShutdownEnd)
		}
	})
}
