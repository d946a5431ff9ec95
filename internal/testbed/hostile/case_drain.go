package hostile

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"eiderspread/internal/dataplane/sockets"
)

const (
	drainRecentRequest = 2 * time.Second         // age below which no request may be open at the end of a drain
	drainTimeSlack     = 50 * time.Millisecond   // of each time limit on sockets, by the protocol's page
	activateTime       = 2 * time.Second         // for an ingress to accept clients after operators activate it
	stallTime          = 150 * time.Millisecond  // for which an ingress may be held up
	stallPause         = 200 * time.Millisecond  // between two times for which it is held up
	longestSuccessor   = 300 * time.Millisecond  // lifetime of a process that is killed before it has taken over
	slowCommandPause   = 1500 * time.Millisecond // at most, between the parts of a command
	slowReadPause      = 60 * time.Millisecond   // between two answers that a client reads
	latestDrainEvent   = 3800 * time.Millisecond
	maxDrainEvents     = 3
	drainSoakStream    = 83
)

// drainClients are the clients beside the usual ones while an ingress is drained: some send without a pause, some send nothing, some write a command
// slowly, and some read slowly.
var drainClients = []pipelineProfile{{maxPause: time.Microsecond}, {maxPause: time.Microsecond}, {maxPause: time.Millisecond, rests: true},
	{maxPause: time.Millisecond, rests: true}, {maxPause: pipelineMaxPause, halvesPause: slowCommandPause}, {maxPause: pipelineMaxPause, halvesPause: slowCommandPause},
	{maxPause: pipelineMaxPause, readPause: slowReadPause}, {maxPause: pipelineMaxPause, readPause: slowReadPause}}

// drainFault is what happens to an ingress that is being drained.
type drainFault struct {
	name, what string
	happen     func(d *drainRun)
}

var drainFaults = []drainFault{
	{"pipeline", "", func(*drainRun) {}},
	{"stalls", ", and held up again and again", (*drainRun).stallUntilEnd},
	{"twice", ", and drained again", func(d *drainRun) { d.rig.callWhileRead(d.res, "/v1/ingress/drain") }},
	{"activate", ", activated, and drained anew", (*drainRun).activateAndDrain},
	{"reload", ", and reads its configuration again", (*drainRun).reload},
	{"silence", ", while discovery is silent", (*drainRun).silenceDiscovery},
	{"hang", ", while its backends hang", (*drainRun).hangBackends},
	{"upgrade", ", and upgraded", func(d *drainRun) { d.rig.upgradeWhileRead(d.res, 1, 0) }},
	{"upgrade-fails", ", and its upgrade fails", (*drainRun).failUpgrade},
	{"term", ", and gets SIGTERM, and SIGKILL at the earliest time", (*drainRun).terminateInBackground},
}

func init() {
	for _, f := range drainFaults {
		registerPipeline("drain-"+f.name, pipelineEvent{what: "is drained" + f.what, others: drainClients, happen: func(p *pipelineRun) {
			d := newDrainRun(p)
			d.play(f, time.Duration(d.rng.Int64N(int64(latestDrainEvent))))
		}})
	}
	registerPipeline("drain-soak", pipelineEvent{what: "is drained, and up to three faults are drawn from a seed", others: drainClients,
		happen: func(p *pipelineRun) { newDrainRun(p).playDrawn() }})
}

// drainRun is a drain of an ingress whose clients come again at once.
type drainRun struct {
	*pipelineRun
	rng       *rand.Rand
	drainedAt time.Time     // when the drain that holds was called
	ended     chan struct{} // closed when the process has ended after SIGTERM; nil: it got none
	names     []string      // of the faults so far
	repair    []func()      // ends what lasts beyond the drain
}

func newDrainRun(p *pipelineRun) *drainRun {
	return &drainRun{pipelineRun: p, rng: rand.New(rand.NewPCG(p.rig.cfg.Seed, drainSoakStream))}
}

// playDrawn drains the ingress, with faults at times that are drawn.
func (d *drainRun) playDrawn() {
	d.drain()
	times := make([]time.Duration, d.rng.IntN(maxDrainEvents+1))
	for i := range times {
		times[i] = time.Duration(d.rng.Int64N(int64(latestDrainEvent)))
	}
	slices.Sort(times)
	began := d.drainedAt
	for _, at := range times {
		d.inject(drainFaults[d.rng.IntN(len(drainFaults))], began.Add(at))
	}
	d.checkAndActivate()
}

// play drains the ingress, with a fault after a time.
func (d *drainRun) play(f drainFault, after time.Duration) {
	d.drain()
	d.inject(f, d.drainedAt.Add(after))
	d.checkAndActivate()
}

// inject has a fault happen at a time, unless the process is ending.
func (d *drainRun) inject(f drainFault, at time.Time) {
	time.Sleep(time.Until(at))
	if d.ended != nil {
		return
	}
	d.names = append(d.names, fmt.Sprintf("%s at %v", f.name, time.Since(d.drainedAt).Round(time.Millisecond)))
	f.happen(d)
}

func (d *drainRun) drain() {
	d.refuses.Store(true)
	d.rig.callWhileRead(d.res, "/v1/ingress/drain")
	d.drainedAt = time.Now()
}

// checkAndActivate looks at the clients' sockets at the end of the drain, whatever the process believes, and activates the ingress.
func (d *drainRun) checkAndActivate() {
	time.Sleep(time.Until(d.drainedAt.Add(operatorsDrain + drainTimeSlack)))
	for k, why := range d.openAtEnd(time.Now()) {
		d.res.breach("held %v after the drain call, opened %v before: %s; faults: %v", time.Since(d.drainedAt).Round(time.Millisecond),
			time.Since(k.openedAt).Round(time.Millisecond), why, d.names)
	}
	for _, repair := range d.repair {
		repair()
	}
	if d.ended != nil {
		<-d.ended
		if err := d.rig.ingress().Start(); err != nil {
			d.res.breach("start: %v", err)
		}
		return
	}
	d.activate()
	d.refuses.Store(false)
}

// openAtEnd returns the connections that a drained ingress must not hold, with the reasons.
func (d *drainRun) openAtEnd(at time.Time) map[*pipelinedConn]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := map[*pipelinedConn]string{}
	for k := range d.open {
		if why := k.mustBeClosed(at); why != "" {
			list[k] = why
		}
	}
	return list
}

// mustBeClosed says why the connection must not be open at the end of a drain; "" if it may be, or is closed.
func (k *pipelinedConn) mustBeClosed(at time.Time) string {
	raw, err := k.Conn.(syscall.Conn).SyscallConn()
	if err != nil || k.hasEnded() || sockets.PeerClosed(raw) {
		return ""
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.inFlight) == 0 {
		return "idle"
	}
	if age := at.Sub(k.inFlight[len(k.inFlight)-1].sentAt); age < drainRecentRequest {
		return fmt.Sprintf("%d commands in flight, the last sent %v before", len(k.inFlight), age.Round(time.Millisecond))
	}
	return ""
}

// activate has the ingress accept clients again.
func (d *drainRun) activate() {
	began := time.Now()
	for {
		status, err := d.rig.ingress().Call(context.Background(), http.MethodPost, "/v1/ingress/activate")
		if err == nil && status == http.StatusOK {
			break
		}
		if time.Since(began) > activateTime {
			d.res.breach("activate: status %d, error %v", status, err)
			return
		}
		time.Sleep(stallPause / 10)
	}
	if err := d.rig.ingress().Ready(time.Until(began.Add(activateTime))); err != nil {
		d.res.breach("after activate: %v", err)
	}
}

func (d *drainRun) activateAndDrain() {
	d.activate()
	d.drain()
}

func (d *drainRun) stallUntilEnd() {
	for end := d.drainedAt.Add(operatorsDrain); time.Now().Before(end); time.Sleep(stallPause) {
		d.rig.ingress().Stall(func() { time.Sleep(stallTime) })
	}
}

func (d *drainRun) silenceDiscovery() {
	d.rig.fleet.Discovery.SetSilent(true)
	d.repair = append(d.repair, func() { d.rig.fleet.Discovery.SetSilent(false) })
}

// hangBackends has half of the backends answer nothing that comes from now on until the end of the drain. Requests that wait for them grow old, and
// young ones come behind them.
func (d *drainRun) hangBackends() {
	hang := make(chan struct{})
	for i, b := range d.rig.Backends {
		if i%2 == 0 {
			b.setAnswerer(func(c net.Conn, call Call) error {
				<-hang
				return writeInPieces(c, encodeAnswer(valueOf(call.ID, len(call.ID))), 0)
			})
		}
	}
	d.repair = append(d.repair, func() { close(hang) })
}

func (d *drainRun) reload() {
	for range 3 {
		d.rig.ingress().HUP()
		time.Sleep(stallPause / 10)
	}
}

// failUpgrade starts an upgrade whose new process is killed. Clients whose connections it had read a reset. If the old process has ended by then,
// the program is started anew, and is not drained.
func (d *drainRun) failUpgrade() {
	before := d.rig.ingress().Incarnation()
	lifetime := time.Duration(d.rng.Int64N(int64(longestSuccessor)))
	d.kills.Store(time.Now().Add(lifetime + killVisible).UnixNano()) // until it is known when the process was killed
	if err := d.rig.ingress().ReplaceAndKillSuccessorAfter(lifetime); err != nil {
		d.res.breach("upgrade that fails: %v", err)
	}
	d.kills.Store(time.Now().UnixNano())
	if d.rig.ingress().Incarnation() != before {
		d.drain()
	}
}

func (d *drainRun) terminateInBackground() {
	d.ended = make(chan struct{})
	go func() {
		d.rig.ingress().TermAndKillAt(earliestKill, func() {})
		close(d.ended)
	}()
}
