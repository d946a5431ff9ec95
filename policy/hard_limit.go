package policy

import "eiderspread/internal/decision/hardlimit"

// hardLimitConfig returns the account's hard limit as it applies to this gateway.
func (g *Gateway) hardLimitConfig(account *accountState) hardlimit.Params {
	return hardlimit.Params{
		Rate:           account.plan.HardLimitRate,
		Burst:          account.plan.HardLimitBurst,
		Gateways:       account.gatewayCount,
		OwnsShared:     account.primaryOwner == g.settings.Self,
		LargestRequest: float64(g.settings.MaxRequestUnits),
	}
}

// hardLimitCovers reports whether one of this gateway's buckets holds the request's units.
func (g *Gateway) hardLimitCovers(req *request) bool {
	limit, buckets := g.hardLimitConfig(req.account), &req.account.hardLimit
	return buckets.LocalCovers(limit, g.now, req.Units) || buckets.SharedCovers(limit, g.now, req.Units)
}

// hardLimitCoversInTime reports whether this gateway's buckets will hold the request's units, in addition to
// all unpaid units, while the request can still be sent. The wait is short, as a hard limit refills faster
// than the quota.
func (g *Gateway) hardLimitCoversInTime(req *request) bool {
	limit, waitS := g.hardLimitConfig(req.account), req.latestFirstSend()-g.now
	return req.account.hardLimit.CoversWithin(limit, g.now, req.Units, waitS)
}

// hardLimitNeedsOwner reports whether the request needs a grant: the local bucket doesn't hold its units in
// addition to all unpaid units, and the primary owner may pay for the grant from the shared bucket. While
// another gateway is the owner, a request that this gateway's buckets cover in time needs no grant.
func (g *Gateway) hardLimitNeedsOwner(req *request) bool {
	account, limit := req.account, g.hardLimitConfig(req.account)
	return !account.hardLimit.LocalCovers(limit, g.now, account.hardLimit.Unpaid+req.Units) &&
		(g.owner(account) == account.primaryOwner || !g.hardLimitCoversInTime(req))
}
