package forwarder

import "eiderspread/internal/dataplane/ingress"

// The ingress detects optional interfaces of its decider with type assertions at run time. If RemoteGateway stopped implementing one, the
// ingress would silently do without it.
var (
	_ ingress.Decider          = (*RemoteGateway)(nil)
	_ ingress.MigratingDecider = (*RemoteGateway)(nil)
)
