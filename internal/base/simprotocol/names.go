// Package simprotocol reads and writes the lines of the simulator's protocol. It knows their form and their names, not what
// to do about them.
package simprotocol

// Messages from the simulator.
const (
	MessageTime          = "CLOCK"        // begins a batch of events
	MessageBatchEnd      = "YOUR_TURN"    // asks for the reply to the batch
	MessageEndpointList  = "REGISTER"     // a numbered list; so many entries follow
	MessageEndpoint      = "ITEM"         // an entry of it
	MessageGatewayStart  = "ENLIST"       // a gateway starts
	MessageGatewayStop   = "DOWN"         // a gateway ends
	MessageDiscovery     = "PEERS_KNOWN"  // a gateway learns of a numbered list
	MessageRequest       = "REQUEST"      // a client's request
	MessageResponseStart = "FLOWING"      // an answer begins to be streamed
	MessageOutcome       = "VERDICT"      // the end of an attempt
	MessageDisconnect    = "HANGUP"       // a client has gone
	MessageTimer         = "ALARM"        // a timer
	MessageProbeResult   = "CHECK_RESULT" // the end of a health check
	MessagePeer          = "DATAGRAM"     // a message of another gateway
	MessageCounterReply  = "TALLY_BACK"   // of the platform's counter, which is not used
)

// Messages to the simulator.
const (
	MessageBatchDone   = "NEXT"         // ends the reply to a batch
	MessageSend        = "FORWARD"      // starts an attempt
	MessageReject      = "BOUNCE"       // the final answer: not run
	MessageFail        = "ERROR"        // the final answer: may have run
	MessageCancel      = "STOP_ATTEMPT" // gives an attempt up
	MessageSetTimer    = "WAKE_AT"      // wants a timer
	MessageProbe       = "HEALTH_CHECK" // wants a health check
	MessageSendPeer    = "BROADCAST_TO" // sends to another gateway
	MessageLog         = "EMIT"         // a line of log
	MessageGatewayDied = "FAULT"        // a gateway panicked
)

// Fields.
const (
	FieldGateway      = "i"
	FieldTime         = "timeS"     // s
	FieldListID       = "rosterId"  // number of an endpoint list
	FieldListLength   = "lines"     // entries that follow
	FieldListKind     = "kind"      // of a discovery event, ListKind...
	FieldBackend      = "backend"   // ID
	FieldZone         = "hall"      // of a backend
	FieldCell         = "unitGroup" // of a backend
	FieldWeight       = "share"     // of a backend
	FieldStartedAt    = "sinceS"    // s; 0: long ago
	FieldState        = "status"    // of a backend, State...
	FieldSeed         = "entropy"   // of random numbers
	FieldSettings     = "settings"  // JSON, to the end of the line
	FieldID           = "id"        // of a request
	FieldClass        = "kind"      // of a request
	FieldPlan         = "tier"      // of a request
	FieldAccount      = "holder"    // of a request
	FieldDeadline     = "dropDeadS" // s
	FieldFirstGateway = "base"      // of the gateways that an account comes through
	FieldGatewayCount = "nEntries"  // of these gateways
	FieldUnits        = "costUnits" // of a request
	FieldRetry        = "isRetry"   // the client's own mark
	FieldAttempt      = "hop"       // index, from 0
	FieldStatusCode   = "code"      // of an outcome or a health check
	FieldCompleted    = "terminal"  // the request needs no further attempt
	FieldLatency      = "spentS"    // s
	FieldActualUnits  = "actual"    // units that the answer reports
	FieldLoad         = "load"      // load report, name:value pairs
	FieldTimer        = "mark"      // a timer's token
	FieldDelay        = "offsetS"   // s, until a timer
	FieldTimeout      = "withinS"   // s, of an attempt
	FieldRetryAfter   = "retryInS"  // s
	FieldSender       = "sender"    // a gateway
	FieldRecipient    = "addressee" // a gateway
	FieldData         = "data"      // hexadecimal; "-" for none
	FieldText         = "msg"
)

// Values of FieldState.
const (
	StateUp       = "U"
	StateDraining = "L"
	StateRemoved  = "D"
)

// Values of FieldListKind.
const (
	ListError    = "Error"     // the list could not be fetched
	ListPartial  = "Partial"   // changes
	ListComplete = "Complete"  // all endpoints
	ListCached   = "Persisted" // all endpoints, as a former process knew them
)
