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

// peerLink exchanges datagrams with the other ingresses.
type peerLink struct {
	ingress *Ingress
	conn    *net.UDPConn
	queue   chan datagram // from the loop to sendLoop
	paused  bool          // another process exchanges datagrams for this ingress; loop only
}

type datagram struct {
	destination netip.AddrPort
	data        []byte
}

// newPeerLink opens the socket, or takes the predecessor's, and starts to send.
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

// pause leaves the socket to another process.
func (p *peerLink) pause() {
	p.paused = true
	setReadDeadline(p.conn, expiredDeadline)
}

// resume takes it again.
func (p *peerLink) resume() {
	p.paused = false
	setReadDeadline(p.conn, time.Time{})
	go p.receiveLoop()
}

func (p *peerLink) close() {
	p.conn.Close()
	close(p.queue)
}

// enqueue queues a datagram; with the queue full it is lost, as it may be on its way too.
func (p *peerLink) enqueue(gateway int, data []byte) {
	if p.paused {
		return
	}
	destination := p.ingress.cfg.PeerBroadcast
	if gateway != policy.Broadcast {
		if gateway < 0 || gateway >= len(p.ingress.cfg.Peers) {
			p.ingress.logFault("no such peer", "number", gateway)
			return
		}
		destination = p.ingress.cfg.Peers[gateway]
	}
	if len(data) > maxDatagramBytes || !destination.IsValid() {
		p.ingress.logFault("datagram not sent", "bytes", len(data), "to", destination)
		return
	}
	select {
	case p.queue <- datagram{destination, data}:
	default:
		p.ingress.logFault("datagram lost: the queue is full")
	}
}

// sendLoop sends what is queued until the queue is closed. Datagrams may be lost on their way, so an error is nothing new.
func (p *peerLink) sendLoop() {
	for d := range p.queue {
		_, _ = p.conn.WriteToUDPAddrPort(d.data, d.destination)
	}
}

// receiveLoop hands on what known peers send, until the link is closed or paused.
func (p *peerLink) receiveLoop() {
	in := p.ingress
	numbers := map[netip.AddrPort]int{}
	for i, a := range in.cfg.Peers {
		numbers[a] = i
	}
	buf := make([]byte, maxDatagramBytes+1) // one byte more shows an overlong datagram
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		} else if err != nil {
			continue // such as the ICMP answer to a datagram that nobody took
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		number, known := numbers[from]
		at := in.clock.Now()
		if !known || n > maxDatagramBytes {
			in.post(at, func() { in.logFault("datagram dropped", "from", from, "bytes", n) })
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		in.post(at, func() { in.decider.HandlePeerMessage(in.now, number, data) })
	}
}
