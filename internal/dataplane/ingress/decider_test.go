package ingress

import "eiderspread/policy"

// The ingress looks for these abilities of its decider while it runs: one that the module lost would be passed over in silence.
var (
	_ Decider               = (*policy.Gateway)(nil)
	_ SnapshotDecider       = (*policy.Gateway)(nil)
	_ ReconfigurableDecider = (*policy.Gateway)(nil)
	_ StreamingDecider      = (*policy.Gateway)(nil)
	_ SheddingDecider       = (*policy.Gateway)(nil)
)
