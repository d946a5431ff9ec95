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
	// KeyScope is the group of backends that share idempotency keys and drop repeats of a key.
	KeyScope = config.KeyScope
	// Backend is an entry of the endpoint list, see config.Backend.
	Backend = config.Backend
	// BackendState is a state of a Backend.
	BackendState = config.BackendState
	// Request is a client's request, see config.Request.
	Request = config.Request
	// Outcome reports how an attempt ended, see config.Outcome.
	Outcome = config.Outcome
	// Status is the result of an attempt or a probe.
	Status = config.Status
	// Load is a backend's load report, see config.Load.
	Load = config.Load
	// ProbeResult reports how a probe ended, see config.ProbeResult.
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

// Broadcast is the gateway number by which SendPeerMessage addresses every other gateway.
const Broadcast = -1

// Actions is implemented by the caller of a Gateway and carries out the Gateway's decisions. A Gateway calls
// it only while one of its own methods runs, in the order in which the actions take effect. If an action has
// an immediate outcome, the caller reports it after that method has returned.
type Actions interface {
	// Send starts the next attempt of a request, with a timeout of timeoutS seconds. With 0 the attempt may
	// last until the client's deadline; with a negative value it isn't written, and its outcome is Timeout. A
	// Gateway always passes a positive value; other callers may pass 0 or a negative value.
	Send(id, backend string, timeoutS float64)
	// Reject gives a request its final answer and promises the client that a retry is harmless. retryAfterS is
	// the hint to the client when to retry, in seconds from now; 0 gives no hint.
	Reject(id string, retryAfterS float64)
	// Fail gives a request its final answer. It does not promise that a retry is harmless.
	Fail(id string)
	// Cancel cancels an attempt, given by its index among the request's attempts. Its Outcome still follows.
	Cancel(id string, attempt int)
	// SetTimer schedules a call of HandleTimer with the token in delayS seconds.
	SetTimer(token uint64, delayS float64)
	// Probe requests a backend's load report. HandleProbeResult follows.
	Probe(backend string)
	// SendPeerMessage sends a message to another gateway, or with Broadcast to all others. The message may be
	// lost.
	SendPeerMessage(gateway int, data []byte)
	// Log writes a message to the operators' log.
	Log(text string)
}
