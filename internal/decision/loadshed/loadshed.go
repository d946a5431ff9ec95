// Package loadshed sheds load when the fleet receives more requests than its backends can serve. All gateways
// share one load-shedding level, from 0 (nothing is shed) to 1 (everything but a floor is shed). Each gateway
// estimates the level from the time that its own requests wait for a backend, and converges to the levels of
// its peers, which it receives by gossip. The level, the request's admission priority and its account determine
// whether the request is admitted; every gateway applies the same rule.
//
//   - level.go estimates the level;
//   - wait.go measures how long requests wait;
//   - gossip.go exchanges levels between gateways;
//   - admission.go orders requests, admits or rejects them, and computes Retry-After.
//
// The package does no I/O. Times are seconds of the caller's clock, amounts are the plans' units.
// docs/overload.md explains the design.
package loadshed

import (
	"math"

	"eiderspread/internal/decision/decay"
)

// rateTauS is the time constant of all rates, in seconds.
const rateTauS = 0.5

// Shedder is the load-shedding state of one gateway. A nil *Shedder, which NewShedder returns if load shedding
// is off, admits everything. All methods but ApplyPeerLevel and GossipState may be called on nil.
type Shedder struct {
	config Config
	random func() float64 // uniform from 0 to 1
	self   int            // this gateway's number

	// The level and the measurements it is estimated from. Rates are in units per second.
	level         float64
	updatedAt     float64
	meanWait      waitAverage
	waitFraction  float64      // mean wait at the last update, as Status shows it
	requested     []decay.Rate // by rank
	admitted      decay.Rate   // requested units that the level admitted
	withinQuota   decay.Rate   // units that also passed the quotas
	served        decay.Rate
	overloadedAt  float64 // when the mean wait was last above targetWait
	capacity      float64 // smoothed servedAtLevel of the last overload, units per second; 0: none was seen
	sheddingSince float64 // when the level reached minLevel; 0: nothing is shed

	// The phase selects the time slices of accounts, see accountQuantile.
	phase   float64 // steps at phaseAt, from 0 to phaseSteps
	phaseAt float64

	// Gossip.
	peers          []peerState // by gateway
	lastGossipPeer int         // recipient of the last unsolicited message
	nextGossipAt   float64     // when the next unsolicited message is due
	freshLevels    []float64   // scratch space of converge
	phaseOffsets   []float64   // scratch space of converge

	// For Status.
	rejected       []int   // number of requests, by rank
	reversals      int     // how often the level changed direction
	lastSwingLevel float64 // level after the last swing
	lastSwing      float64 // change of the level in the last swing, signed
}

// NewShedder returns the shedder of the gateway with number self, with a level of 0, or nil if load shedding is
// off. gateways is the number of gateways in the fleet; random returns uniform numbers from 0 to 1.
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
		lastGossipPeer: int(random() * float64(gateways))}
}

// Level returns the current level, from 0 to 1.
func (s *Shedder) Level() float64 {
	if s == nil {
		return 0
	}
	return s.level
}

// ObserveAdmitted counts units of a request that passed the quotas.
func (s *Shedder) ObserveAdmitted(now, units float64) {
	if s != nil {
		s.withinQuota.Add(now, units, rateTauS)
	}
}

// ObserveServed counts units of a request that a backend served.
func (s *Shedder) ObserveServed(now, units float64) {
	if s != nil {
		s.served.Add(now, units, rateTauS)
	}
}

// Tick updates the level. The caller invokes it every few hundredths of a second. queue holds the requests that
// wait for a backend; meanUtil returns the mean utilisation of the backends' cores, and whether it is known. Tick
// returns the number of the gateway that is due for an unsolicited message with AppendGossip, or -1. While load
// is shed, such messages exchange the levels even if the gateways have nothing else to send.
func Tick[R interface{ WaitFraction(now float64) float64 }](s *Shedder, now float64, queue []R, meanUtil func() (mean float64, known bool)) (peer int) {
	if s == nil {
		return -1
	}
	fractions := 0.0
	for _, r := range queue {
		fractions += r.WaitFraction(now)
	}
	mean, known := meanUtil()
	s.updateLevel(now, len(queue), fractions, known && mean < idleUtil)
	return s.nextGossipPeer(now)
}
