package policy

import (
	"fmt"
	"maps"
	"math"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/decay"
	"eiderspread/internal/decision/hardlimit"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/slotlease"
)

// accountTTLS is the time in seconds after which an unused account may be evicted. It exceeds memberTTLS, so
// that the owner has dropped this gateway's count by then. The new count starts at 0 and would otherwise look
// to the owner like returned units.
const accountTTLS = 10.0

const (
	// fullTableTTLS is the time in seconds after which an unused account that no other gateway counts may be
	// evicted while the table of accounts is full.
	fullTableTTLS = 1.0
	// fullTableSweepS is the shortest time between two sweeps of a full table of accounts, in seconds.
	fullTableSweepS = 0.25
)

// accountKey identifies an account by a hash of its name and the index of its plan. An account that changes
// its plan is a new account.
type accountKey struct{ key, plan uint32 }

// accountState is a gateway's state of one account. Times are in Unix seconds, demands in units per second.
type accountState struct {
	key          uint32 // upper half of point; identifies the account in peer messages
	point        uint64 // position on the ring
	plan         *planState
	firstGateway int     // first of gatewayCount consecutive gateways of the account, modulo all gateways
	gatewayCount int     // 0: unknown, as only peers' reports have named the account
	primaryOwner int     // first of the account's gateways on the ring, suspected or not
	lastUsedAt   float64 // last request, or last report received or sent
	rejectedAt   float64 // last rejection of a request at this gateway

	// Usage at this gateway.
	demand         decay.Rate // units per second that arrive here, admitted or not
	admittedUnits  float64    // units admitted since newAccount created this state
	inFlight       int        // attempts in flight
	unsentAdmitted int        // requests that were admitted and not sent yet

	// As a member: state from the owner's last reply. Not maintained at the owner.
	ownerReplied    bool    // the owner has replied, or this gateway was the owner before
	available       float64 // units in the owner's window
	availableAt     float64 // time at which available was received
	ackedUnits      float64 // part of admittedUnits that the owner has counted
	otherDemand     float64 // demand at the other gateways, in units per second
	otherInFlight   int     // attempts from other gateways, and slots leased to them
	backoffUntil    float64 // time until which requests are denied without a quota request
	ownerLeases     bool    // the owner leases slots
	leasedSlots     slotlease.MemberLeases
	prefetched      float64 // units granted in advance
	prefetchedUntil float64 // time at which unused prefetched units are returned to the owner

	// As a member: exchange with the owner.
	pending           []*request   // requests that wait for the owner's decision, in order of arrival
	reportedPending   int          // requests at the front of pending that the last report included
	inWaitQueue       bool         // account is in the owner's wait queue: the owner replies when a slot is free
	reportQueued      bool         // the account is in Gateway.reports
	reportTo          int          // gateway to which the last report was queued
	unansweredSince   float64      // start of the wait for the owner's reply; 0: no reply is awaited
	unansweredReports int          // consecutive reports without a reply
	awaitingReply     bool         // the account is in Gateway.awaitingReply
	localWindow       quota.Bucket // this gateway's share of the quota, used while the owner is silent

	// As the owner.
	ledger     *quota.Ledger   // nil: this gateway does not count the units that the account uses
	slotLeases slotlease.Table // slots leased to members, and members that wait for one

	hardLimit hardlimit.Limiter // this gateway's buckets of the hard limit
}

// newAccount adds an account without earlier state: its window is full, and its buckets of the hard limit
// have filled from empty since this gateway's start.
func (g *Gateway) newAccount(key uint32, plan *planState) *accountState {
	account := &accountState{key: key, plan: plan, primaryOwner: g.settings.Self, lastUsedAt: g.now,
		rejectedAt: math.Inf(-1), available: plan.Burst, availableAt: g.now,
		hardLimit: hardlimit.NewLimiter(g.startedAt)}
	g.accounts[accountKey{key, uint32(plan.index)}] = account
	return account
}

// accountFor returns the account of a request, and adds it if it is unknown. The first request sets the
// account's gateways and primary owner.
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

// accountAllowed reports whether the account of a request is known or may be added. While the table of
// accounts is full, accounts are evicted that can be added again later without a change of their quota.
func (g *Gateway) accountAllowed(incoming Request) bool {
	plan := g.plansByName[incoming.Plan]
	if g.settings.MaxAccounts == 0 || len(g.accounts) < g.settings.MaxAccounts || plan == nil {
		return true
	}
	key := accountKey{uint32(peerprotocol.HashPoint(incoming.Account) >> 32), uint32(plan.index)}
	if g.accounts[key] != nil {
		return true
	}
	if g.now < g.fullTableSweepAt {
		g.rejectedAccounts++
		return false
	}
	if g.rejectedAccounts > 0 {
		g.actions.Log(fmt.Sprintf("table of accounts full: requests of new accounts rejected: %d",
			g.rejectedAccounts))
		g.rejectedAccounts = 0
	}
	g.fullTableSweepAt = g.now + fullTableSweepS
	maps.DeleteFunc(g.accounts, func(_ accountKey, account *accountState) bool {
		return g.countedHereOnly(account) && g.unusedFor(account, fullTableTTLS) && g.isPristine(account)
	})
	return len(g.accounts) < g.settings.MaxAccounts
}

// countedHereOnly reports whether no other gateway counts the account or has units of it.
func (g *Gateway) countedHereOnly(account *accountState) bool {
	return g.owner(account) == g.settings.Self && (account.ledger == nil || len(account.ledger.Members) == 0)
}

// unusedFor reports whether the account has not been used for ttlS seconds, and nothing refers to it.
func (g *Gateway) unusedFor(account *accountState, ttlS float64) bool {
	return g.now-account.lastUsedAt > ttlS && account.inFlight == 0 && account.unsentAdmitted == 0 &&
		account.prefetched == 0 && len(account.pending) == 0 && !account.reportQueued && !account.awaitingReply
}

// owner returns the gateway that counts the account: its primary owner or, while that is suspected, the next
// of the account's gateways on the ring that isn't suspected.
func (g *Gateway) owner(account *accountState) int {
	switch {
	case !g.settings.PeerMessages || account.gatewayCount == 1:
		return g.settings.Self
	case account.gatewayCount == 0 || g.peerAlive(account.primaryOwner):
		return account.primaryOwner
	}
	return g.findOwner(account, true)
}

// findOwner returns the first of the account's gateways on the ring, or with skipSuspected the first that
// isn't suspected. If there is none, it returns this gateway.
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

// peerAlive reports whether a gateway isn't suspected. A gateway never suspects itself.
func (g *Gateway) peerAlive(gateway int) bool {
	return gateway == g.settings.Self || !g.failureDetector.Suspected(gateway, g.now)
}

// localDemand returns the account's demand at this gateway, admitted or not, in units per second.
func (g *Gateway) localDemand(account *accountState) float64 {
	return account.demand.Now(g.now, demandTauS)
}

// totalDemand returns the account's demand at all gateways, as known to its owner, in units per second.
func (g *Gateway) totalDemand(account *accountState, ledger *quota.Ledger) float64 {
	return ledger.DemandNow(g.now, demandTauS) + g.localDemand(account)
}

// evictAccounts evicts accounts that are idle, have not been used for accountTTLS and are pristine. It drops
// members that have not reported for memberTTLS from the ledgers of the other accounts.
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

// isPristine reports whether the account's windows and hard limit are full, so that its eviction and later
// re-creation does not change its quota.
func (g *Gateway) isPristine(account *accountState) bool {
	plan, gateways := account.plan, float64(max(account.gatewayCount, 1))
	available := 0.0
	if account.ledger != nil {
		available = g.ledger(account).Available
	} else {
		available = g.availableAsMember(account)
	}
	local := account.localWindow.Level + plan.Rate/gateways*(g.now-account.localWindow.UpdatedAt)
	full := plan.Rate <= 0 ||
		available >= plan.Burst-epsilon && local >= max(plan.Burst/gateways, float64(g.settings.MaxRequestUnits))
	return full && account.hardLimit.Full(g.hardLimitConfig(account), g.now)
}
