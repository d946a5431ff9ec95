// Package planner hosts the decision module for many forwarders. leases.go decides which cells this planner
// leads, recovery.go what a cell's customers may have used before, host.go joins both with the modules: all three
// without I/O or a clock. server.go is the link.
package planner

import (
	"math"
	"math/rand/v2"
	"slices"

	"eiderspread/internal/fleet"
	"eiderspread/internal/link"
)

const (
	rounds    = 64  // renewals whose time of sending is remembered
	handbackS = 2.0 // a cell is kept for so long before it is given to a planner that comes before in its order
	wantEvery = 0.2 // seconds between two wishes
	// No two claims have the same epoch: beside its order stand the planner's number and a draw. A forwarder that had
	// promised one to a planner's earlier life would else take the same one of its new life for neither newer nor its own.
	epochStep = 64 << 32
)

// view is how a forwarder last said that a cell stands with it.
type view struct {
	known  bool
	epoch  uint64
	holder int // -1: nobody yet
	freeAt float64
	want   int // a planner that asks for the cell, -1: nobody
}

// lease is this planner's standing in one cell.
type lease struct {
	epoch     uint64 // of the claim that is made or led by, 0: neither
	leads     bool
	round     uint32
	sentAt    [rounds]float64
	granted   []float64 // by forwarder: when the latest round that it granted was sent, -Inf: none
	endsAt    float64   // of the lead; see ends
	since     float64   // of the claim, or of the lead
	views     []view    // by forwarder
	freeSince float64   // since when a majority has it as free, +Inf: it has not
	next      float64   // no claim before
	wantedAt  float64
}

// leases decides which cells this planner leads. Times are seconds of this machine.
type leases struct {
	p      fleet.Params
	me     int
	rng    *rand.Rand
	cells  []lease
	up     []bool // by forwarder
	beatAt float64
	leaves bool // no cell is claimed any more

	send   func(forwarder int, msgs ...link.Msg)
	begins func(cell int, epoch uint64)              // a claim was made: tales may come
	gained func(now float64, cell int, epoch uint64) // a majority has promised
	lost   func(cell int)                            // the claim or the lead is over; nothing may be decided by it from now on
}

func newLeases(p fleet.Params, me int, seed uint64) *leases {
	l := &leases{p: p, me: me, rng: rand.New(rand.NewPCG(seed, 0x6a09e667f3bcc908)), cells: make([]lease, p.Cells),
		up: make([]bool, p.Forwarders)}
	for i := range l.cells {
		k := &l.cells[i]
		k.granted, k.views, k.freeSince = make([]float64, p.Forwarders), make([]view, p.Forwarders), math.Inf(1)
	}
	return l
}

// ends is when the lead ends by what was granted so far: LeadShare of the lease after the oldest of the
// majority's latest rounds was sent. The one rule on the planner's side of fencing.
func (l *leases) ends(k *lease) float64 {
	latest := slices.Clone(k.granted)
	slices.SortFunc(latest, func(a, b float64) int {
		switch {
		case a > b:
			return -1
		case a < b:
			return 1
		}
		return 0
	})
	return latest[l.p.Majority()-1] + l.p.LeaseS*fleet.LeadShare
}

// leads tells whether this planner may decide for the cell at this moment, under this epoch.
func (l *leases) leads(now float64, cell int, epoch uint64) bool {
	if cell < 0 || cell >= len(l.cells) {
		return false
	}
	k := &l.cells[cell]
	return k.leads && k.epoch == epoch && (now < k.endsAt || !fleet.Fenced)
}

// linkUp takes a link to a forwarder. One that has promised a cell to this lead, as before its link broke or its process was replaced,
// need not wait for the next renewal to hear of it; any other does not follow by it.
func (l *leases) linkUp(now float64, f int) {
	l.up[f] = true
	for i := range l.cells {
		if k := &l.cells[i]; l.leads(now, i, k.epoch) {
			l.send(f, link.Msg{Kind: link.Lead, Cell: uint16(i), Epoch: k.epoch})
		}
	}
}

func (l *leases) linkDown(f int) {
	l.up[f] = false
	for i := range l.cells {
		l.cells[i].views[f].known = false
	}
}

// view takes a forwarder's word on a cell.
func (l *leases) view(now float64, f int, m *link.Msg) {
	if int(m.Cell) >= len(l.cells) {
		return
	}
	k := &l.cells[m.Cell]
	k.views[f] = view{true, m.Epoch, int(m.N) - 1, now + m.Wait, int(m.Want) - 1}
	if k.leads && m.Epoch > k.epoch && m.Wait == 0 && now >= k.since+l.p.LeaseS {
		// Another's claim, that failed, is all that this forwarder will ever follow: a higher epoch mends that.
		l.release(now, int(m.Cell))
		k.next = now
	}
}

// grant takes a promise, or its renewal.
func (l *leases) grant(now float64, f int, m *link.Msg) {
	if int(m.Cell) >= len(l.cells) {
		return
	}
	k := &l.cells[m.Cell]
	if k.epoch == 0 || k.epoch != m.Epoch || m.Round > k.round || k.round-m.Round >= rounds {
		return
	}
	k.granted[f] = max(k.granted[f], k.sentAt[m.Round%rounds])
	k.endsAt = l.ends(k)
	if !k.leads && now < k.endsAt {
		k.leads, k.since = true, now
		l.gained(now, int(m.Cell), k.epoch)
		l.claim(now, int(m.Cell)) // says that it leads, too
	}
}

// claim sends the next round of a claim to all forwarders.
func (l *leases) claim(now float64, cell int) {
	k := &l.cells[cell]
	k.round++
	k.sentAt[k.round%rounds] = now
	msgs := []link.Msg{{Kind: link.Claim, Cell: uint16(cell), Epoch: k.epoch, Round: k.round}}
	if k.leads {
		msgs = append(msgs, link.Msg{Kind: link.Lead, Cell: uint16(cell), Epoch: k.epoch})
	}
	for f, up := range l.up {
		if up {
			l.send(f, msgs...)
		}
	}
}

// drop ends a claim or lead without a word.
func (l *leases) drop(now float64, cell int) {
	k := &l.cells[cell]
	k.epoch, k.leads, k.freeSince = 0, false, math.Inf(1)
	k.next = now + l.p.LeaseS/2*l.rng.Float64()
	l.lost(cell)
}

// expire drops the leads that have run out. It says so: a forwarder whose promise still runs would go on telling requests
// to a planner that has stopped listening.
func (l *leases) expire(now float64) {
	for i := range l.cells {
		if k := &l.cells[i]; k.leads && now >= k.endsAt && fleet.Fenced {
			epoch := k.epoch
			l.drop(now, i)
			l.unpromise(i, epoch)
		}
	}
}

// release gives a lead up: its successor need not wait for the promises to run out.
func (l *leases) release(now float64, cell int) {
	k := &l.cells[cell]
	epoch := k.epoch
	l.drop(now, cell)
	k.next = now + l.p.LeaseS
	for f := range l.up {
		k.views[f].known = false // it is about to change
	}
	l.unpromise(cell, epoch)
}

// unpromise tells forwarders that nothing more will be decided under an epoch.
func (l *leases) unpromise(cell int, epoch uint64) {
	for f, up := range l.up {
		if up {
			l.send(f, link.Msg{Kind: link.Release, Cell: uint16(cell), Epoch: epoch})
		}
	}
}

// leave gives all up, until leaves is false again.
func (l *leases) leave(now float64) {
	l.leaves = true
	for i := range l.cells {
		if l.cells[i].epoch != 0 {
			l.release(now, i)
		}
	}
}

// tick claims, renews and gives up; call it every few milliseconds.
func (l *leases) tick(now float64) {
	beat := now >= l.beatAt
	if beat {
		l.beatAt = now + l.p.BeatS
		for f, up := range l.up {
			if up {
				l.send(f, link.Msg{Kind: link.Beat})
			}
		}
	}
	for i := range l.cells {
		k := &l.cells[i]
		switch {
		case k.epoch != 0 && !k.leads && now >= k.since+l.p.LeaseS:
			l.drop(now, i)
		case k.leads && now >= k.since+handbackS && l.wanted(i):
			l.release(now, i)
		case k.epoch != 0:
			if beat {
				l.claim(now, i)
			}
		case !l.leaves:
			l.idle(now, i)
		}
	}
}

// wanted tells that a majority knows of a planner that comes before this one and asks for the cell.
func (l *leases) wanted(cell int) bool {
	n := 0
	for f, v := range l.cells[cell].views {
		if l.up[f] && v.known && v.want >= 0 && v.want < l.p.Planners && l.p.Rank(cell, v.want) < l.p.Rank(cell, l.me) {
			n++
		}
	}
	return n >= l.p.Majority()
}

// ahead is how many planners this one lets go first, of those before it in the cell's order: not the one that a majority had promised
// the cell to last. That one has given it up, or died or stood still; should it claim all the same, a claim fails and nothing else.
func (l *leases) ahead(k *lease, cell, rank int) int {
	last := make([]int, l.p.Planners)
	for f, v := range k.views {
		if l.up[f] && v.known && v.holder >= 0 && v.holder < l.p.Planners {
			if last[v.holder]++; last[v.holder] >= l.p.Majority() && l.p.Rank(cell, v.holder) < rank {
				return rank - 1
			}
		}
	}
	return rank
}

// idle claims a cell that a majority has as free, after the planners that come before in its order, or asks for
// one that a planner behind holds.
func (l *leases) idle(now float64, cell int) {
	k := &l.cells[cell]
	free, behind, epoch := 0, 0, uint64(0)
	rank := l.p.Rank(cell, l.me)
	for f, v := range k.views {
		if !l.up[f] || !v.known {
			continue
		}
		epoch = max(epoch, v.epoch)
		switch {
		case now >= v.freeAt, v.holder == l.me: // a claim of one's own that failed stands in nobody's way
			free++
		case v.holder >= 0 && v.holder < l.p.Planners && l.p.Rank(cell, v.holder) > rank:
			behind++
		}
	}
	if free < l.p.Majority() {
		k.freeSince = math.Inf(1)
	} else {
		k.freeSince = min(k.freeSince, now)
	}
	switch {
	case now >= k.next && now >= k.freeSince+float64(l.ahead(k, cell, rank))*fleet.StaggerS:
		k.epoch, k.leads, k.since, k.round = (epoch/epochStep+1)*epochStep+uint64(l.rng.Uint32())<<6+uint64(l.me), false, now, 0
		for f := range k.granted {
			k.granted[f] = math.Inf(-1)
		}
		k.endsAt = math.Inf(-1)
		l.begins(cell, k.epoch)
		l.claim(now, cell)
	case behind >= l.p.Majority() && now >= k.wantedAt+wantEvery:
		k.wantedAt = now
		for f, up := range l.up {
			if up {
				l.send(f, link.Msg{Kind: link.Want, Cell: uint16(cell)})
			}
		}
	}
}
