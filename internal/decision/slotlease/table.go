package slotlease

import "slices"

// lease is the lessor's record of slots that are leased to one member.
type lease struct {
	member        int
	slots         int
	grantedAt     float64
	expiresAt     float64
	expectedEndAt float64 // when the attempts on the slots are expected to end
	reported      bool    // the member reported the attempts; false: the slots were granted to it
}

// Table is the lessor's record of one account: the leased slots and the members that wait for one. Its zero
// value is empty.
type Table struct {
	leases []lease
	queue  []Waiter
}

// Leased drops the expired leases and returns how many slots are leased now to members other than except. With
// an except of -1 it counts all members.
func (t *Table) Leased(now float64, except int) (slots int) {
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool { return l.expiresAt <= now })
	for _, l := range t.leases {
		if l.member != except {
			slots += l.slots
		}
	}
	return slots
}

// Grant leases slots to a member for leaseS seconds from now. The attempts on them are expected to take
// meanLatencyS seconds.
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

// ApplyReport replaces a member's leases by its report of inFlight attempts. They are leased for leaseS seconds
// from now and expected to take another meanLatencyS seconds. Grants younger than GraceS stay, because the
// report may have been sent before they arrived; only the attempts beyond their slots are added.
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

// DropMember removes the leases and the queue entry of a member that has died or restarted.
func (t *Table) DropMember(member int) {
	t.leases = slices.DeleteFunc(t.leases, func(l lease) bool { return l.member == member })
	t.Dequeue(member)
}

// minRemainingS is the shortest time that an attempt is expected to need still, in seconds. An attempt past its
// expected end may end at any moment.
const minRemainingS = 0.03

// ExpectedWaitS returns how long a request with so many requests ahead of it has to wait for a slot, in seconds.
// A slot becomes free when an attempt is expected to end: one on a leased slot, or one of the lessor's own
// localAttempts. Each request ahead then occupies a slot for meanLatencyS. The result is 0 if nothing is in
// flight.
func (t *Table) ExpectedWaitS(now float64, ahead, localAttempts int, meanLatencyS float64) float64 {
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
		ends = append(ends, meanLatencyS/2) // on average, half of the latency remains
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	return ends[ahead%len(ends)] + meanLatencyS*float64(ahead/len(ends))
}
