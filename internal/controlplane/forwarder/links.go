package forwarder

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"eiderspread/internal/controlplane/transport"
)

const (
	// redialBackoffMin is the first redial backoff. Each wait is the backoff plus a random duration below it, because all forwarders lose
	// a failed planner at the same time.
	redialBackoffMin = 30 * time.Millisecond
	// redialBackoffMax bounds the backoff, without the random duration. After a link that has lasted longer than redialBackoffMax the
	// backoff starts at redialBackoffMin again.
	redialBackoffMax = time.Second
)

// dialPlanners starts to maintain links to all planners. Loop only.
func (g *RemoteGateway) dialPlanners() {
	ctx, cancel := context.WithCancel(g.ctx)
	g.linkState, g.closeLinks = linksDialled, cancel
	for planner := range g.cfg.PlannerAddrs {
		go g.maintainLink(ctx, planner, g.incarnation)
	}
}

// maintainLink keeps a link to one planner up until ctx ends: it redials the planner, with backoff, when the link ends.
func (g *RemoteGateway) maintainLink(ctx context.Context, planner int, incarnation uint64) {
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
		select {
		case <-time.After(backoff + rand.N(backoff)):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, redialBackoffMax)
	}
}

// serveLink connects to a planner and serves the link until it ends. It returns the reason for the end.
func (g *RemoteGateway) serveLink(ctx context.Context, planner int, incarnation uint64) error {
	conn, err := g.dial(ctx, planner)
	if err != nil {
		return err
	}
	link := transport.NewConn(conn, g.cfg.LinkTimeout())
	defer context.AfterFunc(ctx, func() { link.Close(ctx.Err()) })()
	link.Send(transport.Hello{Fleet: g.cfg.Name, Cells: g.cfg.Cells, Number: g.cfg.Number, Incarnation: incarnation}.Message())
	handshakeDone := false
	err = link.Serve(func(msgs []transport.Message) {
		if !handshakeDone {
			hello, err := g.checkHello(planner, &msgs[0])
			if err != nil {
				link.Close(err)
				return
			}
			handshakeDone, msgs = true, msgs[1:]
			g.Post(func(now float64) {
				if ctx.Err() == nil { // after Migrate, another process has the promises
					g.links[planner] = link
					g.core.LinkUp(now, planner, hello.Incarnation)
				}
			})
		}
		g.Post(func(now float64) {
			if g.links[planner] != link {
				return
			}
			for i := range msgs {
				g.core.HandleMessage(now, planner, &msgs[i])
			}
		})
	})
	if handshakeDone {
		g.Post(func(now float64) {
			if g.links[planner] == link {
				g.removeLink(planner, link)
				g.core.LinkDown(now, planner)
			}
		})
	}
	return err
}

// dial connects to a planner, with TLS if it is configured.
func (g *RemoteGateway) dial(ctx context.Context, planner int) (net.Conn, error) {
	idleTimeout := g.cfg.LinkTimeout()
	dialer := net.Dialer{Timeout: transport.DialTimeout(idleTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", g.cfg.PlannerAddrs[planner])
	if err != nil || g.tls == nil {
		return conn, err
	}
	cfg := g.tls.Clone()
	cfg.ServerName = g.cfg.PlannerNames[planner]
	secured := tls.Client(conn, cfg)
	if err := transport.Handshake(ctx, secured, idleTimeout); err != nil {
		return nil, err
	}
	return secured, nil
}

// checkHello checks that a link's first message is the hello of the planner that was dialled. An error wraps transport.ErrHandshake.
func (g *RemoteGateway) checkHello(planner int, msg *transport.Message) (transport.Hello, error) {
	hello, err := transport.ParseHello(msg)
	if err == nil && (hello.Fleet != g.cfg.Name || hello.Number != planner || hello.Cells != g.cfg.Cells) {
		err = fmt.Errorf("%w: got planner %d of fleet %q with %d cells, want planner %d of fleet %q with %d cells", transport.ErrHandshake,
			hello.Number, hello.Fleet, hello.Cells, planner, g.cfg.Name, g.cfg.Cells)
	}
	return hello, err
}

// removeLink forgets a planner's link that has ended and adds its traffic to the totals. Loop only.
func (g *RemoteGateway) removeLink(planner int, link *transport.Conn) {
	g.closedBytesIn += link.BytesIn.Load()
	g.closedBytesOut += link.BytesOut.Load()
	g.links[planner] = nil
}
