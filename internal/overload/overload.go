// Package overload is what a gateway knows of how much too much is asked of the fleet, and who is turned away for it. All gateways hold one
// level between them, each by what it sees itself and by what it hears of the others; where a request stands in the order of what can be
// refused, and which accounts a level half-way through a class falls on, all work out alike. It does no I/O and takes time as a value, in seconds.
package overload

import (
	"fmt"
	"math"
	"slices"

	"eiderspread/internal/fade"
	"eiderspread/internal/peermsg"
)

// Config is what operators say of it. Its zero value is off.
type Config struct {
	On    bool    `toml:"on"`
	Floor float64 `toml:"floor"` // of each account's requests, that no level takes; 0 stands for floorShare
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
	floorShare = 0.03 // of each account's requests are served whatever the level, so that none is served nothing
	waitTauS   = 0.3  // memory of what waited
	rateTauS   = 0.5  // and of what was asked for, let in and served
	prior      = 2.0  // waits of nothing that are believed in beforehand: one request alone tells little
	right      = 0.12 // of what they may, that requests wait for a server where as much is let in as can be served
	aimS       = 0.1  // in which the level comes to where as much is let in as is served, while more than that waits
	ease       = 0.8  // of what is served, that is let in less while all waits as long as it may, so that what waits becomes less
	downS      = 0.2  // levels a second that it falls where nothing waits
	calmS      = 1.5  // after which it falls as fast where nothing has waited since
	cannotS    = 2.0  // and that less can be served than was thought
	canS       = 0.5  // in which it is learned what can be served
	easyS      = 1.0  // and where nodes' cores are free too
	meetS      = 0.1  // in which it comes to what the others say
	freshS     = 1.5  // for which what another one said counts
	callS      = 0.5  // between words to one other gateway after the other, while anything is refused: not all have messages for each other
	stepS      = 0.5  // a step of the phase
	steps      = 4    // of them make a slice, in which the same accounts are served; the phase, a byte, counts 64 of these
	phases     = 256  // steps until the phase begins again
	keep       = 0.5  // of what is left of the level's way, that every place but the first has at least: operators ask that each class be served
	golden     = math.Phi - 1
	least      = 0.004 // a level that refuses nothing
	waitLeast  = 0.02  // for which every request may wait
	easyUtil   = 0.8   // nodes' cores less busy than this are free
)

type word struct{ level, phase, at float64 }

// State is one gateway's. Its words are bounded by the number of gateways, its rates by the number of classes.
type State struct {
	cfg           Config
	rng           func() float64
	level, at     float64
	waits, n      float64 // fading sums of waits, and their number
	sampleAt      float64
	asked         []fade.Rate // units a second, by place in the order
	let, in, done fade.Rate   // units a second that the level let in, that quotas let in of these, and that were served
	words         []word      // by gateway
	phase, ticked float64     // where this gateway is in the order of lots, in steps from 0 to 256, and when it was there
	fresh, ahead  []float64   // scratch
	swings        int         // how often the level turned by a tenth or more
	turn, from    float64
	since         float64 // since when it refuses; 0: it does not
	shed          []int   // requests turned away, by place
	wait          float64
	pressedAt     float64 // when too much last waited
	can           float64 // units a second let in that could be served when it last was too much
	me, next      int     // next: who was told last
	callAt        float64
}

// New begins with a level of 0, for gateway me of so many that hear each other; nil where it is off. All methods take nil for a fleet that refuses nothing for this.
func New(cfg Config, me, gateways int, now float64, rng func() float64) *State {
	if !cfg.On {
		return nil
	}
	if cfg.Floor == 0 {
		cfg.Floor = floorShare
	}
	w := make([]word, gateways)
	for i := range w {
		w[i].at = math.Inf(-1)
	}
	return &State{cfg: cfg, rng: rng, at: now, ticked: now, words: w, me: me, next: int(rng() * float64(gateways))}
}

// Level is how far up the order of what can be refused the fleet refuses now, from 0 (nothing) to 1 (all but the floors).
func (s *State) Level() float64 {
	if s == nil {
		return 0
	}
	return s.level
}

// Cheaper counts the classes that are worth less a unit, which stands for work as well.
func Cheaper[C any](worth float64, classes []C, of func(C) float64) (n int) {
	for _, c := range classes {
		if of(c) < worth {
			n++
		}
	}
	return n
}

// Price is what counts of a plan's price in the order of what waits. Plans are served alike: what is turned away is chosen at the door, and an order
// by price behind it would starve the cheap ones all the same.
func (s *State) Price(price float64) float64 {
	if s == nil {
		return price
	}
	return 1
}

// Firsts is the factor on the share of tries that must have about the same time left to be taken for first ones: where many are refused, most
// tries are later ones.
func (s *State) Firsts() float64 {
	if s.Level() > 0 {
		return 0.5
	}
	return 1
}

// Door is what a request shows there: its account, and the place of its class.
type Door struct {
	Account          uint32
	Cheaper, Classes int  // classes that earn less a unit of work, and all
	Later            bool // a client's later try: it stands one place before the first tries of its class
}

// place is where a request stands in the order of what can be refused, and how many places there are.
func (d Door) place() (place, places int) {
	if d.Later {
		return d.Cheaper, d.Classes + 1
	}
	return d.Cheaper + 1, d.Classes + 1
}

// Waited takes in how long a request waited for a server that was sent, as a share of what it may; 1 for one that was given up.
func (s *State) Waited(now, share float64) {
	if s == nil {
		return
	}
	k := math.Exp((s.sampleAt - now) / waitTauS)
	s.waits, s.n, s.sampleAt = s.waits*k+min(max(share, 0), 1), s.n*k+1, now
}

// Took takes in that quotas let units in.
func (s *State) Took(now, units float64) {
	if s != nil {
		s.in.Add(now, units, rateTauS)
	}
}

// Served takes in that units were served.
func (s *State) Served(now, units float64) {
	if s != nil {
		s.done.Add(now, units, rateTauS)
	}
}

// target is the level at which so many units a second are let in.
func (s *State) target(now, units float64) float64 {
	low, high := 0.0, 1.0
	for range 12 { // to a part in four thousand
		level, let := (low+high)/2, 0.0
		for place := range s.asked {
			let += s.asked[place].Now(now, rateTauS) * s.share(level, place, len(s.asked))
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

// Wait is a request's for a server: since when, and for how long it may.
type Wait struct{ From, Most float64 }

// Waited is how long it has waited, as a share of what it may, 1 at most.
func (w Wait) Waited(now float64) float64 { return min((now-w.From)/max(w.Most, waitLeast), 1) }

// Tick moves the level on. queue is what waits now; util tells how busy nodes' cores are, as far as that is known. It returns another gateway that is to
// be told what Say says, whether or not there is more to tell it, or -1.
func Tick[W interface{ Waited(now float64) float64 }](s *State, now float64, queue []W, util func() (mean float64, known bool)) (call int) {
	if s == nil {
		return -1
	}
	shares := 0.0
	for _, w := range queue {
		shares += w.Waited(now)
	}
	mean, known := util()
	s.tick(now, len(queue), shares, known && mean < easyUtil)
	if s.level < least || now < s.callAt || len(s.words) < 2 {
		return -1
	}
	s.callAt = now + callS
	if s.next = (s.next + 1) % len(s.words); s.next == s.me {
		s.next = (s.next + 1) % len(s.words)
	}
	return s.next
}

func (s *State) tick(now float64, waiting int, shares float64, easy bool) {
	dt := min(max(now-s.at, 0), 0.25) // a gateway that stood still knows nothing of the time between
	s.at = now
	k := math.Exp((s.sampleAt - now) / waitTauS)
	wait := (s.waits*k + shares) / (s.n*k + float64(waiting) + prior)
	s.wait = wait
	let, in, done := s.let.Now(now, rateTauS), s.in.Now(now, rateTauS), s.done.Now(now, rateTauS)
	beyond := max(let, 1e-9) / min(max(in, 1e-9), max(let, 1e-9)) // let in, for a unit that quotas let in as well
	if wait > right {
		much := (wait - right) / (1 - right)
		s.pressedAt = now
		if can := done * beyond; can > s.can {
			s.can += (can - s.can) * min(dt/canS, 1)
		} else { // little is served also where little is let in
			s.can += (can - s.can) * min(dt/cannotS, 1)
		}
		if to := s.target(now, done*beyond*(1-ease*much)); to > s.level {
			s.level += (to - s.level) * min(dt/aimS, 1)
		}
	} else {
		n := s.n*k + float64(waiting)
		down := downS * n / (n + prior) // who asks for little itself sees little
		if easy || now-s.pressedAt > calmS {
			down = easyS
		}
		s.level -= down * (1 - wait/right) * dt
		if to := s.target(now, s.can); s.can > 0 && to < s.level { // less is asked for than could be served a moment ago
			s.level += (to - s.level) * min(dt/aimS, 1)
		}
	}
	s.meet(now, dt)
	s.level = min(max(s.level, 0), 1)
	if s.level < least {
		s.since, s.can = 0, 0
	} else if s.since == 0 {
		s.since = now
	}
	if d := s.level - s.turn; math.Abs(d) >= 0.1 {
		if d*s.from < 0 {
			s.swings++
		}
		s.turn, s.from = s.level, d
	}
}

// apart is how many steps one phase is ahead of another, the shorter way round.
func apart(a, b float64) float64 {
	return math.Mod(math.Mod(a-b, phases)+1.5*phases, phases) - phases/2
}

// meet brings level and phase to the medians of what others said of late: neither one that lies nor a few that are cut off carry the others away.
func (s *State) meet(now, dt float64) {
	s.phase, s.ticked = math.Mod(s.phase+(now-s.ticked)/stepS, phases), now
	s.fresh, s.ahead = s.fresh[:0], s.ahead[:0]
	for i := range s.words {
		if w := &s.words[i]; now-w.at < freshS {
			s.fresh = append(s.fresh, w.level)
			s.ahead = append(s.ahead, apart(w.phase+(now-w.at)/stepS, s.phase))
		}
	}
	if len(s.fresh) == 0 {
		return
	}
	if len(s.fresh) == 1 { // one may lie: it is met half-way
		s.fresh, s.ahead = append(s.fresh, s.level), append(s.ahead, 0)
	}
	s.level += (median(s.fresh) - s.level) * min(dt/meetS, 1)
	if d := median(s.ahead); math.Abs(d) > 0.5 { // a byte tells no more
		s.phase = math.Mod(s.phase+d*min(dt/meetS, 1)+phases, phases)
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

// Hear takes in what another gateway says, and tells whether the item was of that kind.
func (s *State) Hear(now float64, from int, n peermsg.Item) bool {
	level, phase, ok := n.State(now)
	if s != nil && ok {
		s.HearLevel(now, from, level, phase)
	}
	return ok
}

// HearLevel takes in another gateway's level and phase.
func (s *State) HearLevel(now float64, from int, level float64, phase uint8) {
	if from < 0 || from >= len(s.words) || from == s.me || !(level >= 0 && level <= 1) {
		return
	}
	s.words[from] = word{level, float64(phase) + 0.5, now}
}

// Word is what this gateway tells the others, for those who carry it by other ways than Say.
func (s *State) Word() (level float64, phase uint8) { return s.level, uint8(s.phase) }

// Say appends to a message what this gateway tells the others.
func (s *State) Say(b []byte) []byte {
	if s == nil {
		return b
	}
	return peermsg.AppendState(b, s.level, uint8(s.phase))
}

// lot is an account's in a slice, from 0 to 1. From slice to slice it goes on by the golden section, so that within any few slices an account's lots
// lie all over the range: whatever share is let in, each account has about that share of the slices. Accounts' slices begin at different steps, so
// that not all change places at once.
func lot(account uint32, step uint8) float64 {
	x := peermsg.Mix(uint64(account))
	slice := (step + uint8(x%steps)) / steps
	_, part := math.Modf(float64(x>>11)/(1<<53) + golden*float64(slice))
	return part
}

// share is what of a place is let in at a level. Each takes an equal part of the way of the level, the first one first; but any
// other than the first, which has later tries alone, has at least a part of what is left of the way, and everything the floor.
func (s *State) share(level float64, place, places int) float64 {
	x := 1 - min(max(level*float64(places)-float64(place), 0), 1)
	if place > 0 { // the first place has later tries alone
		x = max(x, keep*(1-level))
	}
	return max(x, s.cfg.Floor)
}

// Ask takes in that units are asked for at a door, and tells whether the request is let in: the same everywhere at the same level.
func (s *State) Ask(now float64, d Door, units float64) bool {
	if s == nil {
		return true
	}
	place, places := d.place()
	for len(s.asked) < places {
		s.asked, s.shed = append(s.asked, fade.Rate{}), append(s.shed, 0)
	}
	s.asked[place].Add(now, units, rateTauS)
	if s.level >= least && lot(d.Account, uint8(s.phase)) >= s.share(s.level, place, places) {
		s.shed[place]++
		return false
	}
	s.let.Add(now, units, rateTauS)
	return true
}

// Hint is when a client that is refused should come back, most at the latest: when its account's lot is good enough, by the level of now. It is
// spread over the time behind, so that not all come back at once.
func (s *State) Hint(d Door, most float64) float64 {
	if s == nil || s.level < least || d.Classes == 0 {
		return most
	}
	place, places := d.place()
	let := s.share(s.level, place, places)
	for k := uint8(1); float64(k)*stepS < most; k++ {
		if lot(d.Account, uint8(s.phase)+k) < let {
			wait := (float64(k) - math.Mod(s.phase, 1)) * stepS
			return min(max(wait, 0)+s.rng()*stepS, most)
		}
	}
	return most * (0.75 + 0.25*s.rng())
}

// Status is what operators are shown.
type Status struct {
	Level   float64 `json:"level"`        // how far up the order of what can be refused the fleet refuses, 0 to 1
	SinceS  float64 `json:"since_s"`      // for how long it has refused anything
	Wait    float64 `json:"wait"`         // what waits here waited so much of what it may
	Heard   int     `json:"heard"`        // others that said something of late
	Lowest  float64 `json:"lowest"`       // level among them
	Highest float64 `json:"highest"`      // and the other end: far apart, they don't hear each other
	Swings  int     `json:"swings"`       // times that the level turned by a tenth or more; many a minute: it hunts
	Shed    []int   `json:"turned_away"`  // at the door, by place: first later tries of the class that earns least, then its first tries, and so on
	Asked   float64 `json:"asked_per_s"`  // units a second
	Let     float64 `json:"let_per_s"`    // that the level let in
	Served  float64 `json:"served_per_s"` // and that were served
}

// Status tells how things stand; nil where it is off.
func (s *State) Status(now float64) *Status {
	if s == nil {
		return nil
	}
	st := &Status{Level: s.level, Wait: s.wait, Swings: s.swings, Shed: slices.Clone(s.shed), Let: s.let.Now(now, rateTauS), Served: s.done.Now(now, rateTauS)}
	if s.since > 0 {
		st.SinceS = now - s.since
	}
	for i := range s.asked {
		st.Asked += s.asked[i].Now(now, rateTauS)
	}
	for _, w := range s.words {
		if now-w.at < freshS {
			if st.Heard++; st.Heard == 1 {
				st.Lowest, st.Highest = w.level, w.level
			}
			st.Lowest, st.Highest = min(st.Lowest, w.level), max(st.Highest, w.level)
		}
	}
	return st
}
