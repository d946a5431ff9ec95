// Package simprotocol reads and writes the lines of the simulator's protocol. It knows their form and their names; the caller acts
// on them.
package simprotocol

// Messages from the simulator.
const (
	MessageTime          = "CLOCK"        // begins a batch of events
	MessageBatchEnd      = "YOUR_TURN"    // asks for the reply to the batch
	MessageEndpointList  = "REGISTER"     // starts a numbered endpoint list; its entries follow
	MessageEndpoint      = "ITEM"         // an entry of an endpoint list
	MessageGatewayStart  = "ENLIST"       // a gateway starts
	MessageGatewayStop   = "DOWN"         // a gateway stops
	MessageDiscovery     = "PEERS_KNOWN"  // a gateway receives a numbered list from discovery
	MessageRequest       = "REQUEST"      // a client's request
	MessageResponseStart = "FLOWING"      // the response of an attempt starts to arrive
	MessageOutcome       = "VERDICT"      // the end of an attempt
	MessageDisconnect    = "HANGUP"       // a client has disconnected
	MessageTimer         = "ALARM"        // a timer has fired
	MessageProbeResult   = "CHECK_RESULT" // the result of a health check
	MessagePeer          = "DATAGRAM"     // a message from another gateway
	MessageCounterReply  = "TALLY_BACK"   // a reply of the platform's counter, which is not used
)

// Messages to the simulator.
const (
	MessageBatchDone    = "NEXT"         // ends the reply to a batch
	MessageSend         = "FORWARD"      // starts an attempt
	MessageReject       = "BOUNCE"       // final answer: the request did not run
	MessageFail         = "ERROR"        // final answer: the request may have run
	MessageCancel       = "STOP_ATTEMPT" // cancels an attempt
	MessageSetTimer     = "WAKE_AT"      // sets a timer
	MessageProbe        = "HEALTH_CHECK" // requests a health check
	MessageSendPeer     = "BROADCAST_TO" // sends a message to another gateway
	MessageLog          = "EMIT"         // writes a log line
	MessageGatewayPanic = "FAULT"        // a gateway panicked
)

// Fields.
const (
	FieldGateway      = "i"
	FieldTime         = "timeS"     // s
	FieldListID       = "rosterId"  // number of an endpoint list
	FieldListLength   = "lines"     // number of entries that follow
	FieldListKind     = "kind"      // of a discovery event: ListError, ListPartial, ListComplete or ListCached
	FieldBackend      = "backend"   // ID
	FieldZone         = "hall"      // of a backend
	FieldCell         = "unitGroup" // of a backend
	FieldWeight       = "share"     // of a backend
	FieldStartedAt    = "sinceS"    // s; 0: long ago
	FieldState        = "status"    // of a backend: StateUp, StateDraining or StateRemoved
	FieldSeed         = "entropy"   // of the random number generator
	FieldSettings     = "settings"  // JSON, to the end of the line
	FieldID           = "id"        // of a request
	FieldClass        = "kind"      // of a request
	FieldPlan         = "tier"      // of a request
	FieldAccount      = "holder"    // of a request
	FieldDeadline     = "dropDeadS" // s
	FieldFirstGateway = "base"      // index of the first gateway that an account uses
	FieldGatewayCount = "nEntries"  // number of consecutive gateways that an account uses
	FieldUnits        = "costUnits" // of a request
	FieldRetry        = "isRetry"   // the client marks the request as a retry
	FieldAttempt      = "hop"       // index, from 0
	FieldStatusCode   = "code"      // of an outcome or a health check
	FieldCompleted    = "terminal"  // the request needs no further attempt
	FieldLatency      = "spentS"    // s
	FieldActualUnits  = "actual"    // units that the response reports
	FieldLoad         = "load"      // load report, name:value pairs
	FieldTimer        = "mark"      // a timer's token
	FieldDelay        = "offsetS"   // s, until a timer
	FieldTimeout      = "withinS"   // s, of an attempt
	FieldRetryAfter   = "retryInS"  // s
	FieldSender       = "sender"    // index of a gateway
	FieldRecipient    = "addressee" // index of a gateway
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
	ListPartial  = "Partial"   // changed endpoints only
	ListComplete = "Complete"  // all endpoints
	ListCached   = "Persisted" // all endpoints, as known to a former process
)
