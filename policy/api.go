package policy

import "eiderspread/internal/decision/config"

type (
	// Settings are a gateway's configuration, see config.Settings.
	Settings = config.Settings
	// Class is the configuration of a class of requests, see config.Class.
	Class = config.Class
	// Plan is the quota of an account, see config.Plan.
	Plan = config.Plan
	// Idempotency is whether requests of a class may run more than once.
	Idempotency = config.Idempotency
	// KeyScope is the group of backends that drops repeats of an idempotency key.
	KeyScope = config.KeyScope
	// Backend is an entry of the list of backends, see config.Backend.
	Backend = config.Backend
	// BackendState is a state of a Backend.
	BackendState = config.BackendState
	// Request is a client's request, see config.Request.
	Request = config.Request
	// Outcome is the end of an attempt, see config.Outcome.
	Outcome = config.Outcome
	// Status is how an attempt or a probe ended.
	Status = config.Status
	// Load is a backend's load report, see config.Load.
	Load = config.Load
	// ProbeResult is the end of a probe, see config.ProbeResult.
	ProbeResult = config.ProbeResult
)

// The kinds of Idempotency.
const (
	Idempotent      = config.Idempotent
	KeyedIdempotent = config.KeyedIdempotent
	NonIdempotent   = config.NonIdempotent
)

// The values of KeyScope.
const (
	ScopeAll  = config.ScopeAll
	ScopeZone = config.ScopeZone
	ScopeCell = config.ScopeCell
)

// The values of BackendState.
const (
	Up       = config.Up
	Draining = config.Draining
	Removed  = config.Removed
)

// The values of Status.
const (
	OK            = config.OK
	Error         = config.Error
	Rejected      = config.Rejected
	Timeout       = config.Timeout
	ConnectFailed = config.ConnectFailed
	Reset         = config.Reset
	Cancelled     = config.Cancelled
	NotSent       = config.NotSent
)

// Broadcast is the gateway number of SendPeerMessage that stands for every other gateway.
const Broadcast = -1

// Actions is what a Gateway asks of its caller. It is called only while one of the Gateway's methods runs, in
// the order in which the actions are to take effect. Outcomes that an action causes at once are reported
// after that method has returned.
type Actions interface {
	// Send starts the next attempt of a request. The attempt is given up after timeoutS seconds; with 0 it may
	// last until the client's deadline, and below 0 it isn't written and its outcome is Timeout. A Gateway
	// sends with more than 0; other deciders may not.
	Send(id, backend string, timeoutS float64)
	// Reject is a request's final answer and promises that a retry is harmless. retryAfterS is the hint for the
	// client, in seconds; 0 gives none.
	Reject(id string, retryAfterS float64)
	// Fail is a request's final answer and promises nothing.
	Fail(id string)
	// Cancel gives up an attempt, by its index among the request's attempts. Its Outcome still follows.
	Cancel(id string, attempt int)
	// SetTimer asks for HandleTimer with the token in delayS seconds.
	SetTimer(token uint64, delayS float64)
	// Probe asks a backend for its load. HandleProbeResult follows.
	Probe(backend string)
	// SendPeerMessage sends a message to another gateway, or to all with Broadcast. It may be lost.
	SendPeerMessage(gateway int, data []byte)
	// Log reports something to operators.
	Log(text string)
}
