package ingress

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"eiderspread/policy"
)

const (
	maxDatagramBytes = 256
	peerQueueSize    = 64 // datagrams
)

// peerLink exchanges UDP datagrams with the other ingresses.
type peerLink struct {
	ingress *Ingress
	conn    *net.UDPConn
	queue   chan datagram // from the loop to sendLoop
	paused  bool          // another process of this ingress uses the socket; owned by the event loop
}

type datagram struct {
	destination netip.AddrPort
	data        []byte
}

// newPeerLink opens the socket, or uses the predecessor's, and starts sendLoop.
func (in *Ingress) newPeerLink() (*peerLink, error) {
	var conn *net.UDPConn
	if in.predecessor != nil {
		conn = in.predecessor.peers
	} else {
		var err error
		if conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(in.cfg.PeerListen)); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
	}
	p := &peerLink{ingress: in, conn: conn, queue: make(chan datagram, peerQueueSize)}
	go p.sendLoop()
	return p, nil
}

// pause stops sending and receiving, so that another process can use the socket.
func (p *peerLink) pause() {
	p.paused = true
	setReadDeadline(p.conn, expiredDeadline)
}

// resume starts sending and receiving again after a pause.
func (p *peerLink) resume() {
	p.paused = false
	setReadDeadline(p.conn, time.Time{})
	go p.receiveLoop()
}

func (p *peerLink) close() {
	p.conn.Close()
	close(p.queue)
}

// enqueue queues a datagram to one gateway, or to all with policy.Broadcast. It drops the datagram if the queue is full: senders
// must expect losses, because the network can lose datagrams too.
func (p *peerLink) enqueue(gateway int, data []byte) {
	if p.paused {
		return
	}
	destination := p.ingress.cfg.PeerBroadcast
	if gateway != policy.Broadcast {
		if gateway < 0 || gateway >= len(p.ingress.cfg.Peers) {
			p.ingress.logFault("datagram not sent: unknown peer number", "number", gateway)
			return
		}
		destination = p.ingress.cfg.Peers[gateway]
	}
	if len(data) > maxDatagramBytes || !destination.IsValid() {
		p.ingress.logFault("datagram not sent: too long, or no valid destination address", "bytes", len(data), "to", destination)
		return
	}
	select {
	case p.queue <- datagram{destination, data}:
	default:
		p.ingress.logFault("datagram not sent: the send queue is full")
	}
}

// sendLoop sends queued datagrams until the queue is closed. It ignores errors, because a datagram may be lost anyway.
func (p *peerLink) sendLoop() {
	for d := range p.queue {
		_, _ = p.conn.WriteToUDPAddrPort(d.data, d.destination)
	}
}

// receiveLoop passes datagrams from known peers to the decider, until the link is closed or paused.
func (p *peerLink) receiveLoop() {
	in := p.ingress
	peerNumbers := map[netip.AddrPort]int{}
	for i, a := range in.cfg.Peers {
		peerNumbers[a] = i
	}
	buf := make([]byte, maxDatagramBytes+1) // the extra byte reveals a datagram that is too long
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		} else if err != nil {
			continue // such as an ICMP error for a datagram to a closed port
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		number, known := peerNumbers[from]
		at := in.clock.Now()
		if !known || n > maxDatagramBytes {
			in.post(at, func() {
				in.logFault("received datagram dropped: unknown sender, or too long", "from", from, "bytes", n)
			})
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		in.post(at, func() { in.decider.HandlePeerMessage(in.now, number, data) })
	}
}
