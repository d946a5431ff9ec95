package policy

import (
	"math"
	"math/rand/v2"
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/clienttimeout"
	"eiderspread/internal/decision/decay"
	"eiderspread/internal/decision/endpoints"
	"eiderspread/internal/decision/failuredetector"
	"eiderspread/internal/decision/hardlimit"
	"eiderspread/internal/decision/hashring"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/outlier"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/reportqueue"
	"eiderspread/internal/decision/slotlease"
)

// What a gateway keeps, and plain helpers. What is done with it is in policy.go.

type classState struct {
	Class
	index, tag                 int     // its place at each server; its name between gateways
	lowerClasses               int     // classes that are worth less a unit
	meanLatency, meanDeviation float64 // mean latency of good answers, and its mean deviation
	samples                    int
	clientTimeouts             clienttimeout.Histogram // what was left of the deadline when tries came
}

type planState struct {
	Plan
	index int
}

type backendState struct {
	endpoints.Endpoint
	outlier.Scores
	inFlight                    int
	relativeLatency             float64 // latency against the class's mean
	lastSentAt, lastProbeAt     float64 // last attempt, last probe
	meanInFlight                float64 // mean attempts out here of late
	utilization, utilizationAt  float64
	connectFailures, rejections int // attempts that found no connection or lost it, and that it turned away, since it last answered
	ejectedUntil                float64
	slowStartLog                decay.Window // while cold
}

func (b *backendState) entry() *endpoints.Endpoint { return &b.Endpoint }

type record = peerprotocol.Record
type accountKey struct{ key, plan uint32 } // an account that moves to another plan is another account

type attemptState struct {
	backend                         *backendState
	sentAt                          float64
	done, cancelled, silenceCounted bool // called: cancelled by us; seen: its silence was taken in
}

type request struct {
	Request
	loadshed.AdmissionPriority
	loadshed.QueueWait             // for a server
	class                          *classState
	plan                           *planState
	account                        *accountState
	objectiveDeadline, latestStart float64
	priority, lowPriority          float64 // cheap: 0 for the dearest class, towards 1 for the cheapest
	attempts                       []attemptState
	inFlight                       int
	firstRan                       *backendState // first server where it may have run
	firstRanAt                     float64
	completed, awaitingOwner       bool // asking: the owner's word is awaited
	charged                        bool // charged to its quota
	hardLimitUnpaid                bool // its units to the ceiling
	written                        bool // to a server, whole
	streaming, clientRetry         bool // later: taken for a client's later try
}

// accountState is what a gateway keeps of one customer.
type accountState struct {
	key                                uint32
	hash                               uint64
	plan                               *planState
	firstGateway, gatewayCount         int // entries 0: known from others' reports alone
	primaryOwner                       int // first on the ring of its gateways
	lastUsedAt                         float64
	rejectedAt                         float64    // when a request was last refused for want of quota or room
	admittedUnits                      float64    // own count of what was let in, ever
	ackedUnits                         float64    // as the owner last took it in
	demand                             decay.Rate // units a second asked for here
	inFlight, unsentAdmitted           int        // attempts out; requests let in under a cap that were not sent yet
	ownerLeases, inWaitQueue           bool       // the owner lends places; requests here wait in its line
	leasedSlots                        slotlease.MemberLeases
	slotLeases                         slotlease.Table // of places, where this gateway owns it
	ownerReplied                       bool            // the owner has reported
	available, availableAt             float64         // as last reported
	otherDemand                        float64         // what the others are asked for
	otherInFlight                      int
	backoffUntil                       float64    // the owner refuses until then
	pending                            []*request // wait for the owner's word
	reportedPending, unansweredReports int        // asked: of them, told to the owner
	unansweredSince                    float64    // since when a report is unanswered, 0: none
	awaitingReply                      bool       // in Gateway.waiting
	reportQueued                       bool       // to be reported
	reportTo                           int        // to this gateway
	hardLimit                          hardlimit.Limiter
	localWindow                        quota.Bucket // where no owner answers
	prefetched, prefetchedUntil        float64      // units that the owner has set aside for what is still to come, and until when
	ledger                             *quota.Ledger
}

// Gateway decides for one gateway.
type Gateway struct {
	settings                          Settings
	actions                           Actions
	rng                               *rand.Rand
	now                               float64
	startedAt, leaseFrom              float64 // until then it lends no places: what is out is not known
	incarnation                       uint8
	sequence                          uint16
	resumedAt                         float64                          // when this gateway last came back from a gap of its own
	messageRate, messageRateAt        float64                          // messages a second that come in
	reports                           reportqueue.Queue[*accountState] // reports that are due
	awaitingReply                     []*accountState                  // with reports unanswered
	prefetching                       []*accountState                  // with units set aside ahead
	waitQueues                        []*accountState                  // with members that wait for a place
	adaptiveLimit, backendsPerGateway float64                          // attempts out here, at all servers; servers a gateway
	inFlight                          int                              // attempts out
	latencyRatio, meanLatency         float64                          // means of latency over aim, of time until an answer or a time-out
	lastSentAt, probeTokens           float64                          // probes: that may be sent
	gossip                            peerprotocol.Gossip
	classList                         []*classState
	maxPriorityWeight                 float64 // of any class, a unit
	ring                              hashring.Ring
	classes                           map[string]*classState
	plans                             []*planState
	plansByName                       map[string]*planState
	backends                          endpoints.Table[backendState]
	requests                          map[string]*request
	active, queue                     []*request

	accounts                    map[accountKey]*accountState
	sequences                   []peerprotocol.SequenceTracker // of peers' messages
	failureDetector             failuredetector.Detector       // of peers, and who is silent
	admittedWork, completedWork decay.Rate                     // seconds of it a second that quotas let in, and that were answered well
	warmCapacity                float64                        // of their capacity that the servers have by now, in sum
	nextSweepAt                 float64
	shedder                     *loadshed.Shedder     // nil: off
	tracer                      func(reason.Decision) // nil: nobody asks for reasons
}

// addInFlight counts the customer's attempts out. Under a cap its owner hears of one that it lent no place to, and at once of
// one that ended where others may wait for its place; where no place is lent, of each.
func (g *Gateway) addInFlight(req *request, n int) {
	account := req.account
	if account == nil {
		return
	}
	if account.inFlight += n; req.plan.MaxConcurrency == 0 {
		return
	}
	switch tight := 2*(account.inFlight+account.otherInFlight+1) >= req.plan.MaxConcurrency; {
	case g.owner(account) == g.settings.Self:
	case !account.ownerLeases, n > 0 && account.leasedSlots.Count(g.now) < account.inFlight:
		g.queueReport(account, false)
	case n < 0 && tight:
		g.queueReport(account, true)
	}
}

// complete notes that a request has had its final answer, and forgets it once nothing is out. What was never sent never counted.
func (g *Gateway) complete(req *request) {
	req.completed = true
	if req.hardLimitUnpaid {
		req.hardLimitUnpaid = false
		req.account.hardLimit.Unpaid -= req.Units
	}
	if req.charged && len(req.attempts) == 0 {
		req.charged = false
		req.account.unsentAdmitted--
		g.charge(req.account, -req.Units)
	}
	if req.inFlight == 0 {
		delete(g.requests, req.ID)
	}
}

// freeSlots is how many places of a capped customer are free here at its owner. A gateway that has just started knows nothing of what is out.
func (g *Gateway) freeSlots(account *accountState) int {
	if g.now < g.leaseFrom && g.settings.PeerMessages && account.gatewayCount != 1 {
		return 0
	}
	return account.plan.MaxConcurrency - account.inFlight - account.unsentAdmitted - account.slotLeases.Leased(g.now, -1)
}

// atConcurrencyLimit tells that no other attempt of the customer may begin here now.
func (g *Gateway) atConcurrencyLimit(account *accountState) bool {
	return account.plan.MaxConcurrency > 0 && (account.inFlight >= account.plan.MaxConcurrency || g.owner(account) == g.settings.Self && g.freeSlots(account)+account.unsentAdmitted <= 0)
}

// classByPriority is the class that a request so cheap must be of.
func (g *Gateway) classByPriority(lowPriority float64) (best *classState) {
	closest := math.Inf(1)
	for _, class := range g.classList {
		if d := math.Abs(1 - class.PriorityWeight/max(g.maxPriorityWeight, 1e-9) - lowPriority); d < closest {
			closest, best = d, class
		}
	}
	return best
}

// localDemand is what the customer asks for here, passed or not, in units a second.
func (g *Gateway) localDemand(account *accountState) float64 {
	return account.demand.Now(g.now, demandTauS)
}

// walkRing goes on the ring from the customer's point to the first gateway that serves it, and with skip to the first that is not silent.
func (g *Gateway) walkRing(account *accountState, skipSilent bool) int {
	if gateway, ok := g.ring.Find(account.hash, func(gateway int) bool {
		return (gateway-account.firstGateway+g.settings.Gateways)%g.settings.Gateways < account.gatewayCount && (!skipSilent || g.peerAlive(gateway))
	}); ok {
		return gateway
	}
	return g.settings.Self
}

// expectReply has the customer's reports looked after until they are answered.
func (g *Gateway) expectReply(account *accountState) {
	if !account.awaitingReply {
		account.awaitingReply = true
		g.awaitingReply = append(g.awaitingReply, account)
	}
}

func (g *Gateway) messageHeader() []byte {
	g.sequence++
	return peerprotocol.AppendHeader(make([]byte, 0, peerprotocol.MaxLen), g.incarnation, g.sequence)
}

// meanUtilization is the use of the servers' cores, by what was reported of late.
func (g *Gateway) meanUtilization() (mean float64, fresh bool) {
	n := 0.0
	for _, backend := range g.backends.Listed {
		if g.now-backend.utilizationAt < utilizationTTLS {
			n++
			mean += backend.utilization
		}
	}
	return mean / max(n, 1), n > 0
}

// availableNow is the room as a member knows it.
func (g *Gateway) availableNow(account *accountState) float64 {
	if account.ledger != nil {
		// Ownership moved on: what was counted here is the best start for a member.
		account.available, account.availableAt, account.ownerReplied, account.ackedUnits, account.ledger = g.ledger(account).Available, g.now, true, account.admittedUnits, nil
	}
	return min(account.plan.Burst, account.available+account.plan.Rate*(g.now-account.availableAt)) - max(account.admittedUnits-account.ackedUnits, 0)
}

// Shedder is what this gateway knows of how much too much is asked of the fleet; nil where it looks for none.
func (g *Gateway) Shedder() *loadshed.Shedder { return g.shedder }

// advanceClock sets the time, and notes when this gateway itself stood still.
func (g *Gateway) advanceClock(now float64) {
	if now-g.now > ownStallS {
		g.resumedAt = now
	}
	g.now = now
}

// accountFor finds or makes what is kept of a customer.
func (g *Gateway) accountFor(q Request) *accountState {
	hash, plan := peerprotocol.HashPoint(q.Account), g.plansByName[q.Plan]
	account := g.accounts[accountKey{uint32(hash >> 32), uint32(plan.index)}]
	if account == nil {
		account = g.newAccount(uint32(hash>>32), plan)
	}
	if account.gatewayCount == 0 {
		account.hash, account.firstGateway, account.gatewayCount = hash, q.FirstGateway, q.GatewayCount
		if account.gatewayCount <= 0 || account.gatewayCount > g.settings.Gateways {
			account.firstGateway, account.gatewayCount = 0, g.settings.Gateways
		}
		account.primaryOwner = g.walkRing(account, false)
	}
	account.lastUsedAt = g.now
	return account
}

// setClasses makes the settings' classes. What is known of one goes by its name, also while it is not among them.
func (g *Gateway) setClasses() {
	g.maxPriorityWeight = 0
	clear(g.classes)
	for _, class := range g.settings.Classes {
		g.maxPriorityWeight = max(g.maxPriorityWeight, class.PriorityWeight)
		i := slices.IndexFunc(g.classList, func(cls *classState) bool { return cls.Name == class.Name })
		if i < 0 {
			i = len(g.classList)
			g.classList = append(g.classList, &classState{Class: class, index: i, tag: peerprotocol.ClassTag(class.Name), meanLatency: initialLatencyFraction * class.LatencyObjectiveS,
				meanDeviation: initialLatencyFraction / 2 * class.LatencyObjectiveS})
			for _, backend := range g.backends.ByID {
				backend.Grow(len(g.classList))
			}
		} else if g.classList[i].Class != class {
			updated := *g.classList[i]
			updated.Class, g.classList[i] = class, &updated
		}
		g.classes[class.Name] = g.classList[i]
		g.classList[i].lowerClasses = loadshed.CountLowerPriority(class.PriorityWeight, g.settings.Classes, func(k Class) float64 { return k.PriorityWeight })
	}
}

// updateWarmCapacity brings what the servers can do up to now.
func (g *Gateway) updateWarmCapacity() {
	g.warmCapacity = 0
	for _, backend := range g.backends.Listed {
		if backend.State == Up && g.now >= backend.ejectedUntil {
			g.warmCapacity += backend.WarmFraction(g.now, g.settings.SlowStartS, g.settings.SlowStartMinFraction)
		}
	}
}

// evictAccounts drops customers unused for so long of which nothing is left to tell.
func (g *Gateway) evictAccounts(age float64) {
	for id, account := range g.accounts {
		if g.now-account.lastUsedAt > age && account.inFlight == 0 && len(account.pending) == 0 && !account.reportQueued && !account.awaitingReply && g.isPristine(account) {
			delete(g.accounts, id)
		} else if account.ledger != nil {
			account.ledger.DropInactive(g.now, memberTTLS)
		}
	}
}

// isPristine tells that window and ceiling are as full as those of a customer never heard of.
func (g *Gateway) isPristine(account *accountState) bool {
	plan, n := account.plan, float64(max(account.gatewayCount, 1))
	available := 0.0
	if account.ledger != nil {
		available = g.ledger(account).Available
	} else {
		available = g.availableNow(account)
	}
	local := account.localWindow.Level + plan.Rate/n*(g.now-account.localWindow.UpdatedAt)
	full := plan.Rate <= 0 || available >= plan.Burst-1e-9 && local >= max(plan.Burst/n, float64(g.settings.MaxRequestUnits))
	return full && account.hardLimit.Full(g.hardLimitConfig(account), g.now)
}

// UpdateClasses takes other classes, and another number of attempts, while requests are under way.
func (g *Gateway) UpdateClasses(now float64, classes []Class, attempts int) error {
	settings, err := g.settings.WithClasses(classes, attempts, len(g.classList), maxClassNames)
	if err != nil {
		return err
	}
	g.advanceClock(now)
	g.settings = settings
	g.setClasses()
	g.drainQueue()
	return nil
}

// HandleResponseStart takes the start of a streamed answer: the attempt belongs to the client now.
func (g *Gateway) HandleResponseStart(now float64, id string, attempt int) {
	g.advanceClock(now)
	if req := g.requests[id]; req != nil {
		req.streaming = true
	}
}

// HandleDisconnect takes the news that the request needs no answer any more.
func (g *Gateway) HandleDisconnect(now float64, id string) {
	g.advanceClock(now)
	if req := g.requests[id]; req != nil && !req.completed {
		g.complete(req)
	}
}

// applyLoadReport takes in a load report.
func (g *Gateway) applyLoadReport(backend *backendState, load *Load) {
	if load != nil && load.Utilization >= 0 {
		backend.utilization, backend.utilizationAt = load.Utilization, g.now
		g.gossip.Add(peerprotocol.GossipEntry{BackendHash: backend.ShortHash, ClassTag: peerprotocol.UtilizationTag, Value: load.Utilization, At: g.now})
	}
}

// admission is what quota and ceiling say of a first send.
type admission int

const (
	denied admission = iota
	admitted
	admittedPrefetched // out of what was set aside ahead
	ownerRequired      // the owner is asked
)

// startAttempt counts an attempt as out.
func (g *Gateway) startAttempt(req *request, backend *backendState) {
	backend.inFlight++
	g.inFlight++
	req.inFlight++
	g.lastSentAt, backend.lastSentAt = g.now, g.now
	if req.charged && len(req.attempts) == 0 {
		req.account.unsentAdmitted--
	}
	g.addInFlight(req, 1)
	req.attempts = append(req.attempts, attemptState{backend: backend, sentAt: g.now})
}

// finishAttempt finds the attempt and counts it as done; nil if there is none out.
func (g *Gateway) finishAttempt(outcome Outcome) (*request, *attemptState) {
	req := g.requests[outcome.ID]
	if req == nil || outcome.Attempt < 0 || outcome.Attempt >= len(req.attempts) || req.attempts[outcome.Attempt].done {
		return nil, nil
	}
	attempt := &req.attempts[outcome.Attempt]
	attempt.done = true
	attempt.backend.inFlight--
	g.inFlight--
	req.inFlight--
	g.addInFlight(req, -1)
	return req, attempt
}
