package transport

import (
	"math"
)

// Limits of a frame and its contents.
const (
	MaxFrameBytes = 64 << 10 // excluding the four bytes of the frame's length
	MaxNameBytes  = 128      // longest Message.Name; AppendMessage truncates longer names
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. Each comment begins with the direction and ends with the fields of Message that the kind uses. The values are on
// the wire.
const (
	// Both directions: the first message of a link. See Hello for the fields.
	KindHello Kind = 1 + iota
	// Forwarder to planner: reports the latest promise for a cell. Fields: Cell, Epoch, Number (the holder's number plus one; 0: none),
	// DurationS (time left), Requester.
	KindPromiseReport
	// Forwarder to planner: grants a claim, or renews its promise. Fields: Cell, Epoch, Round.
	KindGrant
	// Forwarder to planner: reports the latest admission of an account. Fields: Cell, Epoch, Name (account), Plan, Handle (epoch of the
	// KindSend that admitted), Round (its admission number), Units (debt), DurationS (age), Number (unused).
	KindUsageReport
	// Forwarder to planner: ends a usage report. Fields: Cell, Epoch, Flag (the report is complete).
	KindUsageReportEnd
	// Forwarder to planner: submits a request. Fields: Cell, Epoch, Handle, Class, Plan, Name (account), DurationS (time until the
	// deadline), Units, Flag (client retry).
	KindRequest
	// Forwarder to planner: reports the end of an attempt. Fields: Handle, Number (attempt), Class (status), Flag (the request is
	// completed), DurationS (latency), Load.
	KindOutcome
	// Forwarder to planner: a request needs no more decisions: its client has disconnected or has its answer. Fields: Handle. See also
	// KindFromForwarder.
	KindDisconnected
	// Forwarder to planner: reports the result of a health check. Fields: Cell, Epoch, Name (backend), Class (status), DurationS (latency),
	// Load.
	KindProbeResult
	// Planner to forwarder: asks for a promise, or for its renewal. Fields: Cell, Epoch, Round.
	KindClaim
	// Planner to forwarder: announces that a majority has granted the claim. Fields: Cell, Epoch.
	KindLeaderAnnouncement
	// Planner to forwarder: ends the promise that was granted to a claim. Fields: Cell, Epoch. See also KindFromPlanner.
	KindRelease
	// Planner to forwarder: asks for a cell that another planner leads. Fields: Cell.
	KindHandbackRequest
	// Planner to forwarder: starts an attempt. Fields: Cell, Epoch, Handle, Name (backend), DurationS (timeout; 0: none), Round (number of
	// the admission under this epoch), Units (the account's debt).
	KindSend
	// Planner to forwarder: rejects a request as its final answer. Fields: Cell, Epoch, Handle, DurationS (retry after).
	KindReject
	// Planner to forwarder: fails a request as its final answer. Fields: Cell, Epoch, Handle.
	KindFail
	// Planner to forwarder: cancels an attempt. Fields: Cell, Epoch, Handle, Number (attempt).
	KindCancel
	// Forwarder to planner: withdraws a submitted request, because it goes to another leader. Fields: Handle.
	KindWithdraw
	// Forwarder to planner: reports how many attempts of an account are in flight that this leader did not decide on. Fields: Cell, Epoch,
	// Name (account), Plan, Number (attempts).
	KindOrphans
	// Planner to forwarder: starts a health check. Fields: Cell, Epoch, Name (backend).
	KindProbe
	// Planner to forwarder: keeps an idle link open; forwarders send KindPromiseReport for that. No fields.
	KindHeartbeat
	// Planner to forwarder: reads a cordon register. Fields: Handle (operation), Name (backend).
	KindCordonRead
	// Planner to forwarder: asks a forwarder to merge a state into a cordon register. Fields: Handle (operation; 0: no answer is wanted),
	// Name (backend), Epoch (version), Flag (cordoned).
	KindCordonWrite
	// Forwarder to planner: reports the state of a cordon register. Fields: Handle (operation that it answers; 0: none), Name (backend),
	// Epoch (version), Flag (cordoned).
	KindCordonState
	kindCount
)

// Kinds that have no value of their own on the wire: KindFromForwarder and KindFromPlanner return them, and Message.Kind never holds one. A
// peer closes the link when it receives an unknown kind, but ignores a KindDisconnected with an unknown handle and a KindRelease with an
// unknown cell. A message that peers built before cordons or load shedding must ignore is therefore sent as one of these two kinds, with a
// reserved handle or cell.
const (
	KindCordonCapable Kind = math.MaxUint8 - iota // both directions: the sender supports the cordon kinds, which must not be sent to other peers
	KindShedLevel                                 // planner: a cell's load-shedding level; forwarder: a level that it relays to another planner. See ShedLevel
)

// Reserved handles of KindDisconnected and cells of KindRelease. The handle of a relayed level carries shedLevelMark.
const (
	CordonCapableHandle = 1<<63 | 1 // KindCordonCapable from a forwarder
	CordonCapableCell   = 1<<16 - 1 // KindCordonCapable from a planner
	ShedLevelCell       = 1<<16 - 2 // KindShedLevel from a planner; its Epoch becomes the Handle of the relayed message
)

// NewForwarderCordonCapable returns the message with which a forwarder announces that it supports cordons. On the wire it is a
// KindDisconnected with the reserved handle CordonCapableHandle.
func NewForwarderCordonCapable() Message {
	return Message{Kind: KindDisconnected, Handle: CordonCapableHandle}
}

// NewPlannerCordonCapable returns the message with which a planner announces that it supports cordons. On the wire it is a KindRelease with
// the reserved cell CordonCapableCell.
func NewPlannerCordonCapable() Message { return Message{Kind: KindRelease, Cell: CordonCapableCell} }

// KindFromForwarder returns the kind of a message that was sent by a forwarder: KindCordonCapable, KindShedLevel or otherwise Message.Kind.
func (m *Message) KindFromForwarder() Kind {
	switch {
	case m.Kind != KindDisconnected:
	case m.Handle == CordonCapableHandle:
		return KindCordonCapable
	case m.Handle>>shedLevelMarkShift == shedLevelMark>>shedLevelMarkShift:
		return KindShedLevel
	}
	return m.Kind
}

// KindFromPlanner returns the kind of a message that was sent by a planner: KindCordonCapable, KindShedLevel or otherwise Message.Kind.
func (m *Message) KindFromPlanner() Kind {
	switch {
	case m.Kind != KindRelease:
	case m.Cell == CordonCapableCell:
		return KindCordonCapable
	case m.Cell == ShedLevelCell:
		return KindShedLevel
	}
	return m.Kind
}

// Encoding of a load-shedding level in an epoch or handle. The two upper bits are both set, which distinguishes a relayed level from a
// request: no request's handle has them set.
const (
	shedLevelMark      = 3 << 62
	shedLevelMarkShift = 62
	shedLevelCellShift = 16
	shedLevelShift     = 8
)

// NewShedLevel returns the message by which a planner sends KindShedLevel. It holds a cell's load-shedding level, clamped to 0 to 1 and
// rounded to a multiple of 1/255, and its phase.
func NewShedLevel(cellID int, level float64, phase uint8) Message {
	steps := uint64(math.Round(min(max(level, 0), 1) * math.MaxUint8))
	encoded := uint64(uint16(cellID))<<shedLevelCellShift | steps<<shedLevelShift | uint64(phase)
	return Message{Kind: KindRelease, Cell: ShedLevelCell, Epoch: shedLevelMark | encoded}
}

// RelayedShedLevel returns the message by which a forwarder relays a planner's KindShedLevel.
func RelayedShedLevel(sent *Message) Message {
	return Message{Kind: KindDisconnected, Handle: sent.Epoch}
}

// ShedLevel decodes a relayed load-shedding level. ok is false if the message is not a relayed level.
func (m *Message) ShedLevel() (cellID int, level float64, phase uint8, ok bool) {
	if m.KindFromForwarder() != KindShedLevel {
		return 0, 0, 0, false
	}
	level = float64(uint8(m.Handle>>shedLevelShift)) / math.MaxUint8
	return int(uint16(m.Handle >> shedLevelCellShift)), level, uint8(m.Handle), true
}

// Message is one record. The comment of each kind lists the fields that it uses; the other fields are not sent.
type Message struct {
	Kind      Kind
	Cell      uint16
	Epoch     uint64
	Handle    uint64
	Round     uint32
	Number    uint32
	Requester uint16 // number, plus one, of the planner that asks for the cell; 0: none
	Class     uint8
	Plan      uint8
	Flag      bool
	HasLoad   bool
	DurationS float64 // seconds; sent as whole microseconds, clamped to 0 to 4,294 s
	Units     float64 // sent as whole hundredths; a negative value is sent as 0
	Name      string
	Load      [6]float64 // the fields of policy.Load in their order; valid only if HasLoad
}
