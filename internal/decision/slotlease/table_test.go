package slotlease

import (
	"math"
	"math/rand/v2"
	"testing"
)

// wantLeased checks how many slots are leased to all members.
func wantLeased(t *testing.T, table *Table, now float64, want int, when string) {
	t.Helper()
	if got := table.Leased(now, -1); got != want {
		t.Errorf("%s: %d slots leased at %v s, want %d", when, got, now, want)
	}
}

// A member that dies, or whose reports are all lost, keeps its slots only until their lease expires.
func TestTable_LeaseExpires(t *testing.T) {
	var table Table
	table.Grant(10, 7, 2, 0.4, 0.2)
	wantLeased(t, &table, 10.3, 2, "within the lease")
	wantLeased(t, &table, 10.4+GraceS+0.001, 0, "after the lease")
}

// An attempt outlasts its lease and the member renews the lease in time: the lessor never counts the slot as
// free.
func TestTable_RenewedLeaseNeverLapses(t *testing.T) {
	const delayS = 0.02 // of messages
	var table Table
	var member MemberLeases
	now := 10.0
	table.Grant(now, 7, 1, 0.3, 0.2)
	member.Add(now+delayS, 1, 0.3)
	for ; now < 14; now += 0.02 {
		if member.Count(now+RenewBeforeS) < 1 {
			member.Renew(now, 1, ReportLeaseS)
			table.ApplyReport(now+delayS, 7, 1, ReportLeaseS, 0.2)
		}
		if table.Leased(now, -1) < 1 {
			t.Fatalf("no slot is leased at %.2f s while the attempt is in flight, want 1", now)
		}
	}
	table.ApplyReport(now, 7, 0, ReportLeaseS, 0.2)
	wantLeased(t, &table, now, 0, "after a report of the attempt's end")
}

// After one or two lost renewals the next renewal still arrives in time. After three the lease expires and the
// slot is free.
func TestTable_LostRenewals(t *testing.T) {
	for lost, want := range []int{1, 1, 1, 0} {
		var table Table
		table.Grant(0, 7, 1, 0.3, 0.2)
		arrival := 0.3 - RenewBeforeS + 0.02 // of the first renewal; the member sends another one as long as its lease is not renewed
		for i := range lost {
			arrival += 0.02 * float64(i+1)
		}
		end := 0.3 + GraceS
		if arrival > end {
			arrival = end + 0.01
		}
		if lost < 3 {
			table.ApplyReport(arrival, 7, 1, ReportLeaseS, 0.2)
		}
		if got := table.Leased(end+0.005, -1); got != want {
			t.Errorf("%d renewals lost: %d slots leased after the first lease, want %d", lost, got, want)
		}
	}
}

// A report that was sent before a grant arrived does not end the grant, and an attempt on the granted slot is not
// counted a second time.
func TestTable_ReportCrossesGrant(t *testing.T) {
	var table Table
	table.Grant(10, 7, 1, 0.5, 0.2)
	for _, tc := range []struct {
		now      float64
		inFlight int
		want     int
	}{{10.03, 0, 1}, {10.05, 1, 1}, {10.2, 0, 0}} {
		table.ApplyReport(tc.now, 7, tc.inFlight, ReportLeaseS, 0.2)
		wantLeased(t, &table, tc.now, tc.want, "after a report")
	}
}

// Of several reports in quick succession the latest one determines the leased slots.
func TestTable_LatestReportWins(t *testing.T) {
	var table Table
	for _, tc := range []struct {
		now      float64
		inFlight int
	}{{10, 2}, {10.01, 1}, {10.02, 0}} {
		table.ApplyReport(tc.now, 7, tc.inFlight, ReportLeaseS, 0.2)
		wantLeased(t, &table, tc.now, tc.inFlight, "after a report")
	}
}

func TestTable_DropMember(t *testing.T) {
	var table Table
	table.Grant(10, 7, 2, 3, 0.2)
	table.Grant(10, 8, 1, 3, 0.2)
	table.Enqueue(Waiter{Member: 7, ExpiresAt: 20})
	table.DropMember(7)
	wantLeased(t, &table, 10.1, 1, "after member 7 was dropped")
	if n := table.QueueLen(); n != 0 {
		t.Errorf("%d members in the queue, want none", n)
	}
}

// Grants, reports, losses, repeats and drops in random order: the table never counts a lease beyond its end, nor
// more slots than were granted and reported in leases that still run.
func TestTable_LeasedNeverExceedsGrants(t *testing.T) {
	type grant struct {
		member, slots int
		expiresAt     float64
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 6))
		var table Table
		var grants []grant
		now := 0.0
		for range 300 {
			now += rng.Float64() * 0.1
			member, slots, leaseS := rng.IntN(5), rng.IntN(3), 0.1+rng.Float64()
			switch rng.IntN(4) {
			case 0:
				table.Grant(now, member, slots, leaseS, 0.2)
				grants = append(grants, grant{member, slots, now + leaseS + GraceS})
			case 1:
				table.ApplyReport(now, member, slots, leaseS, 0.2)
				grants = append(grants, grant{member, slots, now + leaseS + GraceS})
			case 2:
				table.DropMember(member)
				for i := range grants {
					if grants[i].member == member {
						grants[i].slots = 0
					}
				}
			}
			limit := 0
			for _, g := range grants {
				if g.expiresAt > now {
					limit += g.slots
				}
			}
			leased := table.Leased(now, -1)
			if leased > limit || leased < 0 {
				t.Fatalf("seed %d: %d slots leased, want 0 to %d, as granted or reported in leases that still run", seed, leased, limit)
			}
			sum := 0
			for member := range 5 {
				sum += leased - table.Leased(now, member)
			}
			if sum != leased {
				t.Fatalf("seed %d: the members' slots add up to %d, want %d", seed, sum, leased)
			}
		}
	}
}

func TestTable_ExpectedWaitS(t *testing.T) {
	const meanLatencyS = 0.3
	var table Table
	table.Grant(10, 1, 1, 0.5, 0.2)
	table.Grant(10.1, 2, 1, 0.5, 0.2)
	for _, tc := range []struct {
		now          float64
		ahead, local int
		want         float64
	}{
		{10.1, 0, 0, 0.1},
		{10.1, 1, 0, 0.2},
		{10.1, 2, 0, 0.4}, // the requests ahead occupy each slot for the mean latency
		{10.1, 3, 0, 0.5},
		{10.4, 0, 0, minRemainingS},
		{10.1, 1, 1, 0.15},
		{11, 0, 0, 0},
		{11, 0, 1, 0.15},
	} {
		if got := table.ExpectedWaitS(tc.now, tc.ahead, tc.local, meanLatencyS); math.Abs(got-tc.want) > 0.1+1e-9 || tc.ahead < 2 && math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("at %v s, %d requests ahead, %d local attempts: expected wait %v s, want %v s", tc.now, tc.ahead, tc.local, got, tc.want)
		}
	}
}
