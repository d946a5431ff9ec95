package forwarder

import (
	"maps"
	"slices"

	"eiderspread/internal/controlplane/transport"
)

const (
	// maxUsageAccounts bounds the number of accounts in a usageTable.
	maxUsageAccounts = 64 << 10
	// usageTTLMarginS is added to the longest quota window to get the time to live of an entry, in seconds. It allows for clock differences
	// and message delays.
	usageTTLMarginS = 0.5
	// sweepsPerTTL is how often expired entries are removed in one time to live.
	sweepsPerTTL = 4
)

// usageTable is the source of usage reports. For each account that this forwarder has sent attempts for, it holds the state of the account's
// quota window as a leader sent it last. A window that is not charged for ttlS is full again, so older entries have expired.
type usageTable struct {
	ttlS        float64 // time to live of an entry, in seconds
	maxAccounts int
	byAccount   map[string]windowUsage
	// incompleteAt is when entries were last lost: the table was full, or the forwarder started or continued without all entries of another
	// process. For ttlS after that, reports are marked incomplete.
	incompleteAt float64
	sweptAt      float64
}

// windowUsage is an account's quota window right after an admission.
type windowUsage struct {
	plan       int
	epoch      uint64  // epoch of the leader that made the admission
	seq        uint32  // sequence number of the admission in that epoch
	debt       float64 // units charged and not yet refilled
	receivedAt float64 // time at which this forwarder received the state, which is after the admission
}

// supersedes reports whether u is of the same admission as other, or of a later one.
func (u windowUsage) supersedes(other windowUsage) bool {
	return u.epoch > other.epoch || u.epoch == other.epoch && u.seq >= other.seq
}

func newUsageTable(windowS, startedAt float64, maxAccounts int) usageTable {
	return usageTable{ttlS: windowS + usageTTLMarginS, maxAccounts: maxAccounts, byAccount: map[string]windowUsage{}, incompleteAt: startedAt}
}

// record stores an account's usage, unless the usage after a later admission is known. If the table is full, it drops the usage of a new
// account and marks the table incomplete.
func (t *usageTable) record(account string, usage windowUsage) {
	known, ok := t.byAccount[account]
	if !ok {
		if t.sweep(usage.receivedAt); len(t.byAccount) >= t.maxAccounts {
			t.incompleteAt = usage.receivedAt
			return
		}
	}
	if !ok || usage.supersedes(known) {
		t.byAccount[account] = usage
	}
}

// sweep removes expired entries, at most sweepsPerTTL times in ttlS.
func (t *usageTable) sweep(now float64) {
	if now < t.sweptAt+t.ttlS/sweepsPerTTL {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.byAccount, func(_ string, usage windowUsage) bool { return now > usage.receivedAt+t.ttlS })
}

// complete reports whether the table has lost no entry that would not have expired yet.
func (t *usageTable) complete(now float64) bool { return now >= t.incompleteAt+t.ttlS }

// each calls yield for all entries that have not expired, sorted by account.
func (t *usageTable) each(now float64, yield func(account string, usage windowUsage)) {
	for _, account := range slices.Sorted(maps.Keys(t.byAccount)) {
		if usage := t.byAccount[account]; now <= usage.receivedAt+t.ttlS {
			yield(account, usage)
		}
	}
}

// reportUsage reports to a cell's new holder what earlier leaders admitted. It is called after the promise is granted. From then on the
// forwarder accepts no decisions under an older epoch, so the report misses no admission by an earlier leader.
func (c *Core) reportUsage(cellID int) {
	cell := &c.cells[cellID]
	c.usage.each(c.now, func(account string, usage windowUsage) {
		if c.cfg.CellOf(account) != cellID {
			return
		}
		c.Stats.UsageReports++
		c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindUsageReport, Cell: uint16(cellID), Epoch: cell.epoch, Name: account,
			Plan: uint8(usage.plan), Handle: usage.epoch, Round: usage.seq, Units: usage.debt, DurationS: max(c.now-usage.receivedAt, 0)})
	})
	c.reportOrphans(cellID)
	c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindUsageReportEnd, Cell: uint16(cellID), Epoch: cell.epoch,
		Flag: c.usage.complete(c.now)})
}
