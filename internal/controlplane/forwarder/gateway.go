package forwarder

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"

	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/policy"
)

// tickTimer is the token of the tick timer, the only timer that a RemoteGateway sets.
const tickTimer = 1

// linkState says whether a RemoteGateway maintains links to planners.
type linkState uint8

const (
	linksPending    linkState = iota // links are dialled at the next tick, after the state of a predecessor, if any, has been restored
	linksDialled                     // links are dialled, and redialled when they end
	linksHandedOver                  // another process maintains the links
)

// RemoteGateway implements ingress.Decider for a forwarder: planners decide instead of a decision module in this process. All of it runs on
// the ingress's loop, except for dialling planners and reading from their links.
type RemoteGateway struct {
	ingress.Host // carries out the planners' decisions
	core         *Core
	cfg          FileConfig
	tls          *tls.Config // nil: links are not encrypted
	incarnation  uint64      // of this forwarder; planners see it. A new process takes it over together with the promises

	ctx        context.Context // ends with the process
	linkState  linkState
	closeLinks context.CancelFunc // set in state linksDialled
	links      []*transport.Conn  // by planner; nil: no link

	closedBytesIn, closedBytesOut uint64 // totals of the links that have ended
}

var _ ingress.MigratingDecider = (*RemoteGateway)(nil)

var errNotForwarderState = errors.New("the state handed over by the predecessor is not the state of a forwarder")

// NewGatewayFunc returns a constructor of RemoteGateways for ingress.RunWithDecider.
func NewGatewayFunc(cfg FileConfig) func(context.Context, ingress.Host) (ingress.Decider, error) {
	return func(ctx context.Context, host ingress.Host) (ingress.Decider, error) {
		g := &RemoteGateway{Host: host, cfg: cfg, incarnation: rand.Uint64(), links: make([]*transport.Conn, len(cfg.PlannerAddrs)), ctx: ctx}
		var err error
		if g.tls, err = cfg.TLS.Config(); err != nil {
			return nil, err
		}
		settings := cfg.Ingress.Settings
		g.core = NewCore(Config{
			Params:         cfg.Params,
			Number:         cfg.Number,
			Classes:        settings.Classes,
			Plans:          settings.Plans,
			MaxRetryAfterS: settings.MaxRetryAfterS,
			MaxAttempts:    settings.MaxAttempts,
			Seed:           cfg.Ingress.Seed ^ g.incarnation,
		}, host.Now(), g)
		if cfg.StatusAddr != "" {
			if err := g.serveStatus(ctx, host.HasPredecessor()); err != nil {
				return nil, err
			}
		}
		host.SetTimer(tickTimer, TickIntervalS)
		return g, nil
	}
}

// HandleRequest implements ingress.Decider.
func (g *RemoteGateway) HandleRequest(now float64, req policy.Request) {
	g.core.HandleRequest(now, req)
}

// HandleOutcome implements ingress.Decider.
func (g *RemoteGateway) HandleOutcome(now float64, outcome policy.Outcome) {
	g.core.HandleOutcome(now, outcome)
}

// HandleDisconnect implements ingress.Decider.
func (g *RemoteGateway) HandleDisconnect(now float64, id string) { g.core.HandleDisconnect(now, id) }

// HandleProbeResult implements ingress.Decider.
func (g *RemoteGateway) HandleProbeResult(now float64, result policy.ProbeResult) {
	g.core.HandleProbeResult(now, result)
}

// UpdateBackends implements ingress.Decider and does nothing: planners watch discovery themselves.
func (g *RemoteGateway) UpdateBackends(float64, []policy.Backend, bool) {}

// HandlePeerMessage implements ingress.Decider and does nothing: forwarders do not exchange peer messages.
func (g *RemoteGateway) HandlePeerMessage(float64, int, []byte) {}

// HandleTimer implements ingress.Decider.
func (g *RemoteGateway) HandleTimer(now float64, _ uint64) {
	g.SetTimer(tickTimer, TickIntervalS)
	if g.linkState == linksPending {
		g.dialPlanners()
	}
	g.core.Tick(now)
}

// SendToPlanner implements Output.
func (g *RemoteGateway) SendToPlanner(planner int, msgs ...transport.Message) {
	if link := g.links[planner]; link != nil {
		link.Send(msgs...)
	}
}

// PlannerWritable implements Output.
func (g *RemoteGateway) PlannerWritable(planner int) bool {
	link := g.links[planner]
	return link != nil && link.Writable()
}

// SetCordoned implements Output.
func (g *RemoteGateway) SetCordoned(backend string, cordoned bool) {
	g.Cordon(backend, cordoned)
	g.LogFault("operators cordoned or uncordoned a backend", "id", backend, "cordoned", cordoned)
}

// Migrate implements ingress.MigratingDecider. It closes all links; only Reclaim has them dialled again.
func (g *RemoteGateway) Migrate(now float64) []snapshot.Part {
	state := g.core.Migrate(now)
	state.Incarnation = g.incarnation
	if g.linkState == linksDialled {
		g.closeLinks()
	}
	g.linkState = linksHandedOver
	for planner, link := range g.links {
		if link != nil {
			g.removeLink(planner, link)
		}
	}
	return state.Split()
}

// Resume implements ingress.MigratingDecider. If the state can't be read, the promises in it may still be valid, so the forwarder grants
// none for one lease.
func (g *RemoteGateway) Resume(now, shift float64, parts []snapshot.Part) error {
	state, ok := snapshot.Join(parts)
	if !ok {
		g.core.Reclaim(now)
		return errNotForwarderState
	}
	state.Shift(shift)
	g.incarnation = state.Incarnation
	if !g.core.Resume(now, state) {
		g.LogFault("predecessor had a different number of cells: no promises are granted for one lease")
	}
	return nil
}

// RecordOrder implements ingress.MigratingDecider.
func (g *RemoteGateway) RecordOrder(now float64, order snapshot.Order) {
	g.core.RecordOrder(now, order)
}

// Reclaim implements ingress.MigratingDecider. It takes a new incarnation, which planners see when it dials them again.
func (g *RemoteGateway) Reclaim(now float64) {
	g.linkState, g.incarnation = linksPending, rand.Uint64()
	g.core.Reclaim(now)
}
