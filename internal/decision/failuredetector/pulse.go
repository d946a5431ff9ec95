// Package pulse tells from unanswered reports which peers are silent. Where hardly any report is lost two in a row are a silence; where many are, so
// many that chance leaves them unanswered as rarely. A peer that is silent is tried again after a time. It does no I/O and takes time as a value, in
// seconds; what a silence means is the caller's.
package failuredetector

import "math"

// SuspicionS is for how long a silent peer is passed over.
const SuspicionS = 1.0

const (
	minThreshold      = 2    // a peer that leaves so many unanswered is silent,
	maxThreshold      = 4    // but where messages are lost all the time, not before chance would leave them so
	falsePositiveRate = 0.01 // as rarely as this
	lossRateWeight    = 0.02 // how far one report moves the share of them that is taken to be left unanswered
)

// Detector is what a gateway knows of all its peers' silence.
type Detector struct {
	lossRate float64 // share of reports unanswered
	peers    []struct {
		missed int     // in a row
		at     float64 // the last of them
	}
}

// New knows nothing of so many peers.
func New(peers int) (p Detector) {
	p.peers = append(p.peers, make([]struct {
		missed int
		at     float64
	}, peers)...)
	return p
}

// RecordUnanswered takes in a report that its peer left unanswered.
func (p *Detector) RecordUnanswered(peer int, now float64) {
	p.peers[peer].missed++
	p.peers[peer].at = now
	p.lossRate += lossRateWeight * (1 - p.lossRate)
}

// RecordMessage takes in that a message of the peer came.
func (p *Detector) RecordMessage(peer int) { p.peers[peer].missed = 0 }

// RecordReply takes in that one of the own reports was answered.
func (p *Detector) RecordReply() { p.lossRate -= lossRateWeight * p.lossRate }

// Threshold is how many reports a peer leaves unanswered before it is silent, by the share of all that are.
func (p *Detector) Threshold() int {
	few := math.Ceil(math.Log(falsePositiveRate) / math.Log(max(p.lossRate, 1e-9)))
	return int(min(max(few, minThreshold), maxThreshold))
}

// Suspected tells whether the peer is passed over now.
func (p *Detector) Suspected(peer int, now float64) bool {
	x := &p.peers[peer]
	return x.missed >= p.Threshold() && now-x.at <= SuspicionS
}
