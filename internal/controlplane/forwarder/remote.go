package forwarder

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"eiderspread/internal/base/snapshot"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

const (
	redialBackoffMin     = 30 * time.Millisecond // and as much again by chance
	redialBackoffMax     = time.Second
	statusListenInterval = 50 * time.Millisecond // between two tries at a status address that the process before may have
)

// RemoteGateway stands where the decision module stands in a one-program ingress. But for dialling and reading, all of it
// runs on the ingress's loop.
type RemoteGateway struct {
	ingress.Host                  // carries out what planners decide
	core                          *Core
	cfg                           FileConfig
	tls                           *tls.Config
	incarnation                   uint64
	links                         []*transport.Conn // by planner, nil: none
	closedBytesIn, closedBytesOut uint64            // bytes of links that have ended
	ctx                           context.Context
	closeLinks                    context.CancelFunc // ends all links, nil: planners are not dialled
	handedOver                    bool               // another process goes on
}

// NewGatewayFunc returns the maker that ingress.RunWith wants.
func NewGatewayFunc(cfg FileConfig) func(context.Context, ingress.Host) (ingress.Decider, error) {
	return func(ctx context.Context, host ingress.Host) (ingress.Decider, error) {
		gateway := &RemoteGateway{Host: host, cfg: cfg, incarnation: rand.Uint64(), links: make([]*transport.Conn, len(cfg.PlannerAddrs)), ctx: ctx}
		var err error
		if gateway.tls, err = cfg.TLS.Config(); err != nil {
			return nil, err
		}
		settings := cfg.Ingress.Settings
		gateway.core = NewCore(Config{Params: cfg.Params, Number: cfg.Number, Classes: settings.Classes, Plans: settings.Plans,
			MaxRetryAfterS: settings.MaxRetryAfterS, MaxAttempts: settings.MaxAttempts, Seed: cfg.Ingress.Seed ^ gateway.incarnation}, host.Now(), gateway)
		if cfg.StatusAddr != "" {
			if err := gateway.serveStatus(ctx, host.HasPredecessor()); err != nil {
				return nil, err
			}
		}
		host.SetTimer(1, TickIntervalS)
		return gateway, nil
	}
}

// serveStatus serves the status until ctx ends. The process that this one replaces may have its address for as long as it lasts.
func (g *RemoteGateway) serveStatus(ctx context.Context, retry bool) error {
	l, err := net.Listen("tcp", g.cfg.StatusAddr)
	if err != nil && !retry {
		return fmt.Errorf("status: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(g.handleStatus), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { srv.Close() })
	go func() {
		for l == nil && ctx.Err() == nil {
			time.Sleep(statusListenInterval)
			l, _ = net.Listen("tcp", g.cfg.StatusAddr)
		}
		if l != nil {
			srv.Serve(l)
		}
	}()
	return nil
}

// dialPlanners begins to keep links to all planners.
func (g *RemoteGateway) dialPlanners() {
	ctx, end := context.WithCancel(g.ctx)
	g.closeLinks = end
	for planner := range g.cfg.PlannerAddrs {
		go g.keepLink(ctx, planner, g.incarnation)
	}
}

// Migrate implements ingress.Mover: this process links to no planner any more.
func (g *RemoteGateway) Migrate(now float64) []snapshot.Part {
	g.handedOver = true
	transferred := g.core.Migrate(now)
	transferred.Incarnation = g.incarnation
	if g.closeLinks != nil {
		g.closeLinks()
		g.closeLinks = nil
	}
	for planner, c := range g.links {
		if c != nil {
			g.removeLink(planner, c)
		}
	}
	return transferred.Split()
}

// Resume implements ingress.Mover.
func (g *RemoteGateway) Resume(now, shift float64, parts []snapshot.Part) error {
	transferred, ok := snapshot.Join(parts)
	if !ok {
		g.core.Reclaim(now) // promises that it gave may run: none is given for a lease
		return errors.New("what the process before knew is not a forwarder's")
	}
	transferred.Shift(shift)
	g.incarnation = transferred.Incarnation
	if !g.core.Resume(now, transferred) {
		g.LogFault("the process before was of another number of cells: nothing is promised for a lease")
	}
	return nil
}

// RecordOrder implements ingress.Mover.
func (g *RemoteGateway) RecordOrder(now float64, order snapshot.Order) {
	g.core.RecordOrder(now, order)
}

// Reclaim implements ingress.Mover: to planners it is another life of the forwarder.
func (g *RemoteGateway) Reclaim(now float64) {
	g.handedOver, g.incarnation = false, rand.Uint64()
	g.core.Reclaim(now)
}

// The loop's events, as ingress.Gateway words them. The list of servers is the planners' own matter, and there are
// no messages between forwarders.

func (g *RemoteGateway) HandleRequest(now float64, q policy.Request) { g.core.HandleRequest(now, q) }
func (g *RemoteGateway) HandleOutcome(now float64, outcome policy.Outcome) {
	g.core.HandleOutcome(now, outcome)
}
func (g *RemoteGateway) HandleDisconnect(now float64, id string)        { g.core.HandleDisconnect(now, id) }
func (g *RemoteGateway) UpdateBackends(float64, []policy.Backend, bool) {}
func (g *RemoteGateway) HandlePeerMessage(float64, int, []byte)         {}
func (g *RemoteGateway) HandleProbeResult(now float64, result policy.ProbeResult) {
	g.core.HandleProbeResult(now, result)
}
func (g *RemoteGateway) HandleTimer(now float64, _ uint64) {
	g.SetTimer(1, TickIntervalS)
	if g.closeLinks == nil && !g.handedOver { // from the first tick on: what another process knew is here by then
		g.dialPlanners()
	}
	g.core.Tick(now)
}

// SendToPlanner implements Out.
func (g *RemoteGateway) SendToPlanner(planner int, msgs ...transport.Message) {
	if c := g.links[planner]; c != nil {
		c.Send(msgs...)
	}
}

// PlannerWritable implements Out.
func (g *RemoteGateway) PlannerWritable(planner int) bool {
	return g.links[planner] != nil && g.links[planner].Writable()
}

// keepLink keeps a link to one planner for as long as ctx lasts, in one life of the forwarder.
func (g *RemoteGateway) keepLink(ctx context.Context, planner int, incarnation uint64) {
	backoff := redialBackoffMin
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := g.serveLink(ctx, planner, incarnation)
		if ctx.Err() != nil {
			return
		}
		g.Post(func(float64) { g.LogFault("link ended", "planner", planner, "error", err) })
		if time.Since(startedAt) > redialBackoffMax {
			backoff = redialBackoffMin
		}
		select { // by chance: all forwarders lose a planner at once
		case <-time.After(backoff + rand.N(backoff)):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, redialBackoffMax)
	}
}

// serveLink makes one link and runs it to its end.
func (g *RemoteGateway) serveLink(ctx context.Context, planner int, incarnation uint64) error {
	silence := time.Duration(g.cfg.LinkTimeoutS * float64(time.Second))
	dialer := net.Dialer{Timeout: 4 * silence}
	conn, err := dialer.DialContext(ctx, "tcp", g.cfg.PlannerAddrs[planner])
	if err != nil {
		return err
	}
	if g.tls != nil {
		cfg := g.tls.Clone()
		cfg.ServerName = g.cfg.PlannerNames[planner]
		t := tls.Client(conn, cfg)
		conn.SetDeadline(time.Now().Add(4 * silence))
		if err := t.HandshakeContext(ctx); err != nil {
			conn.Close()
			return err
		}
		conn.SetDeadline(time.Time{})
		conn = t
	}
	l := transport.NewConn(conn, silence)
	defer context.AfterFunc(ctx, func() { l.Close(ctx.Err()) })()
	l.Send(transport.Message{Kind: transport.KindHello, Plan: transport.Version, Name: g.cfg.Name, Number: uint32(g.cfg.Number), Epoch: incarnation,
		Cell: uint16(g.cfg.Cells)})
	greeted := false
	err = l.Serve(func(msgs []transport.Message) {
		if !greeted {
			msg := msgs[0]
			if msg.Kind != transport.KindHello || msg.Plan != transport.Version || msg.Name != g.cfg.Name || int(msg.Number) != planner || int(msg.Cell) != g.cfg.Cells {
				l.Close(errors.New("not the planner that was expected"))
				return
			}
			greeted, msgs = true, msgs[1:]
			g.Post(func(now float64) {
				if ctx.Err() == nil { // else it belongs to nobody
					g.links[planner] = l
					g.core.LinkUp(now, planner, msg.Epoch)
				}
			})
		}
		g.Post(func(now float64) {
			if g.links[planner] != l {
				return
			}
			for i := range msgs {
				g.core.HandleMessage(now, planner, &msgs[i])
			}
		})
	})
	if greeted {
		g.Post(func(now float64) {
			if g.links[planner] == l {
				g.removeLink(planner, l)
				g.core.LinkDown(now, planner)
			}
		})
	}
	return err
}

// removeLink lets go of a planner's link.
func (g *RemoteGateway) removeLink(planner int, l *transport.Conn) {
	g.closedBytesIn += l.BytesIn.Load()
	g.closedBytesOut += l.BytesOut.Load()
	g.links[planner] = nil
}

// SetCordoned implements Out.
func (g *RemoteGateway) SetCordoned(server string, cordoned bool) {
	g.Host.Cordon(server, cordoned)
	g.LogFault("operators hold a backend, or call it back", "id", server, "held", cordoned)
}

// Status is what a forwarder tells people.
type Status struct {
	Kind              string        `json:"kind"`
	Number            int           `json:"number"`
	Links             []bool        `json:"links"`
	Requests          int           `json:"requests"`
	BytesIn           uint64        `json:"bytes_in"`
	BytesOut          uint64        `json:"bytes_out"`
	Stats             Stats         `json:"stats"`
	Cells             []CellStatus  `json:"cells"`
	Cordoned          []string      `json:"held"` // backends, by operators
	EndpointListAge   discovery.Age `json:"list"` // how old the list of backends is
	EndpointListStale bool          `json:"old"`  // too old to be trusted
}

func (g *RemoteGateway) handleStatus(w http.ResponseWriter, req *http.Request) {
	result := make(chan Status, 1)
	g.Post(func(now float64) {
		status := Status{Kind: "forwarder", Number: g.cfg.Number, Stats: g.core.Stats, BytesIn: g.closedBytesIn, BytesOut: g.closedBytesOut, EndpointListAge: g.EndpointListAge()}
		status.EndpointListStale = status.EndpointListAge.Stale()
		for _, c := range g.links {
			status.Links = append(status.Links, c != nil)
			if c != nil {
				status.BytesIn += c.BytesIn.Load()
				status.BytesOut += c.BytesOut.Load()
			}
		}
		g.core.now = now
		status.Cordoned = g.core.Cordoned()
		status.Cells, status.Requests = g.core.CellStatuses()
		result <- status
	})
	select {
	case status := <-result:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(status)
	case <-req.Context().Done():
	case <-time.After(time.Second):
	}
}
