package ingress

import (
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// Decider is notified of all events and decides on them: the decision module in this process, a *policy.Gateway, or what stands for a module
// elsewhere. Its methods are called by the loop alone, one at a time, with the times of events in Unix seconds that never go back.
type Decider interface {
	HandleRequest(now float64, request policy.Request)
	HandleOutcome(now float64, outcome policy.Outcome)
	HandleDisconnect(now float64, id string)
	UpdateBackends(now float64, list []policy.Backend, full bool)
	HandleTimer(now float64, token uint64)
	HandlePeerMessage(now float64, from int, data []byte)
	HandleProbeResult(now float64, p policy.ProbeResult)
}

// StreamingDecider is a Decider that is notified when an attempt's answer has begun to be streamed to the client: no other attempt may answer
// the request any more, and how that one ends is its outcome.
type StreamingDecider interface {
	HandleResponseStart(now float64, id string, attempt int)
}

// ReconfigurableDecider is a Decider that takes other classes, and another number of attempts, while requests are under way. These keep the
// class that they came with. On an error nothing has changed.
type ReconfigurableDecider interface {
	UpdateClasses(now float64, classes []policy.Class, maxAttempts int) error
}

// SheddingDecider is a Decider that sheds load.
type SheddingDecider interface {
	Shedder() *loadshed.Shedder // nil where load is not shed
}

// SnapshotDecider is a Decider that hands what it knows to its like in another process. Snapshot is its last call before that one serves;
// Restore is called with each part, once backends are listed and before the first request. A decider whose successor died restores its own
// snapshot.
type SnapshotDecider interface {
	Snapshot(now float64) []snapshot.Part
	Restore(now float64, part snapshot.Part)
}

// MigratingDecider is a Decider that hands all on, its requests too. From Migrate on it is notified of the events of these requests, and asks for
// nothing, until Reclaim; RecordOrder reports what the decider in the new process had done to them.
type MigratingDecider interface {
	Decider
	Migrate(now float64) []snapshot.Part
	// Resume goes on with the state of another process, before the first event. shiftS is what has to be added to its times.
	Resume(now, shiftS float64, parts []snapshot.Part) error
	RecordOrder(now float64, order snapshot.Order)
	Reclaim(now float64)
}

// Host is what a Decider outside the decision module may ask of the ingress beside policy.Actions.
type Host interface {
	policy.Actions
	// Post runs do on the loop. It may be called by any goroutine but the loop, and blocks while the loop is behind.
	Post(do func(now float64))
	// After runs do on the loop, delayS seconds from now. Loop only.
	After(delayS float64, do func())
	// LogFault logs a fault of another party, at a bounded rate. Loop only.
	LogFault(message string, args ...any)
	// Now is the time of the current event in Unix seconds. Loop only.
	Now() float64
	// EndpointListAge is how old the list of backends is. Of any goroutine.
	EndpointListAge() discovery.Age
	// HasPredecessor reports whether this process replaces another one, which lasts for a while. Before the first event.
	HasPredecessor() bool
	// Cordon keeps off a backend, whatever discovery says, until it is called with false. Loop only.
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
