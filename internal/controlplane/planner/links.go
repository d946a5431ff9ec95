package planner

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"eiderspread/internal/controlplane/transport"
)

var errLinkReplaced = errors.New("replaced by a newer link from the same forwarder")

// acceptLoop accepts connections until the listener is closed.
func (s *Server) acceptLoop() {
	for {
		select {
		case s.connSlots <- struct{}{}:
		case <-s.done:
			return
		}
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			<-s.connSlots
			s.postLog("accept failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go func() {
			defer func() { <-s.connSlots }()
			s.serveLink(conn)
		}()
	}
}

// serveLink serves one connection to its end.
func (s *Server) serveLink(conn net.Conn) {
	idleTimeout := s.cfg.LinkTimeout()
	if s.tls != nil {
		tlsConn := tls.Server(conn, s.tls)
		if err := transport.Handshake(context.Background(), tlsConn, idleTimeout); err != nil {
			s.postLog("link rejected", "remote", conn.RemoteAddr(), "error", err)
			return
		}
		conn = tlsConn
	}
	link := transport.NewConn(conn, idleTimeout)
	forwarder := -1 // unknown until its hello is accepted
	err := link.Serve(func(msgs []transport.Message) {
		if forwarder < 0 {
			hello, err := s.checkHello(conn, &msgs[0])
			if err != nil {
				link.Close(err)
				return
			}
			forwarder, msgs = hello.Number, msgs[1:]
			s.post(func(now float64) { s.addLink(now, forwarder, hello.Incarnation, link) })
		}
		s.post(func(now float64) {
			if s.links[forwarder] != link {
				return
			}
			for i := range msgs {
				s.core.HandleMessage(now, forwarder, &msgs[i])
			}
		})
	})
	s.post(func(now float64) {
		if forwarder >= 0 && s.links[forwarder] == link {
			s.removeLink(now, forwarder)
		}
		s.Log("link ended", "forwarder", forwarder, "error", err)
	})
}

// checkHello checks that a link's first message is the hello of a forwarder of this fleet. With TLS, it also checks that the peer's
// certificate is the one of that forwarder. An error wraps transport.ErrHandshake.
func (s *Server) checkHello(conn net.Conn, msg *transport.Message) (transport.Hello, error) {
	hello, err := transport.ParseHello(msg)
	if err != nil {
		return transport.Hello{}, err
	}
	switch {
	case hello.Fleet != s.cfg.Name:
		err = fmt.Errorf("%w: forwarder is of fleet %q, want %q", transport.ErrHandshake, hello.Fleet, s.cfg.Name)
	case hello.Number >= s.cfg.Forwarders:
		err = fmt.Errorf("%w: forwarder number is %d, want 0 to %d", transport.ErrHandshake, hello.Number, s.cfg.Forwarders-1)
	case hello.Cells != s.cfg.Cells:
		err = fmt.Errorf("%w: forwarder has %d cells, want %d", transport.ErrHandshake, hello.Cells, s.cfg.Cells)
	}
	if tlsConn, ok := conn.(*tls.Conn); ok && err == nil {
		commonName := tlsConn.ConnectionState().PeerCertificates[0].Subject.CommonName
		if slices.Index(s.cfg.ForwarderNames, commonName) != hello.Number {
			err = fmt.Errorf("%w: certificate name %q is not the one allowed for forwarder %d", transport.ErrHandshake, commonName, hello.Number)
		}
	}
	return hello, err
}

// addLink registers a forwarder's link and closes the forwarder's previous link, if any. It must run on the event loop.
func (s *Server) addLink(now float64, forwarder int, incarnation uint64, link *transport.Conn) {
	if previous := s.links[forwarder]; previous != nil {
		s.removeLink(now, forwarder)
		previous.Close(errLinkReplaced)
	}
	s.links[forwarder] = link
	link.Send(transport.Hello{Fleet: s.cfg.Name, Cells: s.cfg.Cells, Number: s.cfg.Number, Incarnation: s.incarnation}.Message())
	s.core.LinkUp(now, forwarder, incarnation)
}

// removeLink handles the end of a forwarder's link. It must run on the event loop.
func (s *Server) removeLink(now float64, forwarder int) {
	s.closedBytesIn.Add(s.links[forwarder].BytesIn.Load())
	s.closedBytesOut.Add(s.links[forwarder].BytesOut.Load())
	s.links[forwarder] = nil
	s.core.LinkDown(now, forwarder)
}
