package ingress

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
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

// inputMemoryFraction of the memory limit is for unfinished and queued input, beside a first buffer a connection. The collector lets as much
// again lie, and the program itself needs some MB.
const inputMemoryFraction = 0.2

// sweepInterval is how often idle connections are looked for.
const sweepInterval = time.Second

// Ingress is one gateway on real sockets. Its loop owns it, but for what says otherwise.
type Ingress struct {
	cfg    ingressconfig.Config
	log    *slog.Logger
	clock  monotime.Clock // of any goroutine
	events chan event
	done   chan struct{} // closed when the loop has ended

	decider Decider
	now     float64 // of the current event; never goes back

	timers        timerHeap
	systemTimer   *time.Timer // set to the first of timers
	systemTimerAt float64     // when it rings; 0: it is not set
	deferred      []func()    // outcomes that an action caused, for when the event method that asked for it has returned
	faultLimiter  logLimiter

	listener         *net.TCPListener
	acceptFor        time.Duration // from SIGTERM on, in which new connections are still accepted
	acceptingClients atomic.Bool   // whether this process is ready for clients; of any goroutine
	clients          clientTable
	requests         map[string]*request // by id: those that are owed an answer or have attempts out
	largeValues      map[*largeValue]struct{}
	inputBudget      inputbuffer.Budget // for what clients and backends have sent and nobody has used up yet; of any goroutine

	backends    backendPool
	writeBuffer []byte // of the command that is being written
	peers       *peerLink

	classes     []policy.Class                      // of the newest settings
	maxAttempts int                                 // of the newest settings
	schema      atomic.Pointer[callprotocol.Schema] // of the newest settings; of any goroutine

	watcher           *discovery.Watcher
	endpointListStale bool // as last logged

	admin       *admin.Server      // nil: there is no admin address
	cordons     *cordontable.Table // what operators took out; nil without an admin address and out of a fleet
	cordonStore *cordontable.Store // the same in a file, of the admin server's goroutines; nil in a fleet

	drain         drainState
	drainLogLines int // written of this drain or shutdown
	shutdown      shutdownState

	successor           successorState                 // toward a process that replaces this one
	predecessor         *predecessorState              // toward the process that this one replaces; nil once that has ended
	predecessorRequests map[string]*predecessorRequest // that it holds and the decider here decides on; nil: there are none
	memberLock          *hotrestart.Lock               // held by the process that acts for this member of a fleet; nil without an admin address and outside a fleet

	counters    ingressCounters
	guardCounts guardCounters
}

// Run serves until ctx ends and then drains. It returns nil after a complete drain. Of each configuration that comes on reread, which may be
// nil, the address of discovery, the classes and the number of attempts are taken over.
func Run(ctx context.Context, cfg ingressconfig.Config, reread <-chan ingressconfig.Config, log *slog.Logger) error {
	var recorder *trace.Recorder
	err := RunWithDecider(ctx, cfg, reread, log, func(serveCtx context.Context, h Host) (Decider, error) {
		cfg.Settings.LoadShedding = cfg.OperatorConfig.Overload
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

// RunWithDecider is Run with a decider that newDecider makes. What newDecider starts ends with the context that it gets, which ends when the
// drain is complete.
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

// newIngress opens an ingress's sockets; nothing is read from them yet.
func newIngress(cfg ingressconfig.Config, log *slog.Logger) (*Ingress, error) {
	in := &Ingress{cfg: cfg, log: log, clock: monotime.NewClock(), events: make(chan event, eventQueueSize),
		done: make(chan struct{}), requests: map[string]*request{}, largeValues: map[*largeValue]struct{}{}, systemTimer: time.NewTimer(time.Hour),
		acceptFor: acceptAfterSIGTERM}
	in.now = in.clock.Now()
	in.inputBudget.Reset(int64(float64(cmp.Or(cfg.MemoryMB, ingressconfig.DefaultMemoryMB)<<20) * inputMemoryFraction))
	in.clients.init(freeDescriptors(cfg))
	in.backends.init(cfg)
	in.watcher = in.newWatcher()
	in.classes, in.maxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	in.schema.Store(callprotocol.NewSchema(cfg.Settings.Settings))
	in.successor.pauseAccept = make(chan struct{})
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

// openListener has the clients' listener: the predecessor's, if there is one.
func (in *Ingress) openListener() (err error) {
	if in.cfg.AdminAddr != "" {
		if in.predecessor, err = connectPredecessor(in.cfg); err != nil {
			return err
		}
	}
	if in.predecessor != nil {
		in.listener = in.predecessor.listener
		in.splitLimitsWithPredecessor()
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

// openMemberLock takes the lock of the process that acts for this member of a fleet, unless a predecessor still holds it.
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

// openAdmin listens for operators' calls and makes the table of what they cordon.
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

// openPeers opens the socket toward the other ingresses, if there are any.
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

// serve starts the readers and runs the loop to the end of the drain.
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

// cordonCount is how many backends operators have cordoned.
func (in *Ingress) cordonCount() int {
	if in.cordons == nil {
		return 0
	}
	return in.cordons.Count()
}
