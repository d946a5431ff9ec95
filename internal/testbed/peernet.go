package testbed

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"eiderspread/internal/base/peerprotocol"
)

// PeerNet carries the datagrams between ingresses, each pair through addresses of its own, so that they can be cut,
// lost, late and doubled by pair and direction.
type PeerNet struct {
	socks [][]*net.UDPConn // socks[i][j]: where i sends for j, and from where i hears j

	mu      sync.Mutex
	rng     *rand.Rand
	targets []*net.UDPAddr // each one's own address
	rule    [][]PacketConditions
	sent    int
	began   time.Time
}

// PacketConditions is what becomes of datagrams in one direction.
type PacketConditions struct {
	Cut    bool
	Alien  bool    // they come in a form that nobody reads
	Lies   bool    // what they say of overload is false: nothing and all by turns, with a phase that runs away
	Loss   float64 // share that is lost
	Double float64 // share that comes twice
	Delay  time.Duration
	Jitter time.Duration // as much more, by chance
}

// NewPeerNet makes the net of n ingresses, whose own addresses are to.
func NewPeerNet(to []string, seed uint64) (*PeerNet, error) {
	n := len(to)
	p := &PeerNet{began: time.Now(), rng: rand.New(rand.NewPCG(seed, 13)), socks: make([][]*net.UDPConn, n), rule: make([][]PacketConditions, n)}
	for i := range n {
		addr, err := net.ResolveUDPAddr("udp", to[i])
		if err != nil {
			return nil, err
		}
		p.targets = append(p.targets, addr)
		p.rule[i] = make([]PacketConditions, n)
		p.socks[i] = make([]*net.UDPConn, n)
		for j := range n {
			if p.socks[i][j], err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				p.Close()
				return nil, err
			}
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				go p.carry(i, j)
			}
		}
	}
	return p, nil
}

// Close ends the net.
func (p *PeerNet) Close() {
	for _, list := range p.socks {
		for _, s := range list {
			if s != nil {
				s.Close()
			}
		}
	}
}

// Peers is the list of addresses that ingress i is to be told; its own stands for itself.
func (p *PeerNet) Peers(i int) (list []string) {
	for j := range p.socks {
		list = append(list, p.socks[i][j].LocalAddr().String())
	}
	list[i] = p.targets[i].String()
	return list
}

// Set says what becomes of datagrams from i to j from now on.
func (p *PeerNet) Set(i, j int, w PacketConditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule[i][j] = w
}

// All says so for all pairs for which which holds.
func (p *PeerNet) All(w PacketConditions, which func(i, j int) bool) {
	for i := range p.socks {
		for j := range p.socks {
			if which == nil || which(i, j) {
				p.Set(i, j, w)
			}
		}
	}
}

// Sent counts the datagrams that ingresses have sent.
func (p *PeerNet) Sent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent
}

// fate draws what becomes of one datagram: after which times it comes, if at all.
func (p *PeerNet) fate(i, j int) (after []time.Duration, w PacketConditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	w = p.rule[i][j]
	if w.Cut || p.rng.Float64() < w.Loss {
		return nil, w
	}
	late := func() time.Duration { return w.Delay + time.Duration(p.rng.Float64()*float64(w.Jitter)) }
	after = append(after, late())
	if p.rng.Float64() < w.Double {
		after = append(after, late())
	}
	return after, w
}

// Lie is what one that lies says of overload in a message at a time in seconds: for a second that all is well, for the next that all is lost, in a
// phase that runs ten times too fast.
func Lie(b []byte, at float64) {
	peerprotocol.OverwriteLoadShedState(b, float64(int(at)%2), uint8(int(at*20)))
}

// carry takes what i sends for j, and sends it from where j hears i.
func (p *PeerNet) carry(i, j int) {
	buf := make([]byte, 2048)
	for {
		n, err := p.socks[i][j].Read(buf)
		if err != nil {
			return
		}
		fate, w := p.fate(i, j)
		switch {
		case w.Alien && n > 0:
			buf[0]++ // the version of a message stands first
		case w.Lies:
			Lie(buf[:n], time.Since(p.began).Seconds())
		}
		for _, d := range fate {
			if d == 0 {
				_, _ = p.socks[j][i].WriteToUDP(buf[:n], p.targets[j])
				continue
			}
			data := append([]byte(nil), buf[:n]...)
			time.AfterFunc(d, func() { _, _ = p.socks[j][i].WriteToUDP(data, p.targets[j]) })
		}
	}
}
