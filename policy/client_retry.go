package policy

const (
	minTimeoutSamples = 10 // requests of a class before retries are recognized

	// commonTimeoutFraction is the fraction of a class's requests that must arrive with about the same time
	// left, for that to be a timeout of first requests.
	commonTimeoutFraction = 0.4
)

// looksLikeRetry distinguishes a client's retry from a first request by the seconds that are left until its
// deadline, and counts them. First requests of a class have one of few timeouts, each of them common; a retry
// has what is left of its first request's. common is the fraction of requests that makes a time common. Where
// no time is common, as clients draw a new one for each attempt, nothing is taken for a retry.
func (c *classState) looksLikeRetry(remainingS, commonFraction float64) bool {
	common := commonFraction * float64(c.clientTimeouts.Samples())
	similar := float64(c.clientTimeouts.Observe(remainingS / c.DeadlineS))
	mostSimilar := float64(c.clientTimeouts.ModeCount())
	return c.clientTimeouts.Samples() > minTimeoutSamples && similar < common && mostSimilar >= common
}

// mayBeRetrying reports whether the account's clients have cause to retry: a request was rejected here within
// a client's timeout, or they ask for more than the rate. Other clients with little time left are first
// requests in a hurry.
func (g *Gateway) mayBeRetrying(account *accountState, class *classState) bool {
	return g.now-account.rejectedAt < class.DeadlineS ||
		account.plan.Rate > 0 && g.localDemand(account)+account.otherDemand > account.plan.Rate
}
