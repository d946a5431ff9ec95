package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"eiderspread/internal/base/monotime"
	"eiderspread/internal/dataplane/admin"
	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/membership/cordontable"
	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/observability/trace"
	"eiderspread/policy"
)

// inputMemoryFraction is the fraction of the memory limit that unfinished and queued input may use, in addition to the first buffer of each
// connection. The garbage collector may leave as much again uncollected, and the program itself needs some MB.
const inputMemoryFraction = 0.2

// sweepInterval is the interval at which connections that have been idle for too long are closed.
const sweepInterval = time.Second

// Ingress runs one gateway on real sockets. The event loop owns all fields, except where a comment says otherwise.
type Ingress struct {
	cfg    ingressconfig.Config
	log    *slog.Logger
	clock  monotime.Clock // any goroutine may use it
	events chan event
	done   chan struct{} // closed when the loop has ended

	decider Decider
	now     float64 // time of the current event; never goes backward

	timers        timerHeap
	systemTimer   *time.Timer // set for the first of timers
	systemTimerAt float64     // when systemTimer expires; 0: it is not set
	deferred      []func()    // report outcomes of actions, once the event method that requested the action has returned
	faultLimiter  logLimiter
	endLimiter    logLimiter // of the lines on attempts that got no whole reply: these must not displace lines on faults

	listener         *net.TCPListener
	listenerState    listenerState // of listener
	accept           *acceptRun    // accepts connections; nil: none are accepted
	acceptRetry      *timer        // runs resumeAccepting again after a failure
	acceptFor        time.Duration // how long after SIGTERM new connections are still accepted
	acceptingClients atomic.Bool   // whether this process is ready for clients; any goroutine may use it
	clients          clientTable
	requests         map[string]*request // by ID: those that are not answered yet or have attempts in flight
	ranRequests      ranRequests
	largeValues      map[*largeValue]struct{}
	inputBudget      inputbuffer.Budget // bounds the memory for unprocessed input and unread answers, in bytes; any goroutine may use it
	answerBudget     inputbuffer.Budget // bounds the part of inputBudget that unread answers take

	backends    backendPool
	writeBuffer []byte    // encodes the command that is being written
	peers       *peerLink // nil: there are no peer messages

	classes     []policy.Class                      // as in the newest settings
	maxAttempts int                                 // as in the newest settings
	schema      atomic.Pointer[callprotocol.Schema] // as in the newest settings; any goroutine may use it

	watcher           *discovery.Watcher
	endpointListStale bool // the last log line on the endpoint list said that it is stale

	admin       *admin.Server      // nil: there is no admin address
	cordons     *cordontable.Table // backends that operators cordoned; nil outside a fleet if there is no admin address
	cordonStore *cordontable.Store // keeps these cordons in a file; used by the admin server's goroutines; nil in a fleet or without an admin address

	drain         drainState
	drainLogLines int // lines on single connections, logged in this drain or shutdown
	shutdown      shutdownState

	successor           successorState                 // hand-over to a process that replaces this one
	predecessor         *predecessorState              // hand-over from the process that this one replaces; nil: none, or its link has ended
	predecessorRequests map[string]*predecessorRequest // by ID: held by the predecessor, decided on here; nil: there are none
	memberLock          *hotrestart.Lock               // held by the process that acts for a fleet member; nil outside a fleet or without an admin address

	counters    ingressCounters
	guardCounts guardCounters
}

// Run serves clients until ctx ends, then shuts down, and returns nil once the shutdown is complete. It also returns nil after a successor
// has taken over. From each configuration received on reread, which may be nil, Run applies the discovery address, the classes and the
// number of attempts.
func Run(ctx context.Context, cfg ingressconfig.Config, reread <-chan ingressconfig.Config, log *slog.Logger) error {
	var recorder *trace.Recorder
	err := RunWithDecider(ctx, cfg, reread, log, func(serveCtx context.Context, h Host) (Decider, error) {
		cfg.Settings.LoadShedding = cfg.OperatorConfig.Overload
		cfg.Settings.MaxAccounts, cfg.Settings.TimedIncarnation = cfg.MaxAccounts(), true
		gateway, err := policy.New(cfg.Settings.Settings, cfg.Seed, h.Now(), h)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if recorder, err = startTracing(serveCtx, cfg, h.Now(), gateway, log); err != nil {
			return nil, err
		}
		return gateway, nil
	})
	recorder.Wait()
	return err
}

// RunWithDecider is Run with a decider that newDecider creates. Goroutines that newDecider starts must end with the context that it
// receives. That context ends when RunWithDecider returns, after the shutdown.
func RunWithDecider(ctx context.Context, cfg ingressconfig.Config, reread <-chan ingressconfig.Config, log *slog.Logger,
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

// newIngress returns an ingress with open sockets. It reads nothing from them.
func newIngress(cfg ingressconfig.Config, log *slog.Logger) (*Ingress, error) {
	in := &Ingress{cfg: cfg, log: log, clock: monotime.NewClock(), events: make(chan event, eventQueueSize),
		done: make(chan struct{}), requests: map[string]*request{}, largeValues: map[*largeValue]struct{}{}, systemTimer: time.NewTimer(time.Hour),
		acceptFor: acceptAfterSIGTERM}
	in.now = in.clock.Now()
	in.inputBudget.Reset(int64(float64(cmp.Or(cfg.MemoryMB, ingressconfig.DefaultMemoryMB)<<20) * inputMemoryFraction))
	in.answerBudget.Reset(int64(float64(in.inputBudget.Available()) * unreadAnswerFraction))
	in.clients.init(freeDescriptors(cfg))
	in.backends.init(cfg)
	in.watcher = in.newWatcher()
	in.classes, in.maxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	in.schema.Store(callprotocol.NewSchema(cfg.Settings.Settings))
	if err := in.openListener(); err != nil {
		return nil, err
	}
	for _, open := range []func() error{in.openMemberLock, in.openAdmin, in.openPeers} {
		if err := open(); err != nil {
			in.closeSockets()
			return nil, err
		}
	}
	return in, nil
}

// openListener sets the listener for clients: the predecessor's listener if there is a predecessor, else a new one.
func (in *Ingress) openListener() (err error) {
	var notFound error
	if in.cfg.AdminAddr != "" {
		in.predecessor, notFound = connectPredecessor(in.cfg)
		if notFound != nil && !errors.Is(notFound, errNoPredecessor) {
			return notFound
		}
	}
	if in.predecessor != nil {
		in.listener, in.listenerState = in.predecessor.listener, listenerBound // it listens already, unless the predecessor is drained
		in.splitLimitsWithPredecessor()
		return nil
	}
	addr, err := net.ResolveTCPAddr("tcp", in.cfg.Listen)
	if err == nil {
		in.listener, err = net.ListenTCP("tcp", addr)
		in.listenerState = listenerOpen
	}
	switch {
	case errors.Is(err, syscall.EADDRINUSE) && notFound != nil:
		return fmt.Errorf("listen: %w; %w", err, notFound)
	case err != nil:
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// openMemberLock acquires the lock that only the process acting for this fleet member may hold, unless a predecessor still holds it.
func (in *Ingress) openMemberLock() error {
	if in.cfg.AdminAddr == "" || !in.cfg.FleetMember {
		return nil
	}
	in.memberLock = hotrestart.NewLock(os.TempDir(), in.cfg.Name)
	if in.predecessor != nil {
		return nil
	}
	return in.acquireMemberLock()
}

// openAdmin creates the table of cordoned backends, and listens on the admin address if there is one.
func (in *Ingress) openAdmin() (err error) {
	if in.cfg.AdminAddr != "" || in.cfg.FleetMember {
		in.cordons = cordontable.New()
	}
	if in.cfg.AdminAddr == "" {
		return nil
	}
	if !in.cfg.FleetMember {
		in.cordonStore = cordontable.NewStore(cordonStorePath(in.cfg.Name))
	}
	in.admin, err = admin.Listen(in.cfg.AdminAddr, &adminHandler{in})
	return err
}

// openPeers opens the socket for messages to and from the other ingresses, if the settings enable peer messages.
func (in *Ingress) openPeers() (err error) {
	if !in.cfg.Settings.PeerMessages {
		return nil
	}
	in.peers, err = in.newPeerLink()
	return err
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

// serve starts the goroutines of the ingress and runs the event loop until the shutdown is complete. It returns an error only if the
// hand-over from the predecessor fails.
func (in *Ingress) serve(ctx context.Context, reread <-chan ingressconfig.Config, decider Decider) error {
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
	in.every(countsInterval, in.logCounts)
	in.every(listAgeInterval, func() { in.logListAge(in.EndpointListAge()) })
	in.now = max(in.now, in.clock.Now())
	if in.predecessor != nil {
		in.continueDrain(in.predecessor)
	}
	in.resumeAccepting()
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
	in.logCounts()
	in.log.Info("shutdown complete", "requests_open", len(in.requests))
	return nil
}

// cordonCount returns the number of backends that operators have cordoned.
func (in *Ingress) cordonCount() int {
	if in.cordons == nil {
		return 0
	}
	return in.cordons.Count()
}
