// Package loadshed sheds load when more is requested of the fleet than its backends can serve. All gateways
// hold one load-shedding level between them, from 0 (nothing is shed) to 1 (all but a floor is shed): each
// estimates it by how long its own requests wait for a backend, and converges to the level of its peers, which
// it learns by gossip. The level, a request's admission priority and its account decide whether the request is
// admitted, in the same way at every gateway.
//
//   - level.go estimates the level;
//   - wait.go measures how long requests wait;
//   - gossip.go exchanges levels between gateways;
//   - admission.go orders requests, admits or rejects them, and computes Retry-After.
//
// The package does no I/O. Times are seconds of the caller's clock, amounts are the plans' units.
// docs/overload.md has the reasons.
package loadshed

import (
	"math"

	"eiderspread/internal/decision/decay"
)

// rateMemoryS is the time constant of all rates, in seconds.
const rateMemoryS = 0.5

// Shedder is one gateway's part in load shedding. A nil *Shedder, as NewShedder returns if load shedding is
// off, admits everything; all methods but ApplyPeerLevel and GossipState accept it.
type Shedder struct {
	config Config
	random func() float64 // uniform from 0 to 1
	self   int            // this gateway's number

	// The level and what it is estimated from. Rates are in units per second.
	level         float64
	updatedAt     float64
	meanWait      waitAverage
	waitFraction  float64      // mean wait at the last update, as Status shows it
	requested     []decay.Rate // by rank
	admitted      decay.Rate   // of the requested units, by the level
	withinQuota   decay.Rate   // of the admitted units, by quotas
	served        decay.Rate
	overloadedAt  float64 // when requests last waited for too long
	capacity      float64 // units per second admitted by the level that could be served in the last overload; 0: none was seen
	sheddingSince float64 // 0: nothing is shed

	// The time slices of accounts, see accountQuantile.
	phase   float64 // steps, from 0 to phaseSteps
	phaseAt float64

	// Gossip.
	peers        []peerState // by gateway
	nextPeer     int         // that was sent the last unsolicited message
	nextCallAt   float64     // when the next peer is to be sent one
	freshLevels  []float64   // scratch space of converge
	phaseOffsets []float64   // scratch space of converge

	// For Status.
	rejected  []int   // requests, by rank
	reversals int     // how often the level turned
	turnLevel float64 // level at the last swing
	lastSwing float64 // the swing, signed
}

// NewShedder returns the shedder of gateway self of so many, with a level of 0; nil if load shedding is off.
// random returns uniform numbers from 0 to 1.
func NewShedder(config Config, self, gateways int, now float64, random func() float64) *Shedder {
	if !config.Enabled {
		return nil
	}
	if config.Floor == 0 {
		config.Floor = defaultFloor
	}
	peers := make([]peerState, gateways)
	for i := range peers {
		peers[i].receivedAt = math.Inf(-1)
	}
	return &Shedder{config: config, random: random, self: self, updatedAt: now, phaseAt: now, peers: peers,
		nextPeer: int(random() * float64(gateways))}
}

// Level returns the current level, from 0 to 1.
func (s *Shedder) Level() float64 {
	if s == nil {
		return 0
	}
	return s.level
}

// ObserveAdmitted counts units that quotas have admitted.
func (s *Shedder) ObserveAdmitted(now, units float64) {
	if s != nil {
		s.withinQuota.Add(now, units, rateMemoryS)
	}
}

// ObserveServed counts units that were served.
func (s *Shedder) ObserveServed(now, units float64) {
	if s != nil {
		s.served.Add(now, units, rateMemoryS)
	}
}

// Tick updates the level and is to be called every few hundredths of a second. queue are the requests that wait
// for a backend; meanUtil returns the mean utilisation of the backends' cores, as far as that is known. Tick
// returns the number of a gateway that is to be sent a message with AppendGossip now, or -1: while load is shed
// the gateways hear of each other's level even if they have nothing else to send.
func Tick[R interface{ Waited(now float64) float64 }](s *Shedder, now float64, queue []R, meanUtil func() (mean float64, known bool)) (peer int) {
	if s == nil {
		return -1
	}
	fractions := 0.0
	for _, r := range queue {
		fractions += r.Waited(now)
	}
	mean, known := meanUtil()
	s.advance(now, len(queue), fractions, known && mean < idleUtil)
	return s.nextCall(now)
}
