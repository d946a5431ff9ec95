// Package overload is what a gateway knows of how much too much is asked of the fleet, and who is turned away for it. All gateways hold one
// level between them, each by what it sees itself and by what it hears of the others; where a request stands in the order of what can be
// refused, and which accounts a level half-way through a class falls on, all work out alike. It does no I/O and takes time as a value, in seconds.
package loadshed

import (
	"fmt"
	"math"
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/decay"
)

// Config is what operators say of it. Its zero value is off.
type Config struct {
	Enabled bool    `toml:"on"`
	Floor   float64 `toml:"floor"` // of each account's requests, that no level takes; 0 stands for defaultFloor
}

// Check tells what is wrong with it.
func (c Config) Check() error {
	if !(c.Floor >= 0 && c.Floor <= 0.5) {
		return fmt.Errorf("overload: floor is %g, want 0 to 0.5", c.Floor)
	}
	return nil
}

// Constants, with their reasons. Times are in seconds.
const (
	defaultFloor     = 0.03 // of each account's requests are served whatever the level, so that none is served nothing
	waitMemoryS      = 0.3  // memory of what waited
	rateMemoryS      = 0.5  // and of what was asked for, let in and served
	priorSamples     = 2.0  // waits of nothing that are believed in beforehand: one request alone tells little
	targetWait       = 0.12 // of what they may, that requests wait for a server where as much is let in as can be served
	raiseS           = 0.1  // in which the level comes to where as much is let in as is served, while more than that waits
	drainMargin      = 0.8  // of what is served, that is let in less while all waits as long as it may, so that what waits becomes less
	slowFallPerS     = 0.2  // levels a second that it falls where nothing waits
	recoveredAfterS  = 1.5  // after which it falls as fast where nothing has waited since
	capacityDownS    = 2.0  // and that less can be served than was thought
	capacityUpS      = 0.5  // in which it is learned what can be served
	fastFallPerS     = 1.0  // and where nodes' cores are free too
	convergeS        = 0.1  // in which it comes to what the others say
	peerStateMaxAgeS = 1.5  // for which what another one said counts
	gossipIntervalS  = 0.5  // between words to one other gateway after the other, while anything is refused: not all have messages for each other
	phaseStepS       = 0.5  // a step of the phase
	stepsPerSlice    = 4    // of them make a slice, in which the same accounts are served; the phase, a byte, counts 64 of these
	phaseSteps       = 256  // steps until the phase begins again
	classMinimum     = 0.5  // of what is left of the level's way, that every place but the first has at least: operators ask that each class be served
	goldenSection    = math.Phi - 1
	minLevel         = 0.004 // a level that refuses nothing
	minQueueWaitS    = 0.02  // for which every request may wait
	idleUtil         = 0.8   // nodes' cores less busy than this are free
)

type peerState struct{ level, phase, receivedAt float64 }

// Shedder is one gateway's. Its words are bounded by the number of gateways, its rates by the number of classes.
type Shedder struct {
	config                        Config
	random                        func() float64
	level, updatedAt              float64
	waitSum, waitCount            float64 // fading sums of waits, and their number
	waitSampledAt                 float64
	requested                     []decay.Rate // units a second, by place in the order
	admitted, withinQuota, served decay.Rate   // units a second that the level let in, that quotas let in of these, and that were served
	peers                         []peerState  // by gateway
	phase, phaseAt                float64      // where this gateway is in the order of lots, in steps from 0 to 256, and when it was there
	freshLevels, phaseOffsets     []float64    // scratch
	reversals                     int          // how often the level turned by a tenth or more
	turnLevel, lastSwing          float64
	sheddingSince                 float64 // since when it refuses; 0: it does not
	rejected                      []int   // requests turned away, by place
	waitFraction                  float64
	overloadedAt                  float64 // when too much last waited
	capacity                      float64 // units a second let in that could be served when it last was too much
	self, nextPeer                int     // next: who was told last
	nextCallAt                    float64
}

// NewShedder begins with a level of 0, for gateway me of so many that hear each other; nil where it is off. All methods take nil for a fleet that refuses nothing for this.
func NewShedder(cfg Config, me, gateways int, now float64, rng func() float64) *Shedder {
	if !cfg.Enabled {
		return nil
	}
	if cfg.Floor == 0 {
		cfg.Floor = defaultFloor
	}
	w := make([]peerState, gateways)
	for i := range w {
		w[i].receivedAt = math.Inf(-1)
	}
	return &Shedder{config: cfg, random: rng, updatedAt: now, phaseAt: now, peers: w, self: me, nextPeer: int(rng() * float64(gateways))}
}

// Level is how far up the order of what can be refused the fleet refuses now, from 0 (nothing) to 1 (all but the floors).
func (s *Shedder) Level() float64 {
	if s == nil {
		return 0
	}
	return s.level
}

// CountLowerPriority counts the classes that are worth less a unit, which stands for work as well.
func CountLowerPriority[C any](worth float64, classes []C, of func(C) float64) (n int) {
	for _, c := range classes {
		if of(c) < worth {
			n++
		}
	}
	return n
}

// PlanWeight is what counts of a plan's price in the order of what waits. Plans are served alike: what is turned away is chosen at the door, and an order
// by price behind it would starve the cheap ones all the same.
func (s *Shedder) PlanWeight(price float64) float64 {
	if s == nil {
		return price
	}
	return 1
}

// FirstAttemptFactor is the factor on the share of tries that must have about the same time left to be taken for first ones: where many are refused, most
// tries are later ones.
func (s *Shedder) FirstAttemptFactor() float64 {
	if s.Level() > 0 {
		return 0.5
	}
	return 1
}

// AdmissionPriority is what a request shows there: its account, and the place of its class.
type AdmissionPriority struct {
	AccountKey            uint32
	ClassRank, ClassCount int  // classes that earn less a unit of work, and all
	ClientRetry           bool // a client's later try: it stands one place before the first tries of its class
}

// rank is where a request stands in the order of what can be refused, and how many places there are.
func (d AdmissionPriority) rank() (place, places int) {
	if d.ClientRetry {
		return d.ClassRank, d.ClassCount + 1
	}
	return d.ClassRank + 1, d.ClassCount + 1
}

// ObserveWait takes in how long a request waited for a server that was sent, as a share of what it may; 1 for one that was given up.
func (s *Shedder) ObserveWait(now, share float64) {
	if s == nil {
		return
	}
	k := math.Exp((s.waitSampledAt - now) / waitMemoryS)
	s.waitSum, s.waitCount, s.waitSampledAt = s.waitSum*k+min(max(share, 0), 1), s.waitCount*k+1, now
}

// ObserveAdmitted takes in that quotas let units in.
func (s *Shedder) ObserveAdmitted(now, units float64) {
	if s != nil {
		s.withinQuota.Add(now, units, rateMemoryS)
	}
}

// ObserveServed takes in that units were served.
func (s *Shedder) ObserveServed(now, units float64) {
	if s != nil {
		s.served.Add(now, units, rateMemoryS)
	}
}

// levelFor is the level at which so many units a second are let in.
func (s *Shedder) levelFor(now, units float64) float64 {
	low, high := 0.0, 1.0
	for range 12 { // to a part in four thousand
		level, let := (low+high)/2, 0.0
		for place := range s.requested {
			let += s.requested[place].Now(now, rateMemoryS) * s.admittedFraction(level, place, len(s.requested))
		}
		if let > units {
			low = level
		} else {
			high = level
		}
	}
	if low == 0 {
		return 0
	}
	return high
}

// QueueWait is a request's for a server: since when, and for how long it may.
type QueueWait struct{ Since, MaxS float64 }

// Waited is how long it has waited, as a share of what it may, 1 at most.
func (w QueueWait) Waited(now float64) float64 {
	return min((now-w.Since)/max(w.MaxS, minQueueWaitS), 1)
}

// Tick moves the level on. queue is what waits now; util tells how busy nodes' cores are, as far as that is known. It returns another gateway that is to
// be told what Say says, whether or not there is more to tell it, or -1.
func Tick[W interface{ Waited(now float64) float64 }](s *Shedder, now float64, queue []W, util func() (mean float64, known bool)) (call int) {
	if s == nil {
		return -1
	}
	shares := 0.0
	for _, w := range queue {
		shares += w.Waited(now)
	}
	mean, known := util()
	s.advance(now, len(queue), shares, known && mean < idleUtil)
	if s.level < minLevel || now < s.nextCallAt || len(s.peers) < 2 {
		return -1
	}
	s.nextCallAt = now + gossipIntervalS
	if s.nextPeer = (s.nextPeer + 1) % len(s.peers); s.nextPeer == s.self {
		s.nextPeer = (s.nextPeer + 1) % len(s.peers)
	}
	return s.nextPeer
}

func (s *Shedder) advance(now float64, waiting int, shares float64, easy bool) {
	dt := min(max(now-s.updatedAt, 0), 0.25) // a gateway that stood still knows nothing of the time between
	s.updatedAt = now
	k := math.Exp((s.waitSampledAt - now) / waitMemoryS)
	wait := (s.waitSum*k + shares) / (s.waitCount*k + float64(waiting) + priorSamples)
	s.waitFraction = wait
	let, in, done := s.admitted.Now(now, rateMemoryS), s.withinQuota.Now(now, rateMemoryS), s.served.Now(now, rateMemoryS)
	beyond := max(let, 1e-9) / min(max(in, 1e-9), max(let, 1e-9)) // let in, for a unit that quotas let in as well
	if wait > targetWait {
		much := (wait - targetWait) / (1 - targetWait)
		s.overloadedAt = now
		if can := done * beyond; can > s.capacity {
			s.capacity += (can - s.capacity) * min(dt/capacityUpS, 1)
		} else { // little is served also where little is let in
			s.capacity += (can - s.capacity) * min(dt/capacityDownS, 1)
		}
		if to := s.levelFor(now, done*beyond*(1-drainMargin*much)); to > s.level {
			s.level += (to - s.level) * min(dt/raiseS, 1)
		}
	} else {
		n := s.waitCount*k + float64(waiting)
		down := slowFallPerS * n / (n + priorSamples) // who asks for little itself sees little
		if easy || now-s.overloadedAt > recoveredAfterS {
			down = fastFallPerS
		}
		s.level -= down * (1 - wait/targetWait) * dt
		if to := s.levelFor(now, s.capacity); s.capacity > 0 && to < s.level { // less is asked for than could be served a moment ago
			s.level += (to - s.level) * min(dt/raiseS, 1)
		}
	}
	s.converge(now, dt)
	s.level = min(max(s.level, 0), 1)
	if s.level < minLevel {
		s.sheddingSince, s.capacity = 0, 0
	} else if s.sheddingSince == 0 {
		s.sheddingSince = now
	}
	if d := s.level - s.turnLevel; math.Abs(d) >= 0.1 {
		if d*s.lastSwing < 0 {
			s.reversals++
		}
		s.turnLevel, s.lastSwing = s.level, d
	}
}

// phaseOffset is how many steps one phase is ahead of another, the shorter way round.
func phaseOffset(a, b float64) float64 {
	return math.Mod(math.Mod(a-b, phaseSteps)+1.5*phaseSteps, phaseSteps) - phaseSteps/2
}

// converge brings level and phase to the medians of what others said of late: neither one that lies nor a few that are cut off carry the others away.
func (s *Shedder) converge(now, dt float64) {
	s.phase, s.phaseAt = math.Mod(s.phase+(now-s.phaseAt)/phaseStepS, phaseSteps), now
	s.freshLevels, s.phaseOffsets = s.freshLevels[:0], s.phaseOffsets[:0]
	for i := range s.peers {
		if w := &s.peers[i]; now-w.receivedAt < peerStateMaxAgeS {
			s.freshLevels = append(s.freshLevels, w.level)
			s.phaseOffsets = append(s.phaseOffsets, phaseOffset(w.phase+(now-w.receivedAt)/phaseStepS, s.phase))
		}
	}
	if len(s.freshLevels) == 0 {
		return
	}
	if len(s.freshLevels) == 1 { // one may lie: it is met half-way
		s.freshLevels, s.phaseOffsets = append(s.freshLevels, s.level), append(s.phaseOffsets, 0)
	}
	s.level += (median(s.freshLevels) - s.level) * min(dt/convergeS, 1)
	if d := median(s.phaseOffsets); math.Abs(d) > 0.5 { // a byte tells no more
		s.phase = math.Mod(s.phase+d*min(dt/convergeS, 1)+phaseSteps, phaseSteps)
	}
}

// median sorts a list and returns its middle.
func median(list []float64) float64 {
	slices.Sort(list)
	m := len(list) / 2
	if len(list)%2 == 0 {
		return (list[m] + list[m-1]) / 2
	}
	return list[m]
}

// ApplyGossip takes in what another gateway says, and tells whether the item was of that kind.
func (s *Shedder) ApplyGossip(now float64, from int, n peerprotocol.GossipEntry) bool {
	level, phase, ok := n.LoadShedState(now)
	if s != nil && ok {
		s.ApplyPeerLevel(now, from, level, phase)
	}
	return ok
}

// ApplyPeerLevel takes in another gateway's level and phase.
func (s *Shedder) ApplyPeerLevel(now float64, from int, level float64, phase uint8) {
	if from < 0 || from >= len(s.peers) || from == s.self || !(level >= 0 && level <= 1) {
		return
	}
	s.peers[from] = peerState{level, float64(phase) + 0.5, now}
}

// GossipState is what this gateway tells the others, for those who carry it by other ways than Say.
func (s *Shedder) GossipState() (level float64, phase uint8) { return s.level, uint8(s.phase) }

// AppendGossip appends to a message what this gateway tells the others.
func (s *Shedder) AppendGossip(b []byte) []byte {
	if s == nil {
		return b
	}
	return peerprotocol.AppendLoadShedState(b, s.level, uint8(s.phase))
}

// accountQuantile is an account's in a slice, from 0 to 1. From slice to slice it goes on by the golden section, so that within any few slices an account's lots
// lie all over the range: whatever share is let in, each account has about that share of the slices. Accounts' slices begin at different steps, so
// that not all change places at once.
func accountQuantile(account uint32, step uint8) float64 {
	x := peerprotocol.Mix64(uint64(account))
	slice := (step + uint8(x%stepsPerSlice)) / stepsPerSlice
	_, part := math.Modf(float64(x>>11)/(1<<53) + goldenSection*float64(slice))
	return part
}

// admittedFraction is what of a place is let in at a level. Each takes an equal part of the way of the level, the first one first; but any
// other than the first, which has later tries alone, has at least a part of what is left of the way, and everything the floor.
func (s *Shedder) admittedFraction(level float64, place, places int) float64 {
	x := 1 - min(max(level*float64(places)-float64(place), 0), 1)
	if place > 0 { // the first place has later tries alone
		x = max(x, classMinimum*(1-level))
	}
	return max(x, s.config.Floor)
}

// Admit takes in that units are asked for at a door, and tells whether the request is let in: the same everywhere at the same level.
func (s *Shedder) Admit(now float64, d AdmissionPriority, units float64) bool {
	if s == nil {
		return true
	}
	place, places := d.rank()
	for len(s.requested) < places {
		s.requested, s.rejected = append(s.requested, decay.Rate{}), append(s.rejected, 0)
	}
	s.requested[place].Add(now, units, rateMemoryS)
	if s.level >= minLevel && accountQuantile(d.AccountKey, uint8(s.phase)) >= s.admittedFraction(s.level, place, places) {
		s.rejected[place]++
		return false
	}
	s.admitted.Add(now, units, rateMemoryS)
	return true
}

// RetryAfterS is when a client that is refused should come back, most at the latest: when its account's lot is good enough, by the level of now. It is
// spread over the time behind, so that not all come back at once.
func (s *Shedder) RetryAfterS(d AdmissionPriority, most float64) float64 {
	if s == nil || s.level < minLevel || d.ClassCount == 0 {
		return most
	}
	place, places := d.rank()
	let := s.admittedFraction(s.level, place, places)
	for k := uint8(1); float64(k)*phaseStepS < most; k++ {
		if accountQuantile(d.AccountKey, uint8(s.phase)+k) < let {
			wait := (float64(k) - math.Mod(s.phase, 1)) * phaseStepS
			return min(max(wait, 0)+s.random()*phaseStepS, most)
		}
	}
	return most * (0.75 + 0.25*s.random())
}

// Status is what operators are shown.
type Status struct {
	Level         float64 `json:"level"`        // how far up the order of what can be refused the fleet refuses, 0 to 1
	SinceS        float64 `json:"since_s"`      // for how long it has refused anything
	WaitFraction  float64 `json:"wait"`         // what waits here waited so much of what it may
	ActivePeers   int     `json:"heard"`        // others that said something of late
	MinPeerLevel  float64 `json:"lowest"`       // level among them
	MaxPeerLevel  float64 `json:"highest"`      // and the other end: far apart, they don't hear each other
	Reversals     int     `json:"swings"`       // times that the level turned by a tenth or more; many a minute: it hunts
	Rejected      []int   `json:"turned_away"`  // at the door, by place: first later tries of the class that earns least, then its first tries, and so on
	RequestedPerS float64 `json:"asked_per_s"`  // units a second
	AdmittedPerS  float64 `json:"let_per_s"`    // that the level let in
	ServedPerS    float64 `json:"served_per_s"` // and that were served
}

// Status tells how things stand; nil where it is off.
func (s *Shedder) Status(now float64) *Status {
	if s == nil {
		return nil
	}
	st := &Status{Level: s.level, WaitFraction: s.waitFraction, Reversals: s.reversals, Rejected: slices.Clone(s.rejected), AdmittedPerS: s.admitted.Now(now, rateMemoryS), ServedPerS: s.served.Now(now, rateMemoryS)}
	if s.sheddingSince > 0 {
		st.SinceS = now - s.sheddingSince
	}
	for i := range s.requested {
		st.RequestedPerS += s.requested[i].Now(now, rateMemoryS)
	}
	for _, w := range s.peers {
		if now-w.receivedAt < peerStateMaxAgeS {
			if st.ActivePeers++; st.ActivePeers == 1 {
				st.MinPeerLevel, st.MaxPeerLevel = w.level, w.level
			}
			st.MinPeerLevel, st.MaxPeerLevel = min(st.MinPeerLevel, w.level), max(st.MaxPeerLevel, w.level)
		}
	}
	return st
}
