// Package failuredetector detects failed peers by their unanswered reports. A peer is suspected after a number of
// unanswered reports in a row. That number grows with the share of reports that stay unanswered at all peers, so
// that message loss alone rarely leads to a suspicion. A suspicion ends after SuspicionS, so that the peer is tried
// again. The package does no I/O; times are seconds of the caller's clock.
package failuredetector

import "math"

// SuspicionS is how long after its last unanswered report a suspected peer is skipped, in seconds.
const SuspicionS = 1.0

const (
	minThreshold      = 2    // unanswered reports in a row
	maxThreshold      = 4    // bounds the time until a failure is detected under heavy loss
	falsePositiveRate = 0.01 // accepted probability of suspecting a live peer, unless maxThreshold bounds the threshold
	lossRateWeight    = 0.02 // weight of one report in the loss rate
)

// Detector counts the unanswered reports of all peers of one gateway.
type Detector struct {
	lossRate float64 // share of recent reports to all peers that stayed unanswered
	peers    []peer
}

type peer struct {
	unanswered       int // reports in a row
	lastUnansweredAt float64
}

// New returns a detector for the given number of peers, none of them suspected.
func New(peers int) Detector { return Detector{peers: make([]peer, peers)} }

// RecordUnanswered counts a report that the peer has not answered in time.
func (d *Detector) RecordUnanswered(peer int, now float64) {
	p := &d.peers[peer]
	p.unanswered++
	p.lastUnansweredAt = now
	d.lossRate += lossRateWeight * (1 - d.lossRate)
}

// RecordMessage records that a message from the peer has arrived: the peer is alive.
func (d *Detector) RecordMessage(peer int) { d.peers[peer].unanswered = 0 }

// RecordReply counts a report that a peer has answered.
func (d *Detector) RecordReply() { d.lossRate -= lossRateWeight * d.lossRate }

// Threshold returns how many unanswered reports in a row lead to a suspicion at the current loss rate.
func (d *Detector) Threshold() int {
	needed := math.Ceil(math.Log(falsePositiveRate) / math.Log(max(d.lossRate, 1e-9)))
	return int(min(max(needed, minThreshold), maxThreshold))
}

// Suspected reports whether the peer is to be skipped now.
func (d *Detector) Suspected(peer int, now float64) bool {
	p := &d.peers[peer]
	return p.unanswered >= d.Threshold() && now-p.lastUnansweredAt <= SuspicionS
}
