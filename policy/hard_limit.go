package policy

import "eiderspread/internal/decision/hardlimit"

// hardLimitConfig is the account's hard limit as this gateway takes part in it.
func (g *Gateway) hardLimitConfig(account *accountState) hardlimit.Params {
	return hardlimit.Params{
		Rate:           account.plan.HardLimitRate,
		Burst:          account.plan.HardLimitBurst,
		Gateways:       account.gatewayCount,
		OwnsShared:     account.primaryOwner == g.settings.Self,
		LargestRequest: float64(g.settings.MaxRequestUnits),
	}
}

// hardLimitPays reports whether a bucket kept here holds the request's units.
func (g *Gateway) hardLimitPays(req *request) bool {
	limit, buckets := g.hardLimitConfig(req.account), &req.account.hardLimit
	return buckets.LocalCovers(limit, g.now, req.Units) || buckets.SharedCovers(limit, g.now, req.Units)
}

// hardLimitPaysSoon reports whether the buckets kept here will hold the request's units, after all that is
// unpaid already, while the request can still be sent. A hard limit refills faster than the quota, so that
// such waits are short.
func (g *Gateway) hardLimitPaysSoon(req *request) bool {
	limit, waitS := g.hardLimitConfig(req.account), req.latestFirstSend()-g.now
	return req.account.hardLimit.CoversWithin(limit, g.now, req.Units, waitS)
}

// hardLimitNeedsOwner reports whether the local bucket doesn't hold the request's units after all that is
// unpaid, and that a grant may: the primary owner pays it from the shared bucket. Without that owner the
// request may wait for the buckets kept here.
func (g *Gateway) hardLimitNeedsOwner(req *request) bool {
	account, limit := req.account, g.hardLimitConfig(req.account)
	return !account.hardLimit.LocalCovers(limit, g.now, account.hardLimit.Unpaid+req.Units) &&
		(g.owner(account) == account.primaryOwner || !g.hardLimitPaysSoon(req))
}
