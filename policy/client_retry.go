package policy

const (
	minTimeoutSamples = 10 // requests of a class before client retries are recognized

	// commonTimeoutFraction is the smallest fraction of a class's requests that arrive with about the same
	// time left until the deadline at which this time is taken for a timeout of first requests.
	commonTimeoutFraction = 0.4
)

// looksLikeRetry reports whether a request looks like a client retry by the seconds left until its deadline,
// and adds these to the class's histogram. First requests of a class use a few timeouts, each of them
// common; a retry has only the rest of its first request's timeout. A time is common if at least
// commonFraction of the requests have about that time left. If no time is common, as with clients that
// choose a new timeout for each attempt, no request is taken for a retry.
func (c *classState) looksLikeRetry(remainingS, commonFraction float64) bool {
	common := commonFraction * float64(c.clientTimeouts.Samples())
	similar := float64(c.clientTimeouts.Observe(remainingS / c.DeadlineS))
	mostSimilar := float64(c.clientTimeouts.ModeCount())
	return c.clientTimeouts.Samples() > minTimeoutSamples && similar < common && mostSimilar >= common
}

// mayBeRetrying reports whether the account's clients have cause to retry: this gateway rejected a request of
// the account less than class.DeadlineS seconds ago, or the account's demand exceeds its rate. Without such a
// cause, requests with little time left are first requests with a short timeout.
func (g *Gateway) mayBeRetrying(account *accountState, class *classState) bool {
	return g.now-account.rejectedAt < class.DeadlineS ||
		account.plan.Rate > 0 && g.localDemand(account)+account.otherDemand > account.plan.Rate
}
