package planner

import (
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// cellActions implements policy.Actions for the module of one cell. It sends the module's decisions to the forwarder of the request. A
// module is called only while this planner leads its cell, so every action is sent under a valid lease; see Core.advanceTo.
type cellActions struct {
	core   *Core
	cellID int
	epoch  uint64
}

var _ policy.Actions = (*cellActions)(nil)

// findRequest returns the open request with a module id, or nil if the request has ended.
func (a *cellActions) findRequest(id string) *openRequest {
	forwarder, handle, ok := parseModuleID(id)
	if !ok || forwarder >= len(a.core.requests) {
		return nil
	}
	return a.core.requests[forwarder][handle]
}

func (a *cellActions) newMessage(kind transport.Kind, request *openRequest) transport.Message {
	return transport.Message{Kind: kind, Cell: uint16(a.cellID), Epoch: a.epoch, Handle: request.handle}
}

// Send implements policy.Actions. The message carries the account's debt, so that the forwarder can report it to the next leader.
func (a *cellActions) Send(id, backend string, timeoutS float64) {
	request := a.findRequest(id)
	if request == nil {
		return
	}
	a.core.Stats.Sends++
	units := 0.0 // a retry is not counted again
	if len(request.attempts) == 0 {
		units = request.units
	}
	request.attempts = append(request.attempts, attempt{backend: backend})
	request.inFlight++
	msg := a.newMessage(transport.KindSend, request)
	msg.Name, msg.DurationS = backend, timeoutS
	msg.Round, msg.Units = a.core.cells[a.cellID].windows.admit(a.core.now, request.account, units)
	a.core.out.SendToForwarder(request.forwarder, msg)
}

// Reject implements policy.Actions.
func (a *cellActions) Reject(id string, retryAfterS float64) {
	if request := a.findRequest(id); request != nil {
		a.core.Stats.Rejected++
		msg := a.newMessage(transport.KindReject, request)
		msg.DurationS = retryAfterS
		a.complete(request, msg)
	}
}

// Fail implements policy.Actions.
func (a *cellActions) Fail(id string) {
	if request := a.findRequest(id); request != nil {
		a.core.Stats.Failed++
		a.complete(request, a.newMessage(transport.KindFail, request))
	}
}

// complete sends the final decision on a request to its forwarder.
func (a *cellActions) complete(request *openRequest, msg transport.Message) {
	request.completed = true
	a.core.out.SendToForwarder(request.forwarder, msg)
	a.core.releaseIfDone(request)
}

// Cancel implements policy.Actions.
func (a *cellActions) Cancel(id string, attempt int) {
	if request := a.findRequest(id); request != nil {
		msg := a.newMessage(transport.KindCancel, request)
		msg.Number = uint32(attempt)
		a.core.out.SendToForwarder(request.forwarder, msg)
	}
}

// SetTimer implements policy.Actions.
func (a *cellActions) SetTimer(token uint64, delayS float64) {
	cell := &a.core.cells[a.cellID]
	cell.timers = append(cell.timers, moduleTimer{a.core.now + max(delayS, 0), token})
}

// Probe implements policy.Actions. It sends the probe to the linked forwarder with the lowest number.
func (a *cellActions) Probe(backend string) {
	for forwarder, linked := range a.core.linked {
		if linked {
			a.core.out.SendToForwarder(forwarder, transport.Message{Kind: transport.KindProbe, Cell: uint16(a.cellID), Epoch: a.epoch, Name: backend})
			return
		}
	}
}

// SendPeerMessage implements policy.Actions and discards the message. A cell is the only gateway of its accounts, and the planner does
// not need the module's replies to Core.applyCounts.
func (a *cellActions) SendPeerMessage(int, []byte) {}

// Log implements policy.Actions.
func (a *cellActions) Log(text string) { a.core.out.Log(text, "cell", a.cellID) }
