package transport

import (
	"math"
)

// Bounds of a frame and of its contents.
const (
	MaxFrameBytes = 64 << 10 // without the four bytes of its length
	MaxNameBytes  = 128      // of Message.Name; a longer one is cut off
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages with the fields that each uses. F: sent by forwarders, P: by planners. The values are on the wire.
const (
	KindHello           Kind = 1 + iota // both: see Hello
	KindView                            // F: a promise. Cell, Epoch, Number (holder and one; 0: none), DurationS (left), Requester
	KindGrant                           // F: promises Cell to a claim. Epoch, Round
	KindUsageReport                     // F: an account's latest admission. Cell, Epoch, Name (account), Plan, Handle (epoch) and Round (number) of the Send, Units (debt), DurationS (age), Number
	KindUsageReportEnd                  // F: Cell, Epoch, Flag (the report is complete)
	KindRequest                         // F: submits a request. Cell, Epoch, Handle, Class, Plan, Name (account), DurationS (left), Units, Flag (client retry)
	KindOutcome                         // F: an attempt's end. Handle, Number (attempt), Class (status), Flag (request completed), DurationS (latency), Load
	KindDisconnected                    // F: the client has disconnected, or has its answer. Handle. See also KindFromForwarder
	KindProbeResult                     // F: Cell, Epoch, Name (backend), Class (status), DurationS (latency), Load
	KindClaim                           // P: asks for a promise, or for its renewal. Cell, Epoch, Round
	KindLead                            // P: a majority has promised. Cell, Epoch
	KindRelease                         // P: ends a promise. Cell, Epoch. See also KindFromPlanner
	KindHandbackRequest                 // P: asks for a cell that another planner leads. Cell
	KindSend                            // P: starts an attempt. Cell, Epoch, Handle, Name (backend), DurationS (time-out; 0: none), Round (number of the admission under this lead), Units (the account's debt)
	KindReject                          // P: a final answer. Cell, Epoch, Handle, DurationS (retry after)
	KindFail                            // P: a final answer. Cell, Epoch, Handle
	KindCancel                          // P: Cell, Epoch, Handle, Number (attempt)
	KindWithdraw                        // F: ends the submission of a request, which goes to another leader. Handle
	KindOrphans                         // F: attempts in flight that this leader did not decide on. Cell, Epoch, Name (account), Plan, Number
	KindProbe                           // P: starts a health check. Cell, Epoch, Name (backend)
	KindHeartbeat                       // both: no fields
	KindCordonRead                      // P: asks for a cordon register. Handle (operation), Name (backend)
	KindCordonWrite                     // P: is to be merged. Handle (operation; 0: none), Name (backend), Epoch (version), Flag (cordoned)
	KindCordonState                     // F: a cordon register. Handle (operation; 0: unasked), Name (backend), Epoch (version), Flag (cordoned)
	kindCount
)

// Kinds without a value on the wire, which KindFromForwarder and KindFromPlanner return. A peer ends a link on a kind that it doesn't know, but
// ignores a KindDisconnected of a handle and a KindRelease of a cell that it doesn't know. What a peer built before cordons or load shedding has
// to ignore is therefore sent as one of these two, with a handle or cell that is reserved for it. Message.Kind is never one of these kinds.
const (
	KindCordonCapable Kind = math.MaxUint8 - iota // both: the sender knows the kinds of cordons; others must not be sent them
	KindShedLevel                                 // P: a load-shedding level; F: one that it relays to another planner. See ShedLevel
)

// Reserved handles of KindDisconnected and cells of KindRelease. A level that is relayed has its own mark, see shedLevelMark.
const (
	CordonCapableHandle = 1<<63 | 1 // KindCordonCapable of a forwarder
	CordonCapableCell   = 1<<16 - 1 // KindCordonCapable of a planner
	ShedLevelCell       = 1<<16 - 2 // KindShedLevel of a planner; the release's Epoch is the handle of the relayed message
)

// NewForwarderCordonCapable returns a forwarder's KindCordonCapable as it is sent.
func NewForwarderCordonCapable() Message {
	return Message{Kind: KindDisconnected, Handle: CordonCapableHandle}
}

// NewPlannerCordonCapable returns a planner's KindCordonCapable as it is sent.
func NewPlannerCordonCapable() Message { return Message{Kind: KindRelease, Cell: CordonCapableCell} }

// KindFromForwarder returns the kind of a message that a forwarder has sent: KindCordonCapable, KindShedLevel or else Kind.
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

// KindFromPlanner returns the kind of a message that a planner has sent: KindCordonCapable, KindShedLevel or else Kind.
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

// A relayed level differs from requests by the upper bits of its handle, which no request has.
const (
	shedLevelMark      = 3 << 62
	shedLevelMarkShift = 62
	shedLevelCellShift = 16
	shedLevelShift     = 8
)

// NewShedLevel returns a planner's KindShedLevel as it is sent: a cell's load-shedding level, from 0 to 1 in steps of 1/255, and phase.
func NewShedLevel(cellID int, level float64, phase uint8) Message {
	steps := uint64(math.Round(min(max(level, 0), 1) * math.MaxUint8))
	encoded := uint64(uint16(cellID))<<shedLevelCellShift | steps<<shedLevelShift | uint64(phase)
	return Message{Kind: KindRelease, Cell: ShedLevelCell, Epoch: shedLevelMark | encoded}
}

// RelayedShedLevel returns a planner's KindShedLevel as a forwarder relays it.
func RelayedShedLevel(sent *Message) Message {
	return Message{Kind: KindDisconnected, Handle: sent.Epoch}
}

// ShedLevel reads a relayed load-shedding level; ok is false if the message is none.
func (m *Message) ShedLevel() (cellID int, level float64, phase uint8, ok bool) {
	if m.KindFromForwarder() != KindShedLevel {
		return 0, 0, 0, false
	}
	level = float64(uint8(m.Handle>>shedLevelShift)) / math.MaxUint8
	return int(uint16(m.Handle >> shedLevelCellShift)), level, uint8(m.Handle), true
}

// Message is one record. The comments of the kinds list the fields that each uses.
type Message struct {
	Kind      Kind
	Cell      uint16
	Epoch     uint64
	Handle    uint64
	Round     uint32
	Number    uint32
	Requester uint16 // a planner's number and one; 0: none
	Class     uint8
	Plan      uint8
	Flag      bool
	HasLoad   bool
	DurationS float64 // seconds; on the wire whole microseconds, from 0 to 4,294 s
	Units     float64 // on the wire whole hundredths, from 0
	Name      string
	Load      [6]float64 // the fields of policy.Load in their order; valid if HasLoad
}
