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

// tickTimer is the token of the only timer that a RemoteGateway sets.
const tickTimer = 1

// linkState is whether a RemoteGateway keeps links to planners.
type linkState uint8

const (
	linksPending    linkState = iota // they are dialled at the next tick: any state of another process has been taken over by then
	linksDialled                     // they are kept up
	linksHandedOver                  // another process keeps them
)

// RemoteGateway implements ingress.Decider: planners decide in place of a decision module in this process. But for dialling and reading,
// all of it runs on the ingress's loop.
type RemoteGateway struct {
	ingress.Host // carries out what planners decide
	core         *Core
	cfg          FileConfig
	tls          *tls.Config // nil: links are in the clear
	incarnation  uint64      // of this forwarder, as planners know it: it goes over to a new process with the promises

	ctx        context.Context // ends with the process
	linkState  linkState
	closeLinks context.CancelFunc // in linksDialled
	links      []*transport.Conn  // by planner; nil: none

	closedBytesIn, closedBytesOut uint64 // of links that have ended
}

var _ ingress.MigratingDecider = (*RemoteGateway)(nil)

var errNotForwarderState = errors.New("the state of the process before is not a forwarder's")

// NewGatewayFunc returns a function that makes a RemoteGateway, for ingress.RunWithDecider.
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

// HandleRequest implements ingress.Decider, as the next methods do.
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

// UpdateBackends implements ingress.Decider and does nothing: planners follow discovery themselves.
func (g *RemoteGateway) UpdateBackends(float64, []policy.Backend, bool) {}

// HandlePeerMessage implements ingress.Decider and does nothing: forwarders have no messages for each other.
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

// Migrate implements ingress.MigratingDecider: it closes all links for good.
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

// Resume implements ingress.MigratingDecider. If the state can't be read, promises in it may last all the same: none is given for a lease.
func (g *RemoteGateway) Resume(now, shift float64, parts []snapshot.Part) error {
	state, ok := snapshot.Join(parts)
	if !ok {
		g.core.Reclaim(now)
		return errNotForwarderState
	}
	state.Shift(shift)
	g.incarnation = state.Incarnation
	if !g.core.Resume(now, state) {
		g.LogFault("the process before had another number of cells: no promises are given for a lease")
	}
	return nil
}

// RecordOrder implements ingress.MigratingDecider.
func (g *RemoteGateway) RecordOrder(now float64, order snapshot.Order) {
	g.core.RecordOrder(now, order)
}

// Reclaim implements ingress.MigratingDecider. To planners, the forwarder is a new incarnation.
func (g *RemoteGateway) Reclaim(now float64) {
	g.linkState, g.incarnation = linksPending, rand.Uint64()
	g.core.Reclaim(now)
}
