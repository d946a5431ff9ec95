package main

import (
	"fmt"

	"eiderspread/internal/base/simprotocol"
	"eiderspread/internal/dataplane/settings"
	"eiderspread/policy"
)

// delivery passes an event that was read to its gateway.
type delivery func(*policy.Gateway)

// eventReaders holds, by message name, the functions that read a gateway's events from the current line. A nil delivery means that the
// gateway does not receive the event.
var eventReaders = map[string]func(h *host, gateway int) (delivery, error){
	simprotocol.MessageGatewayStart:  (*host).startGateway,
	simprotocol.MessageGatewayStop:   (*host).stopGateway,
	simprotocol.MessageDiscovery:     (*host).readDiscovery,
	simprotocol.MessageRequest:       (*host).readRequest,
	simprotocol.MessageResponseStart: (*host).readResponseStart,
	simprotocol.MessageOutcome:       (*host).readOutcome,
	simprotocol.MessageDisconnect:    (*host).readDisconnect,
	simprotocol.MessageTimer:         (*host).readTimer,
	simprotocol.MessageProbeResult:   (*host).readProbeResult,
	simprotocol.MessagePeer:          (*host).readPeerMessage,
	simprotocol.MessageCounterReply:  func(*host, int) (delivery, error) { return nil, nil },
}

func (h *host) startGateway(number int) (delivery, error) {
	seed, err := h.line.Uint(simprotocol.FieldSeed)
	if err != nil {
		return nil, err
	}
	text, err := h.line.Text(simprotocol.FieldSettings)
	if err != nil {
		return nil, err
	}
	parsed, err := settings.Parse([]byte(text))
	if err != nil {
		return nil, h.settingsError(err)
	}
	gateway, err := policy.New(parsed.Settings, seed, h.now, actions{h.out, number})
	if err != nil {
		return nil, h.settingsError(err)
	}
	h.gateways[number] = gateway
	return nil, nil
}

func (h *host) settingsError(err error) error {
	return fmt.Errorf("%s: field %s: %w", h.line.Name, simprotocol.FieldSettings, err)
}

func (h *host) stopGateway(number int) (delivery, error) {
	delete(h.gateways, number)
	return nil, nil
}

func (h *host) readDiscovery(int) (delivery, error) {
	kind, err := h.line.Text(simprotocol.FieldListKind)
	if err != nil {
		return nil, err
	}
	switch kind {
	case simprotocol.ListError:
		return nil, nil
	case simprotocol.ListPartial, simprotocol.ListComplete, simprotocol.ListCached:
	default:
		return nil, fmt.Errorf("%s: field %s cannot be read: %q", h.line.Name, simprotocol.FieldListKind, kind)
	}
	id, err := h.line.Int(simprotocol.FieldListID)
	if err != nil {
		return nil, err
	}
	list, ok := h.lists[id]
	if !ok {
		return nil, fmt.Errorf("%s: field %s refers to no known list: \"%d\"", h.line.Name, simprotocol.FieldListID, id)
	}
	return func(g *policy.Gateway) { g.UpdateBackends(h.now, list, kind != simprotocol.ListPartial) }, nil
}

func (h *host) readRequest(int) (delivery, error) {
	f := fieldReader{line: &h.line}
	request := policy.Request{
		ID:           f.text(simprotocol.FieldID),
		Class:        f.text(simprotocol.FieldClass),
		Plan:         f.text(simprotocol.FieldPlan),
		Account:      f.text(simprotocol.FieldAccount),
		DeadlineAt:   f.number(simprotocol.FieldDeadline),
		FirstGateway: f.optionalInteger(simprotocol.FieldFirstGateway),
		GatewayCount: int(f.optionalNumber(simprotocol.FieldGatewayCount)),
		Units:        f.optionalNumber(simprotocol.FieldUnits),
		Retry:        f.flag(simprotocol.FieldRetry),
	}
	return func(g *policy.Gateway) { g.HandleRequest(h.now, request) }, f.err
}

func (h *host) readResponseStart(int) (delivery, error) {
	f := fieldReader{line: &h.line}
	id, attempt := f.text(simprotocol.FieldID), f.integer(simprotocol.FieldAttempt)
	return func(g *policy.Gateway) { g.HandleResponseStart(h.now, id, attempt) }, f.err
}

func (h *host) readOutcome(int) (delivery, error) {
	f := fieldReader{line: &h.line}
	outcome := policy.Outcome{
		ID:        f.text(simprotocol.FieldID),
		Backend:   f.text(simprotocol.FieldBackend),
		Attempt:   f.integer(simprotocol.FieldAttempt),
		Status:    f.status(),
		Completed: f.flag(simprotocol.FieldCompleted),
		LatencyS:  f.optionalNumber(simprotocol.FieldLatency),
		Units:     f.optionalNumber(simprotocol.FieldActualUnits),
		Load:      f.load(),
	}
	return func(g *policy.Gateway) { g.HandleOutcome(h.now, outcome) }, f.err
}

func (h *host) readDisconnect(int) (delivery, error) {
	id, err := h.line.Text(simprotocol.FieldID)
	return func(g *policy.Gateway) { g.HandleDisconnect(h.now, id) }, err
}

func (h *host) readTimer(int) (delivery, error) {
	token, err := h.line.Uint(simprotocol.FieldTimer)
	return func(g *policy.Gateway) { g.HandleTimer(h.now, token) }, err
}

func (h *host) readProbeResult(int) (delivery, error) {
	f := fieldReader{line: &h.line}
	result := policy.ProbeResult{
		Backend:  f.text(simprotocol.FieldBackend),
		Status:   f.status(),
		LatencyS: f.optionalNumber(simprotocol.FieldLatency),
		Load:     f.load(),
	}
	return func(g *policy.Gateway) { g.HandleProbeResult(h.now, result) }, f.err
}

func (h *host) readPeerMessage(int) (delivery, error) {
	from, err := h.line.Int(simprotocol.FieldSender)
	if err != nil {
		return nil, err
	}
	data, err := h.line.Hex(simprotocol.FieldData)
	return func(g *policy.Gateway) { g.HandlePeerMessage(h.now, from, data) }, err
}
