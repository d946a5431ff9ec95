// Package policy decides for one gateway of a fleet that keeps every customer
// of a shared back end to its plan. It holds no clock, no randomness of its own
// and no network: time and seed come in as values, and what is to be done goes
// out through Actions. policy.go holds the decisions on requests, drain.go those on
// connections while operators drain the ingress; this file is the
// interface.
package policy

import "eiderspread/internal/terms"

// What the settings say.
type (
	Idempotency = terms.Idempotency
	KeyScope    = terms.KeyScope
	Class       = terms.Class
	Plan        = terms.Plan
	Settings    = terms.Settings
)

// Effects and scopes of keys.
const (
	Idempotent, KeyedIdempotent, NonIdempotent = terms.Idempotent, terms.KeyedIdempotent, terms.NonIdempotent
	ScopeAll, ScopeZone, ScopeCell             = terms.ScopeAll, terms.ScopeZone, terms.ScopeCell
)

// What a gateway is told.
type (
	BackendState = terms.BackendState
	Backend      = terms.Backend
	Request      = terms.Request
	Status       = terms.Status
	Load         = terms.Load
	Outcome      = terms.Outcome
	ProbeResult  = terms.ProbeResult
)

// States of servers, and the ways an attempt ends.
const (
	Up, Draining, Removed                    = terms.Up, terms.Draining, terms.Removed
	OK, Error, Rejected, Timeout             = terms.OK, terms.Error, terms.Rejected, terms.Timeout
	ConnectFailed, Reset, Cancelled, NotSent = terms.ConnectFailed, terms.Reset, terms.Cancelled, terms.NotSent
)

// Broadcast as the addressee of Tell means every other gateway.
const Broadcast = -1

// Actions is what a Gateway asks of its ingress. Calls happen only while one of
// the Gateway's event methods runs, and in the order in which they are to take effect.
type Actions interface {
	Send(id, backend string, timeoutS float64) // starts the request's next attempt
	Reject(id string, retryAfterS float64)     // final answer: trying again is harmless
	Fail(id string)                            // final answer: promises nothing
	Cancel(id string, attempt int)
	SetTimer(token uint64, delayS float64)
	Probe(backend string)
	SendPeerMessage(gateway int, data []byte)
	Log(text string)
}
