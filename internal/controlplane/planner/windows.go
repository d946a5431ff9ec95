package planner

import (
	"maps"
	"math"
	"slices"

	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

const (
	// maxWindows bounds the customers of one cell whose windows are kept; beyond, those of new ones are taken to
	// have been empty when the lead began.
	maxWindows       = 64 << 10
	maxFreshUnits    = 63  // units that the module takes as new in one message; see policy.Count
	sweepIntervalS   = 1.0 // between two looks for windows that are full again
	orphanReportTTLS = 3.0 // how long a forwarder's word on attempts out is believed, as in the module
)

// windowTable is what the leader of a cell knows of its customers' windows beside its module: what was told of them at the
// start of the lead, and what was passed on since. It works out what the module must take for used before, and what
// forwarders are told with each pass, so that the next leader can know it. The rule and its proof are in
// docs/two-levels.md.
type windowTable struct {
	plans          []policy.Plan
	spanS          float64 // the longest window
	leadingSince   float64 // when the lead began, +Inf before
	reported       []bool  // by forwarder: its tale is over
	missingReports int     // forwarders that have not told all
	byAccount      map[string]*accountWindow
	sweptAt        float64
	admissions     uint32 // under this lead
}

// accountWindow is one customer's. What earlier leaders had is kept as the latest that was told of it.
type accountWindow struct {
	plan             int
	reported         bool // something was told
	epoch            uint64
	reportedSeq      uint32
	debt, reportedAt float64        // as told: units not yet filled up again, at that time
	orphans          []orphanReport // attempts that are out and that this lead did not decide
	inModule         bool           // the module knows the customer
	countedUnits     float64        // units that the module was told were used before
	available        float64        // while seen: no more than is left of the whole window, what is owed by earlier leads included
	availableAt      float64
}

// orphanReport is what one forwarder last told of attempts out.
type orphanReport struct {
	forwarder, attempts int
	reportedAt          float64
}

// orphanedAttempts sums what is believed of attempts out.
func (w *accountWindow) orphanedAttempts(now float64) (n int) {
	for _, o := range w.orphans {
		if now < o.reportedAt+orphanReportTTLS {
			n += o.attempts
		}
	}
	return n
}

// memberCount is what the module is to be told of a customer, in the words of policy.Count.
type memberCount struct {
	account      string
	plan         int
	total, fresh float64
	orphans      int
}

func newWindowTable(forwarders int, plans []policy.Plan, span float64) *windowTable {
	return &windowTable{plans: plans, spanS: span, leadingSince: math.Inf(1), reported: make([]bool, forwarders), missingReports: forwarders,
		byAccount: map[string]*accountWindow{}}
}

// recovered tells that every window is full again whatever was used before the lead.
func (t *windowTable) recovered(now float64) bool { return now > t.leadingSince+t.spanS }

// startLeading notes that the lead begins; tales of all forwarders may have come by then.
func (t *windowTable) startLeading(now float64) { t.leadingSince = now }

// applyReport takes a customer's part of a forwarder's tale. Of several forwarders' the one of the latest pass holds: it was
// decided by a leader that knew of all passes before it.
func (t *windowTable) applyReport(now float64, forwarder int, msg *transport.Message) {
	if t.reported[forwarder] || int(msg.Plan) >= len(t.plans) {
		return
	}
	window := t.byAccount[msg.Name]
	if window == nil {
		if len(t.byAccount) >= maxWindows {
			t.reported[forwarder] = true // and never completely
			return
		}
		window = &accountWindow{plan: int(msg.Plan)}
		t.byAccount[msg.Name] = window
	}
	if !window.reported || msg.Handle > window.epoch || msg.Handle == window.epoch && msg.Round > window.reportedSeq {
		window.reported, window.plan, window.epoch, window.reportedSeq, window.debt, window.reportedAt = true, int(msg.Plan), msg.Handle, msg.Round, msg.Units, now-msg.DurationS
	}
}

// endReport notes the end of a forwarder's tale. When it was the last that was missing, it returns what the module is to be
// told of the customers whose windows were taken for emptier than they were.
func (t *windowTable) endReport(now float64, forwarder int, complete bool) (credits []memberCount) {
	if t.reported[forwarder] {
		return nil
	}
	t.reported[forwarder] = true
	if !complete {
		return nil
	}
	if t.missingReports--; t.missingReports > 0 || math.IsInf(t.leadingSince, 1) {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(t.byAccount)) {
		window := t.byAccount[name]
		p := t.plans[window.plan]
		if !window.inModule || p.Rate <= 0 {
			continue
		}
		empty := min(p.Burst, p.Rate*(now-t.leadingSince)) // as was granted, less what was passed on since
		if credit := math.Floor((t.availableBefore(now, window)-empty)*4) / 4; credit > 0 {
			window.countedUnits -= credit
			t.refill(now, window)
			window.available += credit
			credits = append(credits, memberCount{name, window.plan, window.countedUnits, 0, window.orphanedAttempts(now)})
		}
	}
	return credits
}

// availableBefore is the room of a window by what was told of it: the whole, where nothing was.
func (t *windowTable) availableBefore(now float64, window *accountWindow) float64 {
	p := t.plans[window.plan]
	if !window.reported {
		return p.Burst
	}
	return min(p.Burst, p.Burst-window.debt+p.Rate*max(now-window.reportedAt, 0))
}

func (t *windowTable) refill(now float64, window *accountWindow) {
	p := t.plans[window.plan]
	window.available = min(p.Burst, window.available+p.Rate*(now-window.availableAt))
	window.availableAt = now
}

// initialCounts returns what the module is to be told of a customer before a request of it: two counts at most, and nothing
// when it knows the customer already.
func (t *windowTable) initialCounts(now float64, account string, plan int) []memberCount {
	window := t.byAccount[account]
	if window == nil {
		t.sweep(now)
		window = &accountWindow{plan: plan}
		if len(t.byAccount) < maxWindows {
			t.byAccount[account] = window
		} else if t.recovered(now) {
			return nil
		}
	}
	if window.inModule {
		return nil
	}
	window.inModule, window.plan = true, plan
	p := t.plans[plan]
	window.available, window.availableAt = p.Burst, now
	if p.Rate > 0 {
		window.available = t.availableBefore(now, window)
		if t.missingReports > 0 {
			window.available = min(window.available, p.Rate*(now-t.leadingSince))
		}
		window.countedUnits = math.Ceil(max(p.Burst-window.available, 0)*4) / 4
	}
	if window.countedUnits == 0 && window.orphanedAttempts(now) == 0 {
		return nil
	}
	fresh := min(window.countedUnits, maxFreshUnits)
	counts := []memberCount{{account, plan, fresh, fresh, window.orphanedAttempts(now)}}
	if window.countedUnits > fresh {
		counts = append(counts, memberCount{account, plan, window.countedUnits, 0, window.orphanedAttempts(now)})
	}
	return counts
}

// admit takes units off a window, and returns what the forwarder is told with the pass.
func (t *windowTable) admit(now float64, account string, units float64) (seq uint32, debt float64) {
	window := t.byAccount[account]
	if window == nil || !window.inModule || t.plans[window.plan].Rate <= 0 {
		return 0, 0
	}
	t.refill(now, window)
	window.available -= units
	t.admissions++
	return t.admissions, max(t.plans[window.plan].Burst-window.available, 0)
}

// setOrphans takes a forwarder's word on its attempts out of a customer that this lead did not decide.
func (t *windowTable) setOrphans(now float64, forwarder int, account string, plan, n int) []memberCount {
	window := t.byAccount[account]
	if window == nil {
		if n == 0 || plan >= len(t.plans) || len(t.byAccount) >= maxWindows {
			return nil
		}
		window = &accountWindow{plan: plan}
		t.byAccount[account] = window
	}
	window.orphans = slices.DeleteFunc(window.orphans, func(o orphanReport) bool { return o.forwarder == forwarder || now >= o.reportedAt+orphanReportTTLS })
	if n > 0 {
		window.orphans = append(window.orphans, orphanReport{forwarder, n, now})
	}
	if !window.inModule {
		return nil
	}
	return []memberCount{{account, window.plan, window.countedUnits, 0, window.orphanedAttempts(now)}}
}

// sweep forgets windows that are full again, once what was before the lead matters no more.
func (t *windowTable) sweep(now float64) {
	if !t.recovered(now) || now < t.sweptAt+sweepIntervalS {
		return
	}
	t.sweptAt = now
	for name, window := range t.byAccount {
		if t.refill(now, window); window.available >= t.plans[window.plan].Burst && window.orphanedAttempts(now) == 0 && now > window.reportedAt+t.spanS {
			delete(t.byAccount, name)
		}
	}
}
