// Package pulse tells from unanswered reports which peers are silent. Where hardly any report is lost two in a row are a silence; where many are, so
// many that chance leaves them unanswered as rarely. A peer that is silent is tried again after a time. It does no I/O and takes time as a value, in
// seconds; what a silence means is the caller's.
package pulse

import "math"

// RetryS is for how long a silent peer is passed over.
const RetryS = 1.0

const (
	least  = 2    // a peer that leaves so many unanswered is silent,
	most   = 4    // but where messages are lost all the time, not before chance would leave them so
	chance = 0.01 // as rarely as this
	weight = 0.02 // how far one report moves the share of them that is taken to be left unanswered
)

// Pulse is what a gateway knows of all its peers' silence.
type Pulse struct {
	lost  float64 // share of reports unanswered
	peers []struct {
		missed int     // in a row
		at     float64 // the last of them
	}
}

// New knows nothing of so many peers.
func New(peers int) (p Pulse) {
	p.peers = append(p.peers, make([]struct {
		missed int
		at     float64
	}, peers)...)
	return p
}

// Missed takes in a report that its peer left unanswered.
func (p *Pulse) Missed(peer int, now float64) {
	p.peers[peer].missed++
	p.peers[peer].at = now
	p.lost += weight * (1 - p.lost)
}

// Heard takes in that a message of the peer came.
func (p *Pulse) Heard(peer int) { p.peers[peer].missed = 0 }

// Answered takes in that one of the own reports was answered.
func (p *Pulse) Answered() { p.lost -= weight * p.lost }

// Limit is how many reports a peer leaves unanswered before it is silent, by the share of all that are.
func (p *Pulse) Limit() int {
	few := math.Ceil(math.Log(chance) / math.Log(max(p.lost, 1e-9)))
	return int(min(max(few, least), most))
}

// Silent tells whether the peer is passed over now.
func (p *Pulse) Silent(peer int, now float64) bool {
	x := &p.peers[peer]
	return x.missed >= p.Limit() && now-x.at <= RetryS
}
