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

	"eiderspread/internal/console"
	"eiderspread/internal/held"
	"eiderspread/internal/mono"
	"eiderspread/internal/roster"
	"eiderspread/internal/takeover"
	"eiderspread/internal/trace"
	"eiderspread/policy"
)

const (
	eventQueue = 1024
	// Of the memory, that unfinished and queued input may take beside a first buffer a connection. The
	// collector lets as much again lie, and the program itself needs some MB.
	inputShare = 0.2
	// New connections come for up to 0.4 s after a planned restart was announced, and what is lost
	// from 0.7 s on counts: the listener closes between the two.
	acceptAfterTerm = 500 * time.Millisecond
	sweepEvery      = time.Second
	leaveEvery      = 100 * time.Millisecond // between two looks for connections that may close, while it leaves
	// SIGKILL may follow the signal after the longest deadline, or so many seconds if that is longer, and so many more.
	killDeadline, killMore = 3.0, 0.7
	stopAhead              = 0.2 // so long before, a drain is over: what is still owed fails
)

// lastWords are the seconds for which such answers are written and read, before all connections close. Tests make it longer.
var lastWords = 0.15

// killAfter is how many seconds after the signal the process may be killed.
func (in *Ingress) killAfter() float64 {
	longest := 0.0
	for _, c := range in.classes {
		longest = max(longest, c.DeadlineS)
	}
	return min(longest, killDeadline) + killMore
}

// event is something that happened outside the loop, with the time at which it did.
type event struct {
	at float64
	do func()
}

// Gateway is what the loop tells whoever decides: the module in this process, a *policy.Gateway, or what stands
// for a module elsewhere. Its methods are called by the loop alone, one at a time, with the times of events in
// Unix seconds that never go back.
type Gateway interface {
	Request(now float64, q policy.Request)
	Outcome(now float64, o policy.Outcome)
	Gone(now float64, id string)
	Servers(now float64, list []policy.Server, whole bool)
	Timer(now float64, token uint64)
	Peer(now float64, from int, data []byte)
	Probed(now float64, p policy.ProbeResult)
}

// Host is what a Gateway that is no module may ask of the ingress beside its Actions.
type Host interface {
	policy.Actions
	Post(do func(now float64))       // runs do on the loop; of any goroutine, which waits while the loop is behind
	After(delayS float64, do func()) // runs do on the loop, so much later; loop only
	Note(what string, args ...any)   // logs a fault of somebody else, at a bounded rate; loop only
	Now() float64                    // loop only
	ListAge() roster.Age             // how old the list of backends is; of any goroutine
	Heir() bool                      // another process is replaced, and lasts for a while; before the first event
	Hold(id string, held bool)       // keeps off a backend whatever discovery says, until it is called back; loop only
}

// Ingress is one gateway on real sockets. Its loop alone owns the gateway and all that is not said
// to belong to another goroutine.
type Ingress struct {
	cfg    Config
	log    *slog.Logger
	clock  mono.Clock
	events chan event
	done   chan struct{} // closed when the loop has ended

	gate   Gateway
	now    float64 // what the module was last told; never goes back
	timers timerHeap
	wake   *time.Timer
	wakeAt float64
	soon   []func() // outcomes that an action yielded, for when its event method has returned
	noise  limiter
	bytes  []byte // of the command that is being written
	input  budget // what clients and backends have sent and nobody has used up yet; of all goroutines

	acceptFor   time.Duration // how long after the signal new connections are taken
	listener    *net.TCPListener
	clients     clientSet
	requests    map[string]*request
	flows       map[*largeValue]struct{} // large values on their way; as many as there are clients at most
	backends    backendSet
	watcher     *roster.Watcher
	held        *held.Table // what operators took out; nil without a door and out of a fleet
	store       *held.Store // the same in a file; of the door's goroutines; nil in a fleet
	console     *console.Server
	drain       drainState
	heirs       succession                 // toward a process that replaces this one
	heir        *inheritance               // toward the one that this one replaces, while that lasts
	elders      map[string]*elder          // requests that it holds and the gateway here decides on; see relay.go
	lock        *takeover.Lock             // of who speaks for a member of a fleet that has a door; nil elsewhere
	classes     []policy.Class             // that hold now
	maxAttempts int                        // the same
	words       atomic.Pointer[vocabulary] // of all goroutines
	taking      atomic.Bool                // clients are taken; of all goroutines
	oldList     bool                       // the list of backends was said to be old
	peers       *peerLink
	signalled   bool        // to end
	stopped     bool        // what was still owed has failed
	leaving     bool        // the listener is closed, connections close between requests
	last        atomic.Bool // the listener closes once it has nothing more; of the loop and of who accepts
	listening   bool        // that is still to come
	counts      counters
	guards      guardCounts
	drainLines  int // written of this drain, see logConnection
}

// Run serves until ctx ends and then drains. It returns nil after a complete drain. Of each
// configuration that comes on reread, which may be nil, the address of discovery, the classes and the attempts are taken
// over.
func Run(ctx context.Context, cfg Config, reread <-chan Config, log *slog.Logger) error {
	var why *trace.Recorder
	err := RunWith(ctx, cfg, reread, log, func(life context.Context, h Host) (Gateway, error) {
		cfg.Settings.Overload = cfg.Operator.Overload
		gate, err := policy.New(cfg.Settings.Settings, cfg.Seed, h.Now(), h)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if why, err = startTracing(life, cfg, h.Now(), gate, log); err != nil {
			return nil, err
		}
		return gate, nil
	})
	why.Wait()
	return err
}

// RunWith is Run with another decider. What make starts ends with the context that it gets, which ends when the
// drain is complete.
func RunWith(ctx context.Context, cfg Config, reread <-chan Config, log *slog.Logger,
	make func(context.Context, Host) (Gateway, error)) error {
	in, err := open(cfg, log)
	if err != nil {
		return err
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if cfg.Operator.Status != "" {
		if err := in.serveStatus(life); err != nil {
			in.close()
			return err
		}
	}
	gate, err := make(life, in)
	if err != nil {
		in.close()
		return err
	}
	return in.serve(ctx, reread, gate)
}

// open makes an ingress and its sockets; nothing is read from them yet.
func open(cfg Config, log *slog.Logger) (*Ingress, error) {
	in := &Ingress{cfg: cfg, log: log, clock: mono.New(), events: make(chan event, eventQueue),
		done: make(chan struct{}), requests: map[string]*request{}, flows: map[*largeValue]struct{}{}, wake: time.NewTimer(time.Hour),
		acceptFor: acceptAfterTerm}
	in.now = in.clock.Now()
	in.input.left.Store(int64(float64(cmp.Or(cfg.MemoryMB, defaultMemoryMB)<<20) * inputShare))
	in.clients.init(cfg.free())
	in.backends.init(cfg)
	in.watcher = in.newWatcher()
	in.classes, in.maxAttempts = cfg.Settings.Classes, cfg.Settings.MaxAttempts
	in.words.Store(newVocabulary(cfg.Settings.Settings))
	in.heirs.pause = make(chan struct{})
	if err := in.listen(); err != nil {
		return nil, err
	}
	var err error
	if cfg.Console != "" && cfg.Member {
		in.lock = takeover.NewLock(os.TempDir(), cfg.Name)
		if in.heir == nil { // else the process before has it still
			if err = in.takeLock(); err != nil {
				in.close()
				return nil, err
			}
		}
	}
	if cfg.Console != "" || cfg.Member {
		in.held = held.New()
	}
	if cfg.Console != "" {
		if !cfg.Member {
			in.store = held.NewStore(storePath(cfg.Name))
		}
		if in.console, err = console.Listen(cfg.Console, &door{in}); err != nil {
			in.close()
			return nil, err
		}
	}
	if cfg.Settings.Peers {
		if in.peers, err = in.openPeers(); err != nil {
			in.peers = nil
			in.close()
			return nil, err
		}
	}
	return in, nil
}

// listen has the clients' listener: of the process that this one replaces, if there is one.
func (in *Ingress) listen() (err error) {
	if in.cfg.Console != "" {
		if in.heir, err = inherit(in.cfg); err != nil {
			return err
		}
	}
	if h := in.heir; h != nil {
		in.listener = h.listener
		in.backends.most = int(float64(in.backends.whole) * bothShare)
		h.held = int(float64(in.input.left.Load()) * bothShare)
		in.input.take(h.held)
		LimitMemory(in.cfg.MemoryMB, MemoryShare*bothShare)
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

func (in *Ingress) close() {
	in.listener.Close()
	if in.heir != nil {
		in.heir.link.Close()
	}
	if in.heirs.asked != nil {
		in.heirs.asked.Close()
	}
	if in.heirs.link != nil {
		in.heirs.link.Close()
	}
	if in.console != nil {
		in.console.Close()
	}
	if in.peers != nil {
		in.peers.close()
	}
	if in.lock != nil {
		in.lock.Release()
	}
}

// serve starts the readers and runs the loop to the end of the drain.
func (in *Ingress) serve(ctx context.Context, reread <-chan Config, gate Gateway) error {
	defer in.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	in.gate = gate
	if in.heir != nil {
		if err := in.enter(); err != nil {
			close(in.done)
			return err
		}
	}
	if in.console != nil {
		in.openDoor(background)
	}
	in.takeList(in.cfg.Known, in.now)
	if in.heir != nil {
		in.adopt(in.heir.parts)
	}
	go in.watchDiscovery(background, reread)
	in.every(ageEvery, func() { in.sayAge(in.ListAge()) })
	in.taking.Store(true)
	go in.accept(in.listener, in.heirs.pause)
	if in.heir != nil {
		go in.receive(in.heir)
	}
	if in.console != nil {
		in.awaitSuccessor()
	}
	if in.peers != nil {
		go in.peers.receive()
	}
	in.every(sweepEvery, func() {
		in.backends.sweep(in)
		in.clients.sweep(in)
	})
	in.log.Info("serving", "listen", in.cfg.Listen, "backends", len(in.backends.byID), "held", in.heldCount(), "replaces_another", in.heir != nil)
	in.loop(ctx)
	in.log.Info("served to the end", "requests_open", len(in.requests))
	return nil
}

// heldCount is how many backends operators hold.
func (in *Ingress) heldCount() int {
	if in.held == nil {
		return 0
	}
	return in.held.Count()
}

// loop handles events one at a time until the drain is complete.
func (in *Ingress) loop(ctx context.Context) {
	defer close(in.done)
	term := ctx.Done()
	for !in.leaving || in.clients.open() > 0 || in.listening || in.lingers() {
		in.arm()
		select {
		case e := <-in.events:
			in.handle(e)
		case <-in.wake.C:
			in.wakeAt = 0
			in.fire()
		case <-term:
			term = nil
			in.signalled = true
			in.log.Info("draining")
			in.after(in.acceptFor.Seconds(), in.leave)
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

// handle runs one event and what it left to do. A panic costs the event, not the process.
func (in *Ingress) handle(e event) {
	in.now = max(in.now, e.at)
	in.guard(e.do)
	for len(in.soon) > 0 {
		do := in.soon[0]
		in.soon = in.soon[1:]
		in.guard(do)
	}
	in.soon = nil
}

func (in *Ingress) guard(do func()) {
	defer func() {
		if p := recover(); p != nil {
			in.note("event failed", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	do()
}

// leave ends the time in which new connections are taken, but for those that the kernel has accepted by now.
func (in *Ingress) leave() {
	rests := in.leaving || in.heirs.stage != none // the listener, for a process that takes over, or has tried to
	in.leaving = true
	in.taking.Store(false)
	if !rests {
		in.last.Store(true)
		in.listening = true
		in.listener.SetDeadline(time.Now().Add(lastLook))
	} else {
		in.listener.Close() // who takes connections now has one of its own
	}
	in.every(leaveEvery, func() {
		if in.heirs.stage == none { // else what idles is passed on
			in.clients.closeIdle(in)
		}
	})
	in.clients.closeIdle(in)
	if in.heirs.stage != handed { // else it ends by the hand-over
		in.after(max(in.killAfter()-stopAhead-acceptAfterTerm.Seconds(), 0), in.stop)
	}
}

// ---- Timers ----

// timer runs do on the loop at a time, unless it is stopped before. The heap is bounded by what is
// open: a request and an attempt hold one timer each until they end, the module and the loop a few.
type timer struct {
	at    float64
	do    func()
	index int // in the heap, -1 outside
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
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
	t := &timer{at: in.now + delay, do: do}
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

// arm sets the one system timer to the earliest of the heap, unless it rings before that anyway.
func (in *Ingress) arm() {
	if len(in.timers) == 0 || in.wakeAt != 0 && in.wakeAt <= in.timers[0].at {
		return
	}
	in.wakeAt = in.timers[0].at
	in.wake.Reset(max(0, time.Duration((in.wakeAt-in.clock.Now())*float64(time.Second))))
}

func (in *Ingress) fire() {
	now := in.clock.Now()
	for len(in.timers) > 0 && in.timers[0].at <= now {
		in.handle(event{now, heap.Pop(&in.timers).(*timer).do})
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

// Note implements Host.
func (in *Ingress) Note(what string, args ...any) { in.note(what, args...) }

// Heir implements Host.
func (in *Ingress) Heir() bool { return in.heir != nil }

// Now implements Host.
func (in *Ingress) Now() float64 { return in.now }

// ---- policy.Actions, but for those of requests and attempts ----

// SetTimer implements policy.Actions.
func (in *Ingress) SetTimer(token uint64, delayS float64) {
	in.after(max(delayS, 0), func() { in.gate.Timer(in.now, token) })
}

// Tell implements policy.Actions.
func (in *Ingress) Tell(gateway int, data []byte) {
	if in.peers != nil {
		in.peers.tell(gateway, data)
	}
}

// Log implements policy.Actions.
func (in *Ingress) Log(text string) { in.log.Info(text) }

// limiter bounds how often faults of others are logged.
type limiter struct {
	second int64
	n      int
}

const notesPerSecond = 5

// note logs a fault of somebody else, unless there were many within this second. Loop only.
func (in *Ingress) note(what string, args ...any) {
	if second := int64(in.now); second != in.noise.second {
		in.noise = limiter{second: second}
	}
	if in.noise.n++; in.noise.n <= notesPerSecond {
		in.log.Warn(what, args...)
	}
}
