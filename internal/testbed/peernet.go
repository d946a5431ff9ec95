package testbed

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"eiderspread/internal/base/peerprotocol"
)

// PeerNet carries the datagrams between ingresses. Each pair uses addresses of its own, so that datagrams can be dropped, delayed and
// duplicated by pair and direction.
type PeerNet struct {
	sockets [][]*net.UDPConn // sockets[i][j] receives what i sends to j, and sends to i what j has sent

	mu         sync.Mutex
	rng        *rand.Rand
	targets    []*net.UDPAddr       // the address of each ingress
	conditions [][]PacketConditions // [sender][receiver]
	sent       int
	began      time.Time
}

// PacketConditions is the treatment of datagrams in one direction.
type PacketConditions struct {
	Cut                bool
	UnknownVersion     bool    // datagrams get a protocol version that no receiver accepts
	FalseLoadShedState bool    // datagrams get a false load-shedding state, see FalsifyLoadShedState
	Loss               float64 // fraction that is lost
	Double             float64 // fraction that is duplicated
	Delay              time.Duration
	Jitter             time.Duration // maximum of the random part of the delay, added to Delay
}

// NewPeerNet returns the network between ingresses. to has the address of each ingress.
func NewPeerNet(to []string, seed uint64) (*PeerNet, error) {
	n := len(to)
	p := &PeerNet{began: time.Now(), rng: rand.New(rand.NewPCG(seed, 13)), sockets: make([][]*net.UDPConn, n), conditions: make([][]PacketConditions, n)}
	for i := range n {
		addr, err := net.ResolveUDPAddr("udp", to[i])
		if err != nil {
			return nil, err
		}
		p.targets = append(p.targets, addr)
		p.conditions[i] = make([]PacketConditions, n)
		p.sockets[i] = make([]*net.UDPConn, n)
		for j := range n {
			if p.sockets[i][j], err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				p.Close()
				return nil, err
			}
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				go p.forward(i, j)
			}
		}
	}
	return p, nil
}

// Close closes the network.
func (p *PeerNet) Close() {
	for _, list := range p.sockets {
		for _, s := range list {
			if s != nil {
				s.Close()
			}
		}
	}
}

// Peers returns the peer addresses for the configuration of ingress i; the one at index i is the ingress's own.
func (p *PeerNet) Peers(i int) (list []string) {
	for j := range p.sockets {
		list = append(list, p.sockets[i][j].LocalAddr().String())
	}
	list[i] = p.targets[i].String()
	return list
}

// Set changes the treatment of datagrams from i to j from now on.
func (p *PeerNet) Set(i, j int, w PacketConditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions[i][j] = w
}

// All is Set for all pairs that match selects, with nil for all pairs.
func (p *PeerNet) All(w PacketConditions, match func(i, j int) bool) {
	for i := range p.sockets {
		for j := range p.sockets {
			if match == nil || match(i, j) {
				p.Set(i, j, w)
			}
		}
	}
}

// Sent returns the number of datagrams that ingresses have sent.
func (p *PeerNet) Sent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent
}

// drawDelays draws the delays of the copies of a datagram from i to j that are delivered: one or two, or none if it is lost.
func (p *PeerNet) drawDelays(i, j int) (delays []time.Duration, w PacketConditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	w = p.conditions[i][j]
	if w.Cut || p.rng.Float64() < w.Loss {
		return nil, w
	}
	delay := func() time.Duration { return w.Delay + time.Duration(p.rng.Float64()*float64(w.Jitter)) }
	delays = append(delays, delay())
	if p.rng.Float64() < w.Double {
		delays = append(delays, delay())
	}
	return delays, w
}

// FalsifyLoadShedState overwrites the load-shedding state in message b with a false one. at is the time in seconds: the level alternates
// each second between 0 and 1, and the phase runs ten times too fast.
func FalsifyLoadShedState(b []byte, at float64) {
	peerprotocol.OverwriteLoadShedState(b, float64(int(at)%2), uint8(int(at*20)))
}

// forward receives what i sends to j, and sends it to j from the address at which j sees i.
func (p *PeerNet) forward(i, j int) {
	buf := make([]byte, 2048)
	for {
		n, err := p.sockets[i][j].Read(buf)
		if err != nil {
			return
		}
		delays, w := p.drawDelays(i, j)
		switch {
		case w.UnknownVersion && n > 0:
			buf[0]++ // the first byte of a message is its version
		case w.FalseLoadShedState:
			FalsifyLoadShedState(buf[:n], time.Since(p.began).Seconds())
		}
		for _, d := range delays {
			if d == 0 {
				_, _ = p.sockets[j][i].WriteToUDP(buf[:n], p.targets[j])
				continue
			}
			data := append([]byte(nil), buf[:n]...)
			time.AfterFunc(d, func() { _, _ = p.sockets[j][i].WriteToUDP(data, p.targets[j]) })
		}
	}
}
