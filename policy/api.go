// Package policy decides for one gateway of a fleet that keeps every customer
// of a shared back end to its plan. It holds no clock, no randomness of its own
// and no network: time and seed come in as values, and what is to be done goes
// out through Actions. policy.go holds every decision; this file is its
// interface.
package policy

import "eiderspread/internal/terms"

// What the settings say.
type (
	Effect   = terms.Effect
	Scope    = terms.Scope
	Class    = terms.Class
	Plan     = terms.Plan
	Settings = terms.Settings
)

// Effects and scopes of keys.
const (
	Safe      = terms.Safe
	Keyed     = terms.Keyed
	Unsafe    = terms.Unsafe
	ScopeAll  = terms.ScopeAll
	ScopeZone = terms.ScopeZone
	ScopeCell = terms.ScopeCell
)

// State is what the list of servers says of a server.
type State int

// The states of a server.
const (
	Up State = iota
	Draining
	Removed
)

// Server is an entry of the list of servers.
type Server struct {
	ID, Zone string
	Cell     int
	State    State
	Weight   float64
	SinceS   float64 // when its process started; 0: long ago
}

// Request is a client's request that this gateway now owes one final answer.
type Request struct {
	ID, Class, Plan, Customer string
	DeadlineS                 float64 // clock time at which the client gives up
	First, Entries            int     // the customer's gateways: Entries in a row from First
	Units                     float64
	Retry                     bool
}

// Status is the way an attempt or a probe ended.
type Status int

// The ways an attempt ends.
const (
	OK            Status = iota
	Error                // the server answered with an error; may have run
	Full                 // turned away unseen; did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // never reached the server; did not run
	Reset                // the connection broke; may have run
	Cancelled            // called off; may have run
	Moot                 // not sent
)

// Load is a server's load report. Fields that were not reported are below 0.
type Load struct {
	InFlight, Queue, Util, ServiceMS, ServedPerS, FailedPerS float64
}

// Outcome ends one attempt. Over tells that the request needs no answer any more.
type Outcome struct {
	ID, Server string
	Attempt    int
	Status     Status
	Over       bool
	SpentS     float64
	Units      float64 // the true units, with TrueUp and OK
	Load       *Load
}

// ProbeResult ends one probe.
type ProbeResult struct {
	Server string
	Status Status
	SpentS float64
	Load   *Load
}

// Broadcast as the addressee of Tell means every other gateway.
const Broadcast = -1

// Actions is what a Gateway asks of its ingress. Calls happen only while one of
// the Gateway's event methods runs, and in the order in which they are to take effect.
type Actions interface {
	Send(id, server string, timeoutS float64) // starts the request's next attempt
	Refuse(id string, retryInS float64)       // final answer: trying again is harmless
	Fail(id string)                           // final answer: promises nothing
	Cancel(id string, attempt int)
	SetTimer(token uint64, delayS float64)
	Probe(server string)
	Tell(gateway int, data []byte)
	Log(text string)
}
