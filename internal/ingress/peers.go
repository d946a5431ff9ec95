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
	maxDatagram = 256
	peerQueue   = 64
)

// peerLink exchanges datagrams with the other ingresses.
type peerLink struct {
	in    *Ingress
	conn  *net.UDPConn
	queue chan datagram
	rests bool // another process speaks for this ingress; loop only
}

// rest leaves the socket to another process.
func (p *peerLink) rest() {
	p.rests = true
	p.conn.SetReadDeadline(time.Unix(pastTime, 0))
}

// resume takes it again.
func (p *peerLink) resume() {
	p.rests = false
	p.conn.SetReadDeadline(time.Time{})
	go p.receive()
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

func (in *Ingress) openPeers() (*peerLink, error) {
	var conn *net.UDPConn
	if in.heir != nil {
		conn = in.heir.peers
	} else {
		var err error
		if conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(in.cfg.PeerListen)); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
	}
	p := &peerLink{in: in, conn: conn, queue: make(chan datagram, peerQueue)}
	go p.send()
	return p, nil
}

func (p *peerLink) close() {
	p.conn.Close()
	close(p.queue)
}

// tell queues a datagram; with the queue full it is lost, as it may be on its way too.
func (p *peerLink) tell(gateway int, data []byte) {
	if p.rests {
		return
	}
	to := p.in.cfg.PeersAll
	if gateway != policy.Broadcast {
		if gateway < 0 || gateway >= len(p.in.cfg.Peers) {
			p.in.note("no such peer", "number", gateway)
			return
		}
		to = p.in.cfg.Peers[gateway]
	}
	if len(data) > maxDatagram || !to.IsValid() {
		p.in.note("datagram not sent", "bytes", len(data), "to", to)
		return
	}
	select {
	case p.queue <- datagram{to, data}:
	default:
		p.in.note("datagram lost: the queue is full")
	}
}

func (p *peerLink) send() {
	for d := range p.queue {
		p.conn.WriteToUDPAddrPort(d.data, d.to) // may be lost anyway
	}
}

// receive hands on what known peers send. One byte more than allowed tells an overlong datagram.
func (p *peerLink) receive() {
	in := p.in
	numbers := map[netip.AddrPort]int{}
	for i, a := range in.cfg.Peers {
		numbers[a] = i
	}
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		} else if err != nil {
			continue // such as a refused datagram that comes back
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		number, known := numbers[from]
		at := in.clock.Now()
		if !known || n > maxDatagram {
			in.post(at, func() { in.note("datagram dropped", "from", from, "bytes", n) })
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		in.post(at, func() { in.gate.Peer(in.now, number, data) })
	}
}
