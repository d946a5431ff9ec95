// Package places lends the places of an account with a cap on open attempts: the right to have one attempt out, for a time. The owner of the
// account keeps a Book of what it has lent and a line of members that wait; a member keeps what it was lent. A place comes back by a word, or by
// itself when its time is over, so that no lost word and no dead member keeps it; who has an attempt out for longer renews it. Lengths of time
// are told, never times of day: clocks differ. The package does no I/O and takes time as a value, in seconds of the caller's clock.
package slotlease

import (
	"math"
	"slices"
)

const (
	// GraceS is for how much longer the lender believes in a place than it lent it for: a word's way to the member.
	GraceS = 0.08
	// RenewBeforeS before its end a place is renewed while an attempt is out on it.
	RenewBeforeS = 0.1
	// ReportLeaseS is for how long attempts out are lent places that a member tells of, and places that nobody asked for.
	ReportLeaseS = 0.5
	// MaxLeaseS bounds the time for which a place is lent.
	MaxLeaseS = 12.0
)

// LeaseS is for how long a place is lent to an attempt that takes so long in the mean, with such a mean deviation. Most attempts end within
// it, and a word of their end brings the place back earlier; one that lasts longer is renewed. A longer span saves renewals and costs
// idle places where the word of an end is lost, which one in eight is on the largest days.
func LeaseS(mean, dev float64) float64 { return min(mean+dev/2+RenewBeforeS, MaxLeaseS) }

// lease is so many places of one member, from one time to another.
type lease struct {
	member               int
	slots                int
	grantedAt, expiresAt float64
	expectedEndAt        float64 // when the attempts on them are thought to end
	reported             bool    // by the member's own word, not granted
}

// Waiter is a member's request for a place that has to wait.
type Waiter struct {
	Member            int
	Units, FirstUnits float64 // of all its requests that wait, and of the first of them
	LowPriority       float64 // of the first
	UseSharedBucket   bool    // a ceiling's shared part is to pay
	ExpiresAt         float64 // after that it has no use for the place
}

// Table is the lender's account of one account's places.
type Table struct {
	leases []lease
	queue  []Waiter
}

// Leased is how many places are lent now, but for those of one member (-1: of all).
func (b *Table) Leased(now float64, but int) (n int) {
	if b == nil {
		return 0
	}
	b.leases = slices.DeleteFunc(b.leases, func(l lease) bool { return l.expiresAt <= now })
	for _, l := range b.leases {
		if l.member != but {
			n += l.slots
		}
	}
	return n
}

// Grant notes that a member has so many places more, for so long from now on. The attempts on them take about mean.
func (b *Table) Grant(now float64, member, n int, span, mean float64) {
	if n > 0 {
		b.leases = append(b.leases, lease{member, n, now, now + min(span, MaxLeaseS) + GraceS, now + min(mean, span), false})
	}
}

// ApplyReport takes a member's word that it has so many attempts out: it stands in place of what was lent to it, but for places lent so short a time
// ago that the word may have crossed them. The places are its own for so long from now on, its attempts thought to last another mean.
func (b *Table) ApplyReport(now float64, member, out int, span, mean float64) {
	b.leases = slices.DeleteFunc(b.leases, func(l lease) bool { return l.member == member && (l.reported || now-l.grantedAt >= GraceS) })
	for _, l := range b.leases {
		if l.member == member { // granted just now: out may have them already
			out -= l.slots
		}
	}
	if out > 0 {
		b.Grant(now, member, out, span, mean)
		b.leases[len(b.leases)-1].reported = true
	}
}

// DropMember ends all that a member has: it died, or has started anew.
func (b *Table) DropMember(member int) {
	b.leases = slices.DeleteFunc(b.leases, func(l lease) bool { return l.member == member })
	b.Dequeue(member)
}

// Enqueue puts a member into the line, or brings what it asks for up to date where it stands, and returns how many are before it. The line holds
// each member once.
func (b *Table) Enqueue(w Waiter) (before int) {
	if i := b.queueIndex(w.Member); i >= 0 {
		w.ExpiresAt = max(w.ExpiresAt, b.queue[i].ExpiresAt)
		b.queue[i] = w
		return i
	}
	b.queue = append(b.queue, w)
	return len(b.queue) - 1
}

func (b *Table) queueIndex(member int) int {
	return slices.IndexFunc(b.queue, func(w Waiter) bool { return w.Member == member })
}

// Dequeue takes a member out of the line.
func (b *Table) Dequeue(member int) {
	if i := b.queueIndex(member); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
}

// QueueLen is how many members are in the line.
func (b *Table) QueueLen() int {
	if b == nil {
		return 0
	}
	return len(b.queue)
}

// NextWaiter is the first in the line that can still use a place; those whose time is over leave it.
func (b *Table) NextWaiter(now float64) (Waiter, bool) {
	b.queue = slices.DeleteFunc(b.queue, func(w Waiter) bool { return w.ExpiresAt <= now })
	if len(b.queue) == 0 {
		return Waiter{}, false
	}
	return b.queue[0], true
}

// minRemainingS is how soon an attempt that ought to have ended is thought to end.
const minRemainingS = 0.03

// ExpectedWaitS is how long it takes until somebody with so many before it gets a place: by when the attempts on the places that are lent, and so many of the
// lender's own, are thought to end, each place then going to the next for the mean.
func (b *Table) ExpectedWaitS(now float64, before, own int, mean float64) float64 {
	var ends []float64
	for _, l := range b.leases {
		for range l.slots {
			if l.expiresAt > now {
				ends = append(ends, max(l.expectedEndAt-now, minRemainingS))
			}
		}
	}
	for range own {
		ends = append(ends, mean/2)
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	return ends[before%len(ends)] + mean*float64(before/len(ends))
}

// MemberLeases is what a member was lent of one account.
type MemberLeases struct{ leases []lease }

// Add takes a grant of so many places, for so long from now on. The caller's count from the arrival of a word is at most GraceS behind the lender's.
func (h *MemberLeases) Add(now float64, n int, span float64) {
	if n > 0 && span > 0 {
		h.leases = append(h.leases, lease{slots: n, expiresAt: now + span})
	}
}

// Renew notes that the lender is told of so many attempts out, and for how long: nothing else is held from then on.
func (h *MemberLeases) Renew(now float64, n int, span float64) {
	h.leases = h.leases[:0]
	h.Add(now, n, span)
}

// Count is how many places are held at a time.
func (h *MemberLeases) Count(at float64) (n int) {
	for _, l := range h.leases {
		if l.expiresAt > at {
			n += l.slots
		}
	}
	return n
}

// DropExpired forgets places whose time is over.
func (h *MemberLeases) DropExpired(now float64) {
	h.leases = slices.DeleteFunc(h.leases, func(l lease) bool { return l.expiresAt <= now })
}

// PrefetchCount is how many of the free places a member is lent before it asks: its part of what is asked for, rounded down, so that the parts of all
// members add up to what is free. Half of it stays for those who ask.
func PrefetchCount(free int, mine, all float64) int {
	if free < 2 || all <= 0 || mine <= 0 {
		return 0
	}
	return int(math.Floor(float64(free) / 2 * min(mine/all, 1)))
}
