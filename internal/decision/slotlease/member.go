package slotlease

import "slices"

// MemberLeases holds the slots of one account that are leased to a member, as the member sees them. Its zero
// value is empty.
type MemberLeases struct{ leases []memberLease }

type memberLease struct {
	slots     int
	expiresAt float64
}

// Add records a grant of slots for leaseS seconds from now, the time at which the grant arrived. A grant arrives
// at most GraceS after it was sent.
func (m *MemberLeases) Add(now float64, slots int, leaseS float64) {
	if slots > 0 && leaseS > 0 {
		m.leases = append(m.leases, memberLease{slots, now + leaseS})
	}
}

// Renew records that the member has sent a report of inFlight attempts, which replaces all of its leases at the
// lessor.
func (m *MemberLeases) Renew(now float64, inFlight int, leaseS float64) {
	m.leases = m.leases[:0]
	m.Add(now, inFlight, leaseS)
}

// Count returns how many slots are leased at the given time.
func (m *MemberLeases) Count(at float64) (slots int) {
	for _, l := range m.leases {
		if l.expiresAt > at {
			slots += l.slots
		}
	}
	return slots
}

// DropExpired removes the leases that have expired.
func (m *MemberLeases) DropExpired(now float64) {
	m.leases = slices.DeleteFunc(m.leases, func(l memberLease) bool { return l.expiresAt <= now })
}
