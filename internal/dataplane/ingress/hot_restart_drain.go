package ingress

import (
	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/dataplane/sockets"
)

// A drain is of the ingress, not of a process: a successor goes on with it.

// takesDrain reports whether the successor goes on with a drain.
func (s *successorState) takesDrain() bool { return s.features&hotrestart.TakesDrain != 0 }

// prepareListener has a listener that was closed for a drain listen again, unless the successor goes on with the drain: an older one takes clients
// whether or not its predecessor drained.
func (in *Ingress) prepareListener() {
	if in.successor.takesDrain() {
		return
	}
	if err := in.startListening(); err != nil {
		in.logFault("no connections are accepted for the new process", "error", err)
	}
}

// leaveDrainToSuccessor closes this process's copy of the listener, so that the kernel refuses connections once the successor closes its own, and
// ends late in the drain the requests that commands in unread input wait behind: their connections go to the successor, which rejects these.
func (in *Ingress) leaveDrainToSuccessor() {
	in.listener.Close()
	in.listenerState = listenerClosed
	link := in.successor.link
	in.after(in.successor.drain.UntilBlockedS(in.now), func() {
		if in.successor.link != link {
			return
		}
		for c := range in.clients.conns {
			if c.reader >= readerStopped && (c.input.Len() > 0 || !c.silent()) {
				in.answerOpenRequests(c)
			}
		}
	})
}

// continueDrain continues the predecessor's drain, if there is one. A listener on which the predecessor has not yet stopped accepting is emptied
// and closed once the schedule says so.
func (in *Ingress) continueDrain(p *predecessorState) {
	if p.drainedAt == 0 {
		return
	}
	in.resumeDrain(p.drainedAt + in.timeShiftS(p))
	raw, err := in.listener.SyscallConn()
	if err != nil || in.drain.Accepts(in.now) || !sockets.Listens(raw) {
		return // resumeAccepting does what is due
	}
	in.listenerState = listenerOpen
	if err := in.startAccepting(); err != nil {
		in.logFault("accept queue not emptied", "error", err)
	}
	in.endAccepting()
}
