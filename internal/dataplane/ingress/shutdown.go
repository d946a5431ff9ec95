package ingress

import (
	"sync/atomic"
	"time"
)

const (
	// acceptAfterSIGTERM is how long new connections are accepted: they come for up to 0.4 s after a planned restart was announced, and what
	// is lost from 0.7 s on counts.
	acceptAfterSIGTERM = 500 * time.Millisecond
	// closeIdleInterval is the time between two looks for connections that may close.
	closeIdleInterval = 100 * time.Millisecond
	// SIGKILL may follow SIGTERM after min(longest deadline of the classes, maxKillDeadlineS) + killMarginS, all in seconds.
	maxKillDeadlineS = 3.0
	killMarginS      = 0.7
	// expireBeforeKillS before that the shutdown is over: what is still unanswered fails.
	expireBeforeKillS = 0.2
)

// finalWriteS is how long those last answers may take to be written and read, in seconds, before all connections close. Tests make it longer.
var finalWriteS = 0.15

// shutdownState is how far the process is on its way to its end. A shutdown goes from requested over closingClients to expired; a hot restart
// sets closingClients alone, and takes it back if the successor dies.
type shutdownState struct {
	requested      bool // SIGTERM has come
	closingClients bool // no new connections are taken; each closes once all on it is answered, or is transferred
	expired        bool // what was unanswered has failed; requests are rejected

	// The listener closes once the kernel has no accepted connection left in it.
	drainingAcceptQueue atomic.Bool // set by the loop, for the accepting goroutine
	acceptQueuePending  bool        // the accepting goroutine has not seen that yet
}

// requestShutdown begins the shutdown.
func (in *Ingress) requestShutdown() {
	in.shutdown.requested = true
	in.log.Info("draining")
	in.after(in.acceptFor.Seconds(), in.stopAccepting)
}

// shutdownComplete reports whether the loop may end.
func (in *Ingress) shutdownComplete() bool {
	return in.shutdown.closingClients && in.clients.open() == 0 && !in.shutdown.acceptQueuePending && !in.predecessorAlive()
}

// killDelayS is how many seconds after SIGTERM the process may be killed.
func (in *Ingress) killDelayS() float64 {
	longest := 0.0
	for _, c := range in.classes {
		longest = max(longest, c.DeadlineS)
	}
	return min(longest, maxKillDeadlineS) + killMarginS
}

// stopAccepting ends the time in which new connections are taken, but for those that the kernel has accepted by now.
func (in *Ingress) stopAccepting() {
	listenerPaused := in.shutdown.closingClients || in.successor.stage != handoverNone // for a successor that accepts, or has tried to
	in.shutdown.closingClients = true
	in.acceptingClients.Store(false)
	if !listenerPaused {
		in.shutdown.drainingAcceptQueue.Store(true)
		in.shutdown.acceptQueuePending = true
		setAcceptDeadline(in.listener, time.Now().Add(acceptQueuePoll))
	} else {
		in.listener.Close() // the successor has a descriptor of its own
	}
	in.every(closeIdleInterval, func() {
		if in.successor.stage == handoverNone { // else idle connections are transferred
			in.clients.closeIdle(in)
		}
	})
	in.clients.closeIdle(in)
	if in.successor.stage != handoverActive { // else the hand-over's timer ends it
		in.after(max(in.killDelayS()-expireBeforeKillS-acceptAfterSIGTERM.Seconds(), 0), in.expireShutdown)
	}
}

// expireShutdown ends a shutdown that takes too long: what is unanswered fails while its client can read that, and what is written by then is
// read.
func (in *Ingress) expireShutdown() {
	in.shutdown.expired = true
	in.logOpenConns()
	in.failOpenRequests()
	for c := range in.clients.conns {
		if c.fullyAnswered() { // else what has come is rejected first
			in.closeGracefully(c, closeShutdownEnd)
		}
	}
	in.after(finalWriteS, func() {
		in.shutdown.acceptQueuePending = false
		for c := range in.clients.conns {
			in.closeClient(c, closeShutdownEnd)
		}
	})
}
