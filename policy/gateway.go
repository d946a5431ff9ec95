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

// tickToken is the token of the tick, the only timer that a Gateway sets.
const tickToken uint64 = 1

const (
	tickIntervalS   = 0.02 // seconds between two ticks
	stallThresholdS = 0.1  // seconds without an event, above which this process is taken to have stalled
	demandTauS      = 1.5  // seconds, time constant of the demand and work rates
	maxClassNames   = 64   // highest number of class names known since the start

	// initialLatencyFraction, times the latency objective, is the mean latency assumed for a class without
	// samples.
	initialLatencyFraction = 0.15

	// epsilon prevents divisions by 0 and tolerates rounding errors in comparisons of units.
	epsilon = 1e-9
)

// Gateway makes the decisions of one gateway. It is not safe for concurrent use.
type Gateway struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand
	tracer   func(reason.Decision) // nil: decisions are not traced

	now       float64 // time of the current event, in Unix seconds
	startedAt float64 // Unix seconds
	resumedAt float64 // end of this process's last stall, in Unix seconds
	sweepAt   float64 // time of the next eviction of unused state, in Unix seconds

	// Requests.
	requests map[string]*request // by ID; removed once completed with no attempt in flight
	active   []*request          // the same in order of arrival; the tick removes completed ones
	queue    []*request          // admitted, waiting for a backend or for a hard limit's bucket
	shedder  *loadshed.Shedder   // nil: load shedding is off

	// Configuration.
	classes           map[string]*classState // by name
	classList         []*classState          // by index, including classes that UpdateClasses removed
	maxPriorityWeight float64                // highest of the configured classes
	plans             []*planState           // by index
	plansByName       map[string]*planState

	// Accounts.
	accounts         map[accountKey]*accountState
	rejectedAccounts int             // requests of new accounts rejected since the last sweep of a full table
	fullTableSweepAt float64         // Unix seconds; until then a full table of accounts is not swept again
	prefetching      []*accountState // accounts with prefetched units
	waitQueues       []*accountState // accounts owned here with members in their wait queue
	slotLeasingFrom  float64         // Unix seconds; until then slots leased by a former process may be in use

	// Peers.
	ring            hashring.Ring
	incarnation     uint8                            // of this process, sent in messages
	sequence        uint16                           // number of the last message sent
	sequences       []peerprotocol.SequenceTracker   // of messages received, by peer
	failureDetector failuredetector.Detector         // suspects peers that leave reports unanswered
	reports         reportqueue.Queue[*accountState] // due reports, by owner
	awaitingReply   []*accountState                  // accounts with unanswered reports
	messageRate     float64                          // messages received a second, as of messageRateAt
	messageRateAt   float64                          // Unix seconds
	gossip          peerprotocol.Gossip              // entries about backends to be forwarded

	// Backends.
	backends           endpoints.Table[backendState]
	backendsPerGateway float64    // number of listed backends, divided by the number of gateways
	warmCapacity       float64    // sum of the warm fractions of all usable backends
	admittedWork       decay.Rate // admitted work, in seconds of work a second
	completedWork      decay.Rate // work answered with OK, in seconds of work a second
	adaptiveLimit      float64    // highest number of attempts in flight from here, at all backends together
	inFlight           int        // attempts in flight from here
	latencyRatio       float64    // mean of latency divided by latency objective
	meanLatency        float64    // seconds, mean time from a send until an answer or a timeout
	lastSentAt         float64    // time of the last attempt, in Unix seconds
	probeTokens        float64    // number of probes that may be sent now
}

// classState is a class of requests and its measured statistics.
type classState struct {
	Class
	index         int     // in Gateway.classList and in the error scores of each backend
	tag           int     // identifies the class in gossip
	lowerClasses  int     // number of classes with a lower priority weight
	meanLatency   float64 // seconds, of OK answers
	meanDeviation float64 // seconds, mean absolute deviation from meanLatency
	samples       int     // number of OK answers measured
	// clientTimeouts counts requests by the fraction of their deadline that was left on arrival.
	clientTimeouts clienttimeout.Histogram
}

// planState is a plan and its index, which identifies the plan in peer messages.
type planState struct {
	Plan
	index int
}

// New returns a gateway that starts at now, in Unix seconds. It returns the error of Settings.Validate, or an
// error if actions is nil. The gateway has no backends until the first call of UpdateBackends.
func New(settings Settings, seed uint64, now float64, actions Actions) (*Gateway, error) {
	if err := settings.Validate(); err != nil || actions == nil {
		return nil, cmp.Or(err, errors.New("actions must not be nil"))
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
		adaptiveLimit:   initialLimit / float64(settings.Gateways), // for one backend; scaled by UpdateBackends
	}
	if g.incarnation = uint8(g.rng.Uint32()); settings.TimedIncarnation {
		g.incarnation = timedIncarnation(now, g.incarnation)
	}
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

// Shedder returns this gateway's load-shedding state; nil if load shedding is off.
func (g *Gateway) Shedder() *loadshed.Shedder { return g.shedder }

// advanceClock sets the time of the current event. If the last event is more than stallThresholdS old, it
// records now as the end of a stall of this process.
func (g *Gateway) advanceClock(now float64) {
	if now-g.now > stallThresholdS {
		g.resumedAt = now
	}
	g.now = now
}

// HandleTimer handles the expiry of a timer that Actions.SetTimer requested. Each tick schedules the next one
// and does the periodic work. Unknown tokens are ignored.
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

// tickShedder updates the load-shedding level, and sends it to the peer that the shedder selects, if any.
func (g *Gateway) tickShedder() {
	to := loadshed.Tick(g.shedder, g.now, g.queue, g.meanUtilization)
	if to >= 0 && g.settings.PeerMessages {
		g.sendGossip(to, g.messageHeader())
	}
}

// UpdateClasses replaces the classes and the highest number of attempts of a request. Requests in progress
// keep the class with which they arrived. On an error, that of config.Settings.WithClasses, the settings stay
// unchanged.
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

// setClasses applies the settings' classes. Measured statistics belong to the class name, and are kept while
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
			updated := *g.classList[i] // requests in progress keep the old configuration
			updated.Class, g.classList[i] = class, &updated
		}
		g.classes[class.Name] = g.classList[i]
		g.classList[i].lowerClasses = loadshed.CountLowerPriority(class.PriorityWeight, g.settings.Classes,
			func(other Class) float64 { return other.PriorityWeight })
	}
}

// newClass returns a class without samples.
func newClass(class Class, index int) *classState {
	return &classState{Class: class, index: index, tag: peerprotocol.ClassTag(class.Name),
		meanLatency:   initialLatencyFraction * class.LatencyObjectiveS,
		meanDeviation: initialLatencyFraction / 2 * class.LatencyObjectiveS}
}

// lowPriority returns 0 for the class with the highest priority weight, and up to 1 for classes with a lower
// one.
func (g *Gateway) lowPriority(class *classState) float64 {
	return 1 - class.PriorityWeight/max(g.maxPriorityWeight, epsilon)
}

// classByPriority returns the class whose lowPriority is closest to the given value. Peers report the
// lowPriority of a request and not its class.
func (g *Gateway) classByPriority(lowPriority float64) (best *classState) {
	closest := math.Inf(1)
	for _, class := range g.classList {
		if distance := math.Abs(g.lowPriority(class) - lowPriority); distance < closest {
			closest, best = distance, class
		}
	}
	return best
}
