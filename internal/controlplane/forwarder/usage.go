package forwarder

import (
	"maps"
	"slices"
)

// usageTable is what leaders last told of the windows of customers that this forwarder passed something on for: the
// source of tales. A window that nothing was taken from for as long as it takes to fill is full, so older entries
// are dropped. It is bounded by most customers; while something was left out that may still matter, by that or by
// this forwarder's start, its tales are marked as not complete.
type usageTable struct {
	spanS        float64 // seconds for which an entry may matter
	maxAccounts  int
	byAccount    map[string]windowUsage
	incompleteAt float64 // when something was last left out
	sweptAt      float64
}

// windowUsage is a window's state right after a pass, as the leader of an epoch decided it: the seq-th of the epoch.
type windowUsage struct {
	plan  int
	epoch uint64
	seq   uint32
	debt  float64 // units taken and not yet filled up again
	at    float64 // when it was told here: no earlier than it was so
}

const spanMarginS = 0.5 // seconds more, for clocks and delays

func newUsageTable(windowS, startedAt float64, maxAccounts int) usageTable {
	return usageTable{spanS: windowS + spanMarginS, maxAccounts: maxAccounts, byAccount: map[string]windowUsage{}, incompleteAt: startedAt}
}

func (t *usageTable) record(account string, usage windowUsage) {
	old, ok := t.byAccount[account]
	if !ok {
		if t.sweep(usage.at); len(t.byAccount) >= t.maxAccounts {
			t.incompleteAt = usage.at
			return
		}
	} else if old.epoch > usage.epoch || old.epoch == usage.epoch && old.seq > usage.seq {
		return
	}
	t.byAccount[account] = usage
}

// sweep forgets what can't matter any more, a few times a span.
func (t *usageTable) sweep(now float64) {
	if now < t.sweptAt+t.spanS/4 {
		return
	}
	t.sweptAt = now
	for name, usage := range t.byAccount {
		if now > usage.at+t.spanS {
			delete(t.byAccount, name)
		}
	}
}

// complete tells that nothing was left out, by a restart or for want of room, that still matters.
func (t *usageTable) complete(now float64) bool { return now >= t.incompleteAt+t.spanS }

// each calls f for all that may matter, in the order of names.
func (t *usageTable) each(now float64, f func(account string, usage windowUsage)) {
	for _, name := range slices.Sorted(maps.Keys(t.byAccount)) {
		if usage := t.byAccount[name]; now <= usage.at+t.spanS {
			f(name, usage)
		}
	}
}
