// Package ingress carries out on real sockets what the decision module asks for, and reports to it
// what came of it. It decides nothing about quotas, backends or further attempts.
package ingress

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"eiderspread/internal/base/monotime"
	"eiderspread/internal/controlplane/cordontable"
	"eiderspread/internal/dataplane/admin"
	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/observability/trace"
	"eiderspread/policy"
)

const (
	eventQueueSize = 1024
	// Of the memory, that unfinished and queued input may take beside a first buffer a connection. The
	// collector lets as much again lie, and the program itself needs some MB.
	inputMemoryFraction = 0.2
	// New connections come for up to 0.4 s after a planned restart was announced, and what is lost
	// from 0.7 s on counts: the listener closes between the two.
	acceptAfterSIGTERM = 500 * time.Millisecond
	sweepInterval      = time.Second
	closeIdleInterval  = 100 * time.Millisecond // between two looks for connections that may close, while it leaves
	// SIGKILL may follow the signal after the longest deadline, or so many seconds if that is longer, and so many more.
	maxKillDeadlineS, killMarginS = 3.0, 0.7
	expireBeforeKillS             = 0.2 // so long before, a drain is over: what is still owed fails
)

// finalWriteS are the seconds for which such answers are written and read, before all connections close. Tests make it longer.
var finalWriteS = 0.15

// killDelayS is how many seconds after the signal the process may be killed.
func (in *Ingress) killDelayS() float64 {
	longest := 0.0
	for _, c := range in.classes {
		longest = max(longest, c.DeadlineS)
	}
	return min(longest, maxKillDeadlineS) + killMarginS
}

// event is something that happened outside the loop, with the time at which it did.
type event struct {
	occurredAt float64
	run        func()
}

// Decider is what the loop tells whoever decides: the module in this process, a *policy.Gateway, or what stands
// for a module elsewhere. Its methods are called by the loop alone, one at a time, with the times of events in
// Unix seconds that never go back.
type Decider interface {
	HandleRequest(now float64, q policy.Request)
	HandleOutcome(now float64, o policy.Outcome)
	HandleDisconnect(now float64, id string)
	UpdateBackends(now float64, list []policy.Backend, whole bool)
	HandleTimer(now float64, token uint64)
	HandlePeerMessage(now float64, from int, data []byte)
	HandleProbeResult(now float64, p policy.ProbeResult)
}

// Host is what a Gateway that is no module may ask of the ingress beside its Actions.
type Host interface {
	policy.Actions
	Post(do func(now float64))            // runs do on the loop; of any goroutine, which waits while the loop is behind
	After(delayS float64, do func())      // runs do on the loop, so much later; loop only
	LogFault(message string, args ...any) // logs a fault of somebody else, at a bounded rate; loop only
	Now() float64                         // loop only
	EndpointListAge() discovery.Age       // how old the list of backends is; of any goroutine
	HasPredecessor() bool                 // another process is replaced, and lasts for a while; before the first event
	Cordon(id string, held bool)          // keeps off a backend whatever discovery says, until it is called back; loop only
}

// Ingress is one gateway on real sockets. Its loop alone owns the gateway and all that is not said
// to belong to another goroutine.
type Ingress struct {
	cfg    Config
	log    *slog.Logger
	clock  monotime.Clock
	events chan event
	done   chan struct{} // closed when the loop has ended

	decider       Decider
	now           float64 // what the module was last told; never goes back
	timers        timerHeap
	systemTimer   *time.Timer
	systemTimerAt float64
	deferred      []func() // outcomes that an action yielded, for when its event method has returned
	faultLimiter  logLimiter
	writeBuffer   []byte     // of the command that is being written
	inputBudget   byteBudget // what clients and backends have sent and nobody has used up yet; of all goroutines

	acceptFor           time.Duration // how long after the signal new connections are taken
	listener            *net.TCPListener
	clients             clientTable
	requests            map[string]*request
	largeValues         map[*largeValue]struct{} // large values on their way; as many as there are clients at most
	backends            backendPool
	watcher             *discovery.Watcher
	cordons             *cordontable.Table // what operators took out; nil without a door and out of a fleet
	cordonStore         *cordontable.Store // the same in a file; of the door's goroutines; nil in a fleet
	admin               *admin.Server
	drain               drainState
	successor           successorState                 // toward a process that replaces this one
	predecessor         *predecessorState              // toward the one that this one replaces, while that lasts
	predecessorRequests map[string]*predecessorRequest // requests that it holds and the gateway here decides on; see relay.go
	memberLock          *hotrestart.Lock               // of who speaks for a member of a fleet that has a door; nil elsewhere
	classes             []policy.Class                 // that hold now
	maxAttempts         int                            // the same
	vocabulary          atomic.Pointer[vocabulary]     // of all goroutines
	acceptingClients    atomic.Bool                    // clients are taken; of all goroutines
	endpointListStale   bool                           // the list of backends was said to be old
	peers               *peerLink
	shutdownRequested   bool        // to end
	shutdownExpired     bool        // what was still owed has failed
	closingClients      bool        // the listener is closed, connections close between requests
	drainingAcceptQueue atomic.Bool // the listener closes once it has nothing more; of the loop and of who accepts
	acceptQueuePending  bool        // that is still to come
	counters            ingressCounters
	guardCounts         guardCounters
	drainLogLines       int // written of this drain, see logClientConn
}

// Run serves until ctx ends and then drains. It returns nil after a complete drain. Of each
// configuration that comes on reread, which may be nil, the address of discovery, the classes and the attempts are taken
// over.
func Run(ctx context.Context, cfg Config, reread <-chan Config, log *slog.Logger) error {
	var why *trace.Recorder
	err := RunWithDecider(ctx, cfg, reread, log, func(serveCtx context.Context, h Host) (Decider, error) {
		cfg.Settings.LoadShedding = cfg.OperatorConfig.Overload
		gate, err := policy.New(cfg.Settings.Settings, cfg.Seed, h.Now(), h)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if why, err = startTracing(serveCtx, cfg, h.Now(), gate, log); err != nil {
			return nil, err
		}
		return gate, nil
	})
	why.Wait()
	return err
}

// RunWithDecider is Run with another decider. What make starts ends with the context that it gets, which ends when the
// drain is complete.
func RunWithDecider(ctx context.Context, cfg Config, reread <-chan Config, log *slog.Logger,
	newDecider func(context.Context, Host) (Decider, error)) error {
	in, err := newIngress(cfg, log)
	if err != nil {
		return err
	}
	serveCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if cfg.OperatorConfig.Status != "" {
		if err := in.serveStatus(serveCtx); err != nil {
			in.closeSockets()
			return err
		}
	}
	decider, err := newDecider(serveCtx, in)
	if err != nil {
		in.closeSockets()
		return err
	}
	return in.serve(ctx, reread, decider)
}

// newIngress makes an ingress and its sockets; nothing is read from them yet.
func newIngress(cfg Config, log *slog.Logger) (*Ingress, error) {
	in := &Ingress{cfg: cfg, log: log, clock: monotime.NewClock(), events: make(chan event, eventQueueSize),
		done: make(chan struct{}), requests: map[string]*request{}, largeValues: map[*largeValue]struct{}{}, systemTimer: time.NewTimer(time.Hour),
		acceptFor: acceptAfterSIGTERM}
	in.now = in.clock.Now()
	in.inputBudget.available.Store(int64(float64(cmp.Or(cfg.MemoryMB, defaultMemoryMB)<<20) * inputMemoryFraction))
	in.clients.init(cfg.freeDescriptors())
	in.backends.init(cfg)
	in.watcher = in.newWatcher()
	in.classes, in.maxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	in.vocabulary.Store(newVocabulary(cfg.Settings.Settings))
	in.successor.pauseAccept = make(chan struct{})
	if err := in.openListener(); err != nil {
		return nil, err
	}
	var err error
	if cfg.AdminAddr != "" && cfg.FleetMember {
		in.memberLock = hotrestart.NewLock(os.TempDir(), cfg.Name)
		if in.predecessor == nil { // else the process before has it still
			if err = in.acquireMemberLock(); err != nil {
				in.closeSockets()
				return nil, err
			}
		}
	}
	if cfg.AdminAddr != "" || cfg.FleetMember {
		in.cordons = cordontable.New()
	}
	if cfg.AdminAddr != "" {
		if !cfg.FleetMember {
			in.cordonStore = cordontable.NewStore(cordonStorePath(cfg.Name))
		}
		if in.admin, err = admin.Listen(cfg.AdminAddr, &adminHandler{in}); err != nil {
			in.closeSockets()
			return nil, err
		}
	}
	if cfg.Settings.PeerMessages {
		if in.peers, err = in.openPeers(); err != nil {
			in.peers = nil
			in.closeSockets()
			return nil, err
		}
	}
	return in, nil
}

// openListener has the clients' listener: of the process that this one replaces, if there is one.
func (in *Ingress) openListener() (err error) {
	if in.cfg.AdminAddr != "" {
		if in.predecessor, err = connectPredecessor(in.cfg); err != nil {
			return err
		}
	}
	if h := in.predecessor; h != nil {
		in.listener = h.listener
		in.backends.maxConns = int(float64(in.backends.maxConnsAlone) * coexistFraction)
		h.reservedInput = int(float64(in.inputBudget.available.Load()) * coexistFraction)
		in.inputBudget.reserve(h.reservedInput)
		LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction*coexistFraction)
		return nil
	}
	addr, err := net.ResolveTCPAddr("tcp", in.cfg.Listen)
	if err == nil {
		in.listener, err = net.ListenTCP("tcp", addr)
	}
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

func (in *Ingress) closeSockets() {
	in.listener.Close()
	if in.predecessor != nil {
		in.predecessor.link.Close()
	}
	if in.successor.listener != nil {
		in.successor.listener.Close()
	}
	if in.successor.link != nil {
		in.successor.link.Close()
	}
	if in.admin != nil {
		in.admin.Close()
	}
	if in.peers != nil {
		in.peers.close()
	}
	if in.memberLock != nil {
		in.memberLock.Release()
	}
}

// serve starts the readers and runs the loop to the end of the drain.
func (in *Ingress) serve(ctx context.Context, reread <-chan Config, decider Decider) error {
	defer in.closeSockets()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	in.decider = decider
	if in.predecessor != nil {
		if err := in.announceReady(); err != nil {
			close(in.done)
			return err
		}
	}
	if in.admin != nil {
		in.serveAdmin(background)
	}
	in.applyDiscoveryList(in.cfg.InitialEndpoints, in.now)
	if in.predecessor != nil {
		in.restoreSnapshot(in.predecessor.snapshot)
	}
	go in.watchDiscovery(background, reread)
	in.every(listAgeInterval, func() { in.logListAge(in.EndpointListAge()) })
	in.acceptingClients.Store(true)
	go in.acceptLoop(in.listener, in.successor.pauseAccept)
	if in.predecessor != nil {
		go in.receiveTransfers(in.predecessor)
	}
	if in.admin != nil {
		in.listenForSuccessor()
	}
	if in.peers != nil {
		go in.peers.receiveLoop()
	}
	in.every(sweepInterval, func() {
		in.backends.sweep(in)
		in.clients.sweep(in)
	})
	in.log.Info("serving", "listen", in.cfg.Listen, "backends", len(in.backends.byID), "held", in.cordonCount(), "replaces_another", in.predecessor != nil)
	in.runLoop(ctx)
	in.log.Info("served to the end", "requests_open", len(in.requests))
	return nil
}

// cordonCount is how many backends operators hold.
func (in *Ingress) cordonCount() int {
	if in.cordons == nil {
		return 0
	}
	return in.cordons.Count()
}

// runLoop handles events one at a time until the drain is complete.
func (in *Ingress) runLoop(ctx context.Context) {
	defer close(in.done)
	term := ctx.Done()
	for !in.closingClients || in.clients.open() > 0 || in.acceptQueuePending || in.predecessorAlive() {
		in.armSystemTimer()
		select {
		case e := <-in.events:
			in.handleEvent(e)
		case <-in.systemTimer.C:
			in.systemTimerAt = 0
			in.runExpiredTimers()
		case <-term:
			term = nil
			in.shutdownRequested = true
			in.log.Info("draining")
			in.after(in.acceptFor.Seconds(), in.stopAccepting)
		}
	}
}

// post hands the loop an event of another goroutine.
func (in *Ingress) post(at float64, do func()) {
	select {
	case in.events <- event{at, do}:
	case <-in.done:
	}
}

// handleEvent runs one event and what it left to do. A panic costs the event, not the process.
func (in *Ingress) handleEvent(e event) {
	in.now = max(in.now, e.occurredAt)
	in.runRecovered(e.run)
	for len(in.deferred) > 0 {
		do := in.deferred[0]
		in.deferred = in.deferred[1:]
		in.runRecovered(do)
	}
	in.deferred = nil
}

func (in *Ingress) runRecovered(do func()) {
	defer func() {
		if p := recover(); p != nil {
			in.logFault("event failed", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	do()
}

// stopAccepting ends the time in which new connections are taken, but for those that the kernel has accepted by now.
func (in *Ingress) stopAccepting() {
	listenerPaused := in.closingClients || in.successor.stage != handoverNone // the listener, for a process that takes over, or has tried to
	in.closingClients = true
	in.acceptingClients.Store(false)
	if !listenerPaused {
		in.drainingAcceptQueue.Store(true)
		in.acceptQueuePending = true
		in.listener.SetDeadline(time.Now().Add(acceptQueuePoll))
	} else {
		in.listener.Close() // who takes connections now has one of its own
	}
	in.every(closeIdleInterval, func() {
		if in.successor.stage == handoverNone { // else what idles is passed on
			in.clients.closeIdle(in)
		}
	})
	in.clients.closeIdle(in)
	if in.successor.stage != handoverActive { // else it ends by the hand-over
		in.after(max(in.killDelayS()-expireBeforeKillS-acceptAfterSIGTERM.Seconds(), 0), in.expireShutdown)
	}
}

// ---- Timers ----

// timer runs do on the loop at a time, unless it is stopped before. The heap is bounded by what is
// open: a request and an attempt hold one timer each until they end, the module and the loop a few.
type timer struct {
	expiresAt float64
	run       func()
	index     int // in the heap, -1 outside
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}

// after runs do on the loop, delay seconds from now.
func (in *Ingress) after(delay float64, do func()) *timer {
	t := &timer{expiresAt: in.now + delay, run: do}
	heap.Push(&in.timers, t)
	return t
}

// stopTimer lets go of a timer and all that it holds; nil and one that has run are fine.
func (in *Ingress) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&in.timers, t.index)
	}
}

func (in *Ingress) every(d time.Duration, do func()) {
	in.after(d.Seconds(), func() {
		in.every(d, do)
		do()
	})
}

// armSystemTimer sets the one system timer to the earliest of the heap, unless it rings before that anyway.
func (in *Ingress) armSystemTimer() {
	if len(in.timers) == 0 || in.systemTimerAt != 0 && in.systemTimerAt <= in.timers[0].expiresAt {
		return
	}
	in.systemTimerAt = in.timers[0].expiresAt
	in.systemTimer.Reset(max(0, time.Duration((in.systemTimerAt-in.clock.Now())*float64(time.Second))))
}

func (in *Ingress) runExpiredTimers() {
	now := in.clock.Now()
	for len(in.timers) > 0 && in.timers[0].expiresAt <= now {
		in.handleEvent(event{now, heap.Pop(&in.timers).(*timer).run})
	}
}

// ---- Host ----

// Post implements Host.
func (in *Ingress) Post(do func(now float64)) {
	at := in.clock.Now()
	in.post(at, func() { do(in.now) })
}

// After implements Host.
func (in *Ingress) After(delayS float64, do func()) { in.after(delayS, do) }

// LogFault implements Host.
func (in *Ingress) LogFault(message string, args ...any) { in.logFault(message, args...) }

// HasPredecessor implements Host.
func (in *Ingress) HasPredecessor() bool { return in.predecessor != nil }

// Now implements Host.
func (in *Ingress) Now() float64 { return in.now }

// ---- policy.Actions, but for those of requests and attempts ----

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

// logLimiter bounds how often faults of others are logged.
type logLimiter struct {
	second int64
	count  int
}

const maxFaultLogsPerSecond = 5

// logFault logs a fault of somebody else, unless there were many within this second. Loop only.
func (in *Ingress) logFault(message string, args ...any) {
	if second := int64(in.now); second != in.faultLimiter.second {
		in.faultLimiter = logLimiter{second: second}
	}
	if in.faultLimiter.count++; in.faultLimiter.count <= maxFaultLogsPerSecond {
		in.log.Warn(message, args...)
	}
}
