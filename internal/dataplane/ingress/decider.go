package ingress

import (
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// Decider receives the events of the ingress and decides on them: a *policy.Gateway, which is the decision module in this process, or a
// stand-in for a module elsewhere. Only the loop calls its methods, one at a time. now is the time of the event in Unix seconds and never
// goes back.
type Decider interface {
	HandleRequest(now float64, request policy.Request)
	HandleOutcome(now float64, outcome policy.Outcome)
	HandleDisconnect(now float64, id string)
	UpdateBackends(now float64, list []policy.Backend, full bool)
	HandleTimer(now float64, token uint64)
	HandlePeerMessage(now float64, from int, data []byte)
	HandleProbeResult(now float64, p policy.ProbeResult)
}

// StreamingDecider is a Decider that is notified when the ingress begins to stream an attempt's answer to the client. From then on no other
// attempt may answer the request, and the end of that attempt is the request's outcome.
type StreamingDecider interface {
	HandleResponseStart(now float64, id string, attempt int)
}

// ReconfigurableDecider is a Decider whose classes and maximum number of attempts can change while requests are open. Open requests keep
// the class that they arrived with. If UpdateClasses returns an error, nothing has changed.
type ReconfigurableDecider interface {
	UpdateClasses(now float64, classes []policy.Class, maxAttempts int) error
}

// SheddingDecider is a Decider that sheds load.
type SheddingDecider interface {
	Shedder() *loadshed.Shedder // nil where load is not shed
}

// SnapshotDecider is a Decider that passes its state to a decider of the same kind in a new process. Snapshot is the last call before the
// new process serves. Restore is called there with each part, after the backends are listed and before the first request. If the new
// process dies, the decider that took the snapshot restores it.
type SnapshotDecider interface {
	Snapshot(now float64) []snapshot.Part
	Restore(now float64, part snapshot.Part)
}

// MigratingDecider is a Decider that passes its whole state, open requests included, to the decider of a new process. Between Migrate and
// Reclaim it still receives the events of these requests but calls no actions; RecordOrder reports each order of the new process's decider
// for them.
type MigratingDecider interface {
	Decider
	Migrate(now float64) []snapshot.Part
	// Resume continues from the state of another process, before the first event. shiftS seconds have to be added to the times in parts.
	Resume(now, shiftS float64, parts []snapshot.Part) error
	RecordOrder(now float64, order snapshot.Order)
	Reclaim(now float64)
}

// Host is the interface that the ingress offers to a Decider outside the decision module: policy.Actions and the methods below.
type Host interface {
	policy.Actions
	// Post runs do on the loop. Any goroutine except the loop may call it; it blocks while the loop's event queue is full.
	Post(do func(now float64))
	// After runs do on the loop, delayS seconds from now. Loop only.
	After(delayS float64, do func())
	// LogFault logs a fault of another party as a warning, at a bounded rate. Loop only.
	LogFault(message string, args ...any)
	// Now is the time of the current event in Unix seconds. Loop only.
	Now() float64
	// EndpointListAge returns the age of the list of backends. Any goroutine may call it.
	EndpointListAge() discovery.Age
	// HasPredecessor reports whether this process replaces another one, which keeps running for a while. Call it before the first event only.
	HasPredecessor() bool
	// Cordon takes a backend out of service, whatever state discovery reports, until it is called with false. Loop only.
	Cordon(id string, cordoned bool)
}

// Post implements Host.
func (in *Ingress) Post(do func(now float64)) {
	at := in.clock.Now()
	in.post(at, func() { do(in.now) })
}

// After implements Host.
func (in *Ingress) After(delayS float64, do func()) { in.after(delayS, do) }

// LogFault implements Host.
func (in *Ingress) LogFault(message string, args ...any) { in.logFault(message, args...) }

// Now implements Host.
func (in *Ingress) Now() float64 { return in.now }

// HasPredecessor implements Host.
func (in *Ingress) HasPredecessor() bool { return in.predecessor != nil }

// SetTimer implements policy.Actions.
func (in *Ingress) SetTimer(token uint64, delayS float64) {
	in.after(max(delayS, 0), func() { in.decider.HandleTimer(in.now, token) })
}

// SendPeerMessage implements policy.Actions.
func (in *Ingress) SendPeerMessage(gateway int, data []byte) {
	if in.peers != nil {
		in.peers.enqueue(gateway, data)
	}
}

// Log implements policy.Actions.
func (in *Ingress) Log(text string) { in.log.Info(text) }
