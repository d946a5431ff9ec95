package main

import "eiderspread/internal/base/simprotocol"

// actions implements policy.Actions for one gateway: it writes each action as a line for the simulator.
type actions struct {
	out     *simprotocol.Writer
	gateway int
}

func (a actions) begin(message string) *simprotocol.Writer { return a.out.Begin(message, a.gateway) }

func (a actions) Send(id, backend string, timeoutS float64) {
	line := a.begin(simprotocol.MessageSend).Raw(simprotocol.FieldID, id).Raw(simprotocol.FieldBackend, backend)
	if timeoutS != 0 {
		line.Num(simprotocol.FieldTimeout, timeoutS)
	}
	line.End()
}

func (a actions) Reject(id string, retryAfterS float64) {
	line := a.begin(simprotocol.MessageReject).Raw(simprotocol.FieldID, id)
	if retryAfterS > 0 {
		line.Num(simprotocol.FieldRetryAfter, retryAfterS)
	}
	line.End()
}

func (a actions) Fail(id string) {
	a.begin(simprotocol.MessageFail).Raw(simprotocol.FieldID, id).End()
}

func (a actions) Cancel(id string, attempt int) {
	a.begin(simprotocol.MessageCancel).Raw(simprotocol.FieldID, id).Int(simprotocol.FieldAttempt, int64(attempt)).End()
}

func (a actions) SetTimer(token uint64, delayS float64) {
	a.begin(simprotocol.MessageSetTimer).Int(simprotocol.FieldTimer, int64(token)).Num(simprotocol.FieldDelay, delayS).End()
}

func (a actions) Probe(backend string) {
	a.begin(simprotocol.MessageProbe).Raw(simprotocol.FieldBackend, backend).End()
}

func (a actions) SendPeerMessage(gateway int, data []byte) {
	a.begin(simprotocol.MessageSendPeer).Int(simprotocol.FieldRecipient, int64(gateway)).Hex(simprotocol.FieldData, data).End()
}

func (a actions) Log(text string) {
	a.begin(simprotocol.MessageLog).Str(simprotocol.FieldText, text).End()
}
