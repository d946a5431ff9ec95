package policy

import (
	"math"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/decay"
	"eiderspread/internal/decision/hardlimit"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/slotlease"
)

// accountTTLS is after how many seconds without use an account is forgotten. It is longer than memberTTLS:
// the count that then starts at 0 must not look to the owner like units handed back.
const accountTTLS = 10.0

// accountKey identifies an account by a hash of its name and the index of its plan. One that moves to another
// plan is another account.
type accountKey struct{ key, plan uint32 }

// accountState is what a gateway knows of one account. Times are in Unix seconds, demands in units a second.
type accountState struct {
	key          uint32 // upper half of point, names the account in peer messages
	point        uint64 // on the ring
	plan         *planState
	firstGateway int     // its gateways are gatewayCount ones from this number on, modulo all
	gatewayCount int     // 0: known from peers' reports alone
	primaryOwner int     // first of its gateways on the ring, suspected or not
	lastUsedAt   float64 // by a request, a report or a reply
	rejectedAt   float64 // when a request was last rejected here

	// Usage here.
	demand         decay.Rate // units a second that arrive here, admitted or not
	admittedUnits  float64    // total since the start
	inFlight       int        // attempts
	unsentAdmitted int        // requests that were admitted and not sent yet

	// As a member: what the owner last replied. Empty at the owner.
	ownerReplied    bool    // a reply came, or this gateway was the owner before
	available       float64 // units in the owner's window
	availableAt     float64 // when that was received
	ackedUnits      float64 // of admittedUnits, known to the owner
	otherDemand     float64 // of the other gateways
	otherInFlight   int     // attempts from other gateways, and slots leased to them
	backoffUntil    float64 // requests are denied here without a quota request
	ownerLeases     bool    // the owner leases slots
	leasedSlots     slotlease.MemberLeases
	prefetched      float64 // units granted in advance
	prefetchedUntil float64 // then they go back to the owner

	// As a member: exchange with the owner.
	pending           []*request   // awaiting the owner, in order of arrival
	reportedPending   int          // how many of them, from the first on, are in a report
	inWaitQueue       bool         // in the owner's queue for a slot: a reply comes on its own
	reportQueued      bool         // in Gateway.reports
	reportTo          int          // gateway of the last report
	unansweredSince   float64      // when the report was sent that waits for a reply; 0: none
	unansweredReports int          // in a row
	awaitingReply     bool         // in Gateway.awaitingReply
	localWindow       quota.Bucket // this gateway's share of the quota, for use while the owner is silent

	// As the owner.
	ledger     *quota.Ledger   // nil: this gateway does not count the account
	slotLeases slotlease.Table // slots leased to members, and members that wait for one

	hardLimit hardlimit.Limiter // buckets of the hard limit that are kept here
}

// newAccount is an account that was never heard of: its window is full, its buckets of the hard limit fill
// from this gateway's start on.
func (g *Gateway) newAccount(key uint32, plan *planState) *accountState {
	account := &accountState{key: key, plan: plan, primaryOwner: g.settings.Self, lastUsedAt: g.now,
		rejectedAt: math.Inf(-1), available: plan.Burst, availableAt: g.now,
		hardLimit: hardlimit.NewLimiter(g.startedAt)}
	g.accounts[accountKey{key, uint32(plan.index)}] = account
	return account
}

// accountFor finds or makes the account of a request.
func (g *Gateway) accountFor(incoming Request) *accountState {
	point, plan := peerprotocol.HashPoint(incoming.Account), g.plansByName[incoming.Plan]
	account := g.accounts[accountKey{uint32(point >> 32), uint32(plan.index)}]
	if account == nil {
		account = g.newAccount(uint32(point>>32), plan)
	}
	if account.gatewayCount == 0 {
		account.point = point
		account.firstGateway, account.gatewayCount = incoming.FirstGateway, incoming.GatewayCount
		if account.gatewayCount <= 0 || account.gatewayCount > g.settings.Gateways {
			account.firstGateway, account.gatewayCount = 0, g.settings.Gateways
		}
		account.primaryOwner = g.findOwner(account, false)
	}
	account.lastUsedAt = g.now
	return account
}

// owner is the gateway that counts the account: its primary owner, or the next of its gateways on the ring
// that isn't suspected.
func (g *Gateway) owner(account *accountState) int {
	switch {
	case !g.settings.PeerMessages || account.gatewayCount == 1:
		return g.settings.Self
	case account.gatewayCount == 0 || g.peerAlive(account.primaryOwner):
		return account.primaryOwner
	}
	return g.findOwner(account, true)
}

// findOwner is the first of the account's gateways on the ring, with skipSuspected the first that isn't
// suspected; this gateway if there is none.
func (g *Gateway) findOwner(account *accountState, skipSuspected bool) int {
	serves := func(gateway int) bool {
		return (gateway-account.firstGateway+g.settings.Gateways)%g.settings.Gateways < account.gatewayCount &&
			(!skipSuspected || g.peerAlive(gateway))
	}
	if gateway, ok := g.ring.Find(account.point, serves); ok {
		return gateway
	}
	return g.settings.Self
}

// peerAlive reports whether a gateway isn't suspected to be down.
func (g *Gateway) peerAlive(gateway int) bool {
	return gateway == g.settings.Self || !g.failureDetector.Suspected(gateway, g.now)
}

// localDemand is what the account's clients ask for at this gateway, admitted or not, in units a second.
func (g *Gateway) localDemand(account *accountState) float64 {
	return account.demand.Now(g.now, demandTauS)
}

// totalDemand is what the account's clients ask for at all gateways, as its owner knows it, in units a
// second.
func (g *Gateway) totalDemand(account *accountState, ledger *quota.Ledger) float64 {
	return ledger.DemandNow(g.now, demandTauS) + g.localDemand(account)
}

// evictAccounts forgets accounts that were not used for accountTTLS and stand as if they had never been heard
// of, and members of ledgers that were not heard of for memberTTLS.
func (g *Gateway) evictAccounts() {
	for key, account := range g.accounts {
		idle := g.now-account.lastUsedAt > accountTTLS && account.inFlight == 0 && len(account.pending) == 0 &&
			!account.reportQueued && !account.awaitingReply
		if idle && g.isPristine(account) {
			delete(g.accounts, key)
		} else if account.ledger != nil {
			account.ledger.DropInactive(g.now, memberTTLS)
		}
	}
}

// isPristine reports whether the account's window and hard limit are as full as those of one that was never
// heard of.
func (g *Gateway) isPristine(account *accountState) bool {
	plan, gateways := account.plan, float64(max(account.gatewayCount, 1))
	available := 0.0
	if account.ledger != nil {
		available = g.ledger(account).Available
	} else {
		available = g.availableNow(account)
	}
	local := account.localWindow.Level + plan.Rate/gateways*(g.now-account.localWindow.UpdatedAt)
	full := plan.Rate <= 0 ||
		available >= plan.Burst-epsilon && local >= max(plan.Burst/gateways, float64(g.settings.MaxRequestUnits))
	return full && account.hardLimit.Full(g.hardLimitConfig(account), g.now)
}
