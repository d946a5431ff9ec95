package slotlease

import "slices"

// MemberLeases are the slots of one account that are leased to a member, as the member sees it. Its zero
// value is empty.
type MemberLeases struct{ leases []memberLease }

type memberLease struct {
	slots     int
	expiresAt float64
}

// Add notes a grant of slots for leaseS seconds from now, the time that the grant has arrived: at most
// GraceS after it was sent.
func (m *MemberLeases) Add(now float64, slots int, leaseS float64) {
	if slots > 0 && leaseS > 0 {
		m.leases = append(m.leases, memberLease{slots, now + leaseS})
	}
}

// Renew notes that a report of attempts in flight has been sent: it replaces all leases at the lessor.
func (m *MemberLeases) Renew(now float64, inFlight int, leaseS float64) {
	m.leases = m.leases[:0]
	m.Add(now, inFlight, leaseS)
}

// Count returns how many slots are leased at a time.
func (m *MemberLeases) Count(at float64) (slots int) {
	for _, l := range m.leases {
		if l.expiresAt > at {
			slots += l.slots
		}
	}
	return slots
}

// DropExpired removes leases that have ended.
func (m *MemberLeases) DropExpired(now float64) {
	m.leases = slices.DeleteFunc(m.leases, func(l memberLease) bool { return l.expiresAt <= now })
}
