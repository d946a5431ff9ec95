package forwarder

import (
	"maps"
	"slices"

	"eiderspread/internal/controlplane/transport"
)

const (
	// maxUsageAccounts bounds the accounts of a usageTable.
	maxUsageAccounts = 64 << 10
	// spanMarginS is added to the time for which an entry matters, for clocks and delays, in seconds.
	spanMarginS = 0.5
	// sweepsPerSpan is how often in that time entries that no longer matter are dropped.
	sweepsPerSpan = 4
)

// usageTable holds what leaders last sent of the quota windows of accounts that this forwarder sent attempts for: the source of usage
// reports. A window from which nothing is taken is full after the table's span, so older entries do not matter.
type usageTable struct {
	spanS       float64 // for how many seconds an entry matters
	maxAccounts int
	byAccount   map[string]windowUsage
	// incompleteAt is when something was last left out, because the table was full, or the forwarder started. Reports are marked
	// incomplete while it may matter.
	incompleteAt float64
	sweptAt      float64
}

// windowUsage is an account's quota window right after an admission.
type windowUsage struct {
	plan  int
	epoch uint64  // of the leader that admitted
	seq   uint32  // the admission's number under that epoch
	debt  float64 // units taken and not yet refilled
	at    float64 // when this forwarder learned of it, which is after the admission
}

// supersedes reports whether u was admitted after other, or is the same.
func (u windowUsage) supersedes(other windowUsage) bool {
	return u.epoch > other.epoch || u.epoch == other.epoch && u.seq >= other.seq
}

func newUsageTable(windowS, startedAt float64, maxAccounts int) usageTable {
	return usageTable{spanS: windowS + spanMarginS, maxAccounts: maxAccounts, byAccount: map[string]windowUsage{}, incompleteAt: startedAt}
}

// record stores an account's usage, unless a later admission is known.
func (t *usageTable) record(account string, usage windowUsage) {
	known, ok := t.byAccount[account]
	if !ok {
		if t.sweep(usage.at); len(t.byAccount) >= t.maxAccounts {
			t.incompleteAt = usage.at
			return
		}
	}
	if !ok || usage.supersedes(known) {
		t.byAccount[account] = usage
	}
}

// sweep drops entries that no longer matter, a few times in a span.
func (t *usageTable) sweep(now float64) {
	if now < t.sweptAt+t.spanS/sweepsPerSpan {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.byAccount, func(_ string, usage windowUsage) bool { return now > usage.at+t.spanS })
}

// complete reports whether nothing that still matters has been left out.
func (t *usageTable) complete(now float64) bool { return now >= t.incompleteAt+t.spanS }

// each calls yield for all entries that matter, in order of accounts.
func (t *usageTable) each(now float64, yield func(account string, usage windowUsage)) {
	for _, account := range slices.Sorted(maps.Keys(t.byAccount)) {
		if usage := t.byAccount[account]; now <= usage.at+t.spanS {
			yield(account, usage)
		}
	}
}

// reportUsage reports to a cell's new holder what earlier leaders admitted. It follows the grant: from then on no older epoch is followed, so
// that nothing can be added to the report.
func (c *Core) reportUsage(cellID int) {
	cell := &c.cells[cellID]
	c.usage.each(c.now, func(account string, usage windowUsage) {
		if c.cfg.CellOf(account) != cellID {
			return
		}
		c.Stats.UsageReports++
		c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindUsageReport, Cell: uint16(cellID), Epoch: cell.epoch, Name: account,
			Plan: uint8(usage.plan), Handle: usage.epoch, Round: usage.seq, Units: usage.debt, DurationS: max(c.now-usage.at, 0)})
	})
	c.reportOrphans(cellID)
	c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindUsageReportEnd, Cell: uint16(cellID), Epoch: cell.epoch,
		Flag: c.usage.complete(c.now)})
}
