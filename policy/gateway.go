package policy

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/clienttimeout"
	"eiderspread/internal/decision/decay"
	"eiderspread/internal/decision/endpoints"
	"eiderspread/internal/decision/failuredetector"
	"eiderspread/internal/decision/hashring"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/reportqueue"
	"eiderspread/internal/decision/slotlease"
)

// tickToken is the token of the only timer.
const tickToken uint64 = 1

const (
	tickIntervalS = 0.02 // seconds between two ticks
	ownStallS     = 0.1  // seconds without any event after which this process itself stood still
	demandTauS    = 1.5  // seconds, time constant of demand and work rates
	maxClassNames = 64   // class names known since the start

	initialLatencyFraction = 0.15 // of its latency objective, that an unknown class is taken to need

	// epsilon guards divisions and comparisons of units against rounding.
	epsilon = 1e-9
)

// Gateway decides for one gateway. It is not safe for concurrent use.
type Gateway struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand
	tracer   func(reason.Decision) // nil: decisions are not traced

	now       float64 // time of the current event, in Unix seconds
	startedAt float64 // Unix seconds
	resumedAt float64 // end of this process's last stall, in Unix seconds
	sweepAt   float64 // next eviction of unused state

	// Requests.
	requests map[string]*request // by ID, until completed and without attempts in flight
	active   []*request          // the same in order of arrival; completed ones leave with the next tick
	queue    []*request          // waiting for a backend or for a hard limit's bucket
	shedder  *loadshed.Shedder   // nil: load shedding is off

	// Configuration.
	classes           map[string]*classState // by name
	classList         []*classState          // by index; includes names that UpdateClasses removed
	maxPriorityWeight float64                // of any class
	plans             []*planState
	plansByName       map[string]*planState

	// Accounts.
	accounts        map[accountKey]*accountState
	prefetching     []*accountState // with units granted in advance
	waitQueues      []*accountState // owned here, with members that wait for a slot
	slotLeasingFrom float64         // Unix seconds; earlier slots that a former process leased may be in use

	// Peers.
	ring            hashring.Ring
	incarnation     uint8                            // of this process, in messages
	sequence        uint16                           // of the last message
	sequences       []peerprotocol.SequenceTracker   // of the messages of each peer
	failureDetector failuredetector.Detector         // peers that leave reports unanswered
	reports         reportqueue.Queue[*accountState] // due reports, by owner
	awaitingReply   []*accountState                  // with reports that were not answered yet
	messageRate     float64                          // of messages that come in, a second
	messageRateAt   float64                          // Unix seconds of messageRate
	gossip          peerprotocol.Gossip              // about backends, to be passed on

	// Backends.
	backends           endpoints.Table[backendState]
	backendsPerGateway float64    // listed ones, divided by the number of gateways
	warmCapacity       float64    // sum over usable backends of the fraction that each can serve by now
	admittedWork       decay.Rate // seconds of work a second that quotas admitted
	completedWork      decay.Rate // seconds of work a second that was answered with OK
	adaptiveLimit      float64    // attempts that may be in flight from here, at all backends together
	inFlight           int        // attempts
	latencyRatio       float64    // mean of latency over latency objective
	meanLatency        float64    // seconds, mean until an answer or a timeout
	lastSentAt         float64    // Unix seconds of the last attempt
	probeTokens        float64    // probes that may be sent
}

// classState is a class and what was measured of it.
type classState struct {
	Class
	index         int     // at each backend's scores
	tag           int     // names the class in gossip
	lowerClasses  int     // classes of lower priority weight
	meanLatency   float64 // seconds, of OK answers
	meanDeviation float64 // seconds, mean absolute deviation from meanLatency
	samples       int     // OK answers
	// clientTimeouts counts the fraction of the deadline that was left when requests arrived.
	clientTimeouts clienttimeout.Histogram
}

// planState is a plan and its index, which names it in peer messages.
type planState struct {
	Plan
	index int
}

// New returns a gateway at its start, at now in Unix seconds. Errors are those of Settings.Validate, or say
// that actions is nil. The list of backends follows through UpdateBackends.
func New(settings Settings, seed uint64, now float64, actions Actions) (*Gateway, error) {
	if err := settings.Validate(); err != nil || actions == nil {
		return nil, cmp.Or(err, errors.New("no actions given"))
	}
	g := &Gateway{
		settings:        settings,
		actions:         actions,
		rng:             rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		now:             now,
		startedAt:       now,
		requests:        map[string]*request{},
		classes:         map[string]*classState{},
		plansByName:     map[string]*planState{},
		accounts:        map[accountKey]*accountState{},
		backends:        endpoints.NewTable((*backendState).endpoint),
		sequences:       make([]peerprotocol.SequenceTracker, settings.Gateways),
		failureDetector: failuredetector.New(settings.Gateways),
		reports:         reportqueue.New[*accountState](settings.Gateways, now),
		slotLeasingFrom: now + slotlease.ReportLeaseS,
		adaptiveLimit:   initialLimit / float64(settings.Gateways), // for one backend; UpdateBackends scales it
	}
	g.incarnation = uint8(g.rng.Uint32())
	g.settings.PeerMessageRate = cmp.Or(max(settings.PeerMessageRate, 0), unlimitedMessageRate)
	g.setClasses()
	for i, plan := range settings.Plans {
		g.plans = append(g.plans, &planState{Plan: plan, index: i})
		g.plansByName[plan.Name] = g.plans[i]
	}
	g.ring = hashring.New(settings.Gateways, hashring.PointsPerGateway(settings.Gateways))
	g.shedder = loadshed.NewShedder(settings.LoadShedding, settings.Self, settings.Gateways, now, g.rng.Float64)
	g.actions.SetTimer(tickToken, tickIntervalS)
	return g, nil
}

// Shedder is this gateway's view of the fleet's overload; nil where load shedding is off.
func (g *Gateway) Shedder() *loadshed.Shedder { return g.shedder }

// advanceClock sets the time of the current event, and notes the end of a stall of this process.
func (g *Gateway) advanceClock(now float64) {
	if now-g.now > ownStallS {
		g.resumedAt = now
	}
	g.now = now
}

// HandleTimer handles a timer that was set by SetTimer: it does all work that no event brings. Unknown tokens
// are ignored.
func (g *Gateway) HandleTimer(now float64, token uint64) {
	g.advanceClock(now)
	if token != tickToken {
		return
	}
	g.actions.SetTimer(tickToken, tickIntervalS)
	g.drainQueue()
	g.checkActive()
	g.probeForLoad()
	g.tickShedder()
	g.serveWaitQueues()
	g.returnPrefetched()
	g.handleUnanswered()
	g.flushReports()
	if now > g.sweepAt {
		g.sweepAt = now + accountTTLS/4
		g.evictAccounts()
		g.backends.Prune(func(backend *backendState) bool { return backend.inFlight > 0 })
	}
}

// tickShedder moves the load-shedding level on, and sends it to a peer where the shedder asks for that.
func (g *Gateway) tickShedder() {
	to := loadshed.Tick(g.shedder, g.now, g.queue, g.meanUtilization)
	if to >= 0 && g.settings.PeerMessages {
		g.sendGossip(to, g.messageHeader())
	}
}

// UpdateClasses applies other classes and another limit of attempts a request. Requests in progress keep the
// class that they came with. On an error, that of config.Settings.WithClasses, nothing has changed.
func (g *Gateway) UpdateClasses(now float64, classes []Class, maxAttempts int) error {
	settings, err := g.settings.WithClasses(classes, maxAttempts, len(g.classList), maxClassNames)
	if err != nil {
		return err
	}
	g.advanceClock(now)
	g.settings = settings
	g.setClasses()
	g.drainQueue()
	return nil
}

// setClasses applies the settings' classes. What was measured of a class goes by its name, and stays while
// the class is not configured.
func (g *Gateway) setClasses() {
	g.maxPriorityWeight = 0
	clear(g.classes)
	for _, class := range g.settings.Classes {
		g.maxPriorityWeight = max(g.maxPriorityWeight, class.PriorityWeight)
		i := slices.IndexFunc(g.classList, func(known *classState) bool { return known.Name == class.Name })
		if i < 0 {
			i = len(g.classList)
			g.classList = append(g.classList, newClass(class, i))
			for _, backend := range g.backends.ByID {
				backend.Grow(len(g.classList))
			}
		} else if g.classList[i].Class != class {
			updated := *g.classList[i] // requests in progress keep the old one
			updated.Class, g.classList[i] = class, &updated
		}
		g.classes[class.Name] = g.classList[i]
		g.classList[i].lowerClasses = loadshed.CountLowerPriority(class.PriorityWeight, g.settings.Classes,
			func(other Class) float64 { return other.PriorityWeight })
	}
}

// newClass is a class of which nothing was measured yet.
func newClass(class Class, index int) *classState {
	return &classState{Class: class, index: index, tag: peerprotocol.ClassTag(class.Name),
		meanLatency:   initialLatencyFraction * class.LatencyObjectiveS,
		meanDeviation: initialLatencyFraction / 2 * class.LatencyObjectiveS}
}

// lowPriority is 0 for the class of the highest priority weight, towards 1 for lower ones.
func (g *Gateway) lowPriority(class *classState) float64 {
	return 1 - class.PriorityWeight/max(g.maxPriorityWeight, epsilon)
}

// classByPriority is the class that requests of a lowPriority are likely to be of: peers report no class.
func (g *Gateway) classByPriority(lowPriority float64) (best *classState) {
	closest := math.Inf(1)
	for _, class := range g.classList {
		if distance := math.Abs(g.lowPriority(class) - lowPriority); distance < closest {
			closest, best = distance, class
		}
	}
	return best
}
