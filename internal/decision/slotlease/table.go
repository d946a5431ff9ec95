package slotlease

import "slices"

// lease is a number of slots granted to one member.
type lease struct {
	member        int
	slots         int
	grantedAt     float64
	expiresAt     float64
	expectedEndAt float64 // when the attempts on the slots are expected to end
	reported      bool    // by the member, rather than granted to it
}

// Table is the lessor's record of one account's slots and of the members that wait for one. Its zero value
// is empty.
type Table struct {
	leases []lease
	queue  []Waiter
}

// Leased returns how many slots are leased now to members other than except (-1: to all members), and drops
// expired leases.
func (t *Table) Leased(now float64, except int) (slots int) {
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool { return l.expiresAt <= now })
	for _, l := range t.leases {
		if l.member != except {
			slots += l.slots
		}
	}
	return slots
}

// Grant leases slots to a member for leaseS seconds from now. Their attempts are expected to take
// meanLatencyS.
func (t *Table) Grant(now float64, member, slots int, leaseS, meanLatencyS float64) {
	t.add(now, member, slots, leaseS, meanLatencyS, false)
}

func (t *Table) add(now float64, member, slots int, leaseS, meanLatencyS float64, reported bool) {
	if slots <= 0 {
		return
	}
	t.leases = append(t.leases, lease{
		member:        member,
		slots:         slots,
		grantedAt:     now,
		expiresAt:     now + min(leaseS, MaxLeaseS) + GraceS,
		expectedEndAt: now + min(meanLatencyS, leaseS),
		reported:      reported,
	})
}

// ApplyReport replaces a member's leases by its report of attempts in flight, leased for leaseS seconds from
// now and expected to take another meanLatencyS. Grants younger than GraceS stay, since the report may have
// been sent before they arrived; what is reported beyond them is added.
func (t *Table) ApplyReport(now float64, member, inFlight int, leaseS, meanLatencyS float64) {
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool {
		return l.member == member && (l.reported || now-l.grantedAt >= GraceS)
	})
	for _, l := range t.leases {
		if l.member == member {
			inFlight -= l.slots
		}
	}
	t.add(now, member, inFlight, leaseS, meanLatencyS, true)
}

// DropMember removes a member's leases and its place in the queue, as it has died or restarted.
func (t *Table) DropMember(member int) {
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool { return l.member == member })
	t.Dequeue(member)
}

// minRemainingS is the least time that an attempt is expected to take still, in seconds; one that has
// outlived its expected end may end at any moment.
const minRemainingS = 0.03

// ExpectedWaitS returns how long a request with so many before it has to wait for a slot, in seconds: until
// the attempts on the leased slots, and localAttempts of the lessor itself, are expected to end. Each slot
// is then expected to be taken for meanLatencyS. It is 0 if nothing is in flight.
func (t *Table) ExpectedWaitS(now float64, before, localAttempts int, meanLatencyS float64) float64 {
	var ends []float64
	for _, l := range t.leases {
		if l.expiresAt <= now {
			continue
		}
		for range l.slots {
			ends = append(ends, max(l.expectedEndAt-now, minRemainingS))
		}
	}
	for range localAttempts {
		ends = append(ends, meanLatencyS/2) // half done, on average
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	return ends[before%len(ends)] + meanLatencyS*float64(before/len(ends))
}
