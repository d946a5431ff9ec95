package ingress

import "eiderspread/policy"

// The ingress finds these interfaces of its decider by type assertions at run time: without this check, an interface that policy.Gateway no
// longer implements would be ignored without an error.
var (
	_ Decider               = (*policy.Gateway)(nil)
	_ SnapshotDecider       = (*policy.Gateway)(nil)
	_ ReconfigurableDecider = (*policy.Gateway)(nil)
	_ StreamingDecider      = (*policy.Gateway)(nil)
	_ SheddingDecider       = (*policy.Gateway)(nil)
)
