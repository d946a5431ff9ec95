package forwarder

import "eiderspread/internal/dataplane/ingress"

// The ingress looks for these abilities of its decider while it runs: one that RemoteGateway lost would be passed over in silence.
var (
	_ ingress.Decider          = (*RemoteGateway)(nil)
	_ ingress.MigratingDecider = (*RemoteGateway)(nil)
)
