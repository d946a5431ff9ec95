// Package policy decides for one gateway of a fleet that keeps every customer
// of a shared back end to its plan. It holds no clock, no randomness of its own
// and no network: time and seed come in as values, and what is to be done goes
// out through Actions. policy.go holds the decisions on requests, drain.go those on
// connections while operators drain the ingress; this file is the
// interface.
package policy

import "eiderspread/internal/decision/config"

// What the settings say.
type (
	Idempotency = config.Idempotency
	KeyScope    = config.KeyScope
	Class       = config.Class
	Plan        = config.Plan
	Settings    = config.Settings
)

// Effects and scopes of keys.
const (
	Idempotent, KeyedIdempotent, NonIdempotent = config.Idempotent, config.KeyedIdempotent, config.NonIdempotent
	ScopeAll, ScopeZone, ScopeCell             = config.ScopeAll, config.ScopeZone, config.ScopeCell
)

// What a gateway is told.
type (
	BackendState = config.BackendState
	Backend      = config.Backend
	Request      = config.Request
	Status       = config.Status
	Load         = config.Load
	Outcome      = config.Outcome
	ProbeResult  = config.ProbeResult
)

// States of servers, and the ways an attempt ends.
const (
	Up, Draining, Removed                    = config.Up, config.Draining, config.Removed
	OK, Error, Rejected, Timeout             = config.OK, config.Error, config.Rejected, config.Timeout
	ConnectFailed, Reset, Cancelled, NotSent = config.ConnectFailed, config.Reset, config.Cancelled, config.NotSent
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
