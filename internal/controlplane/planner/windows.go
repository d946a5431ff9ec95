package planner

import (
	"maps"
	"math"
	"slices"

	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

const (
	// maxWindows bounds the accounts of one cell whose windows are tracked. A further account is taken to have had an empty window at
	// the start of the lead.
	maxWindows = 64 << 10
	// maxFreshUnits is how many units a module takes as newly counted in one message; see peerprotocol.MemberReport.
	maxFreshUnits = 63
	// countsPerUnit: counts cross to the module in quarters of a unit.
	countsPerUnit = 4
	// sweepIntervalS is the time between two searches for windows that are full again, in seconds.
	sweepIntervalS = 1.0
	// orphanReportTTLS is for how many seconds a forwarder's report of orphaned attempts counts; the module's own bound is the same.
	orphanReportTTLS = 3.0
)

// reportState is how far a forwarder has come with its usage report on a cell.
type reportState uint8

const (
	reportPending    reportState = iota // it may still report
	reportComplete                      // it has reported everything that it passed on
	reportIncomplete                    // it has ended its report, and something may be missing
)

// windowTable is what the leader of a cell knows of its accounts' quota windows beside its module: what forwarders reported at the start
// of the lead, and what was admitted since. From that it works out which units the module has to take as counted before the lead, and
// the debt that is sent to forwarders with each admission, from which the next leader will start. The rule and its proof are in
// docs/two-levels.md. Times are seconds.
type windowTable struct {
	plans          []policy.Plan
	spanS          float64       // the longest time in which an empty window fills
	leadingSince   float64       // start of the lead; +Inf before
	reports        []reportState // by forwarder
	missingReports int           // forwarders whose report is not complete
	byAccount      map[string]*accountWindow
	sweptAt        float64
	admissions     uint32 // under this lead; the sequence number of the latest
}

// accountWindow is the quota window of one account.
type accountWindow struct {
	plan int

	// The latest admission that a forwarder has reported, by order of (epoch, reportedSeq).
	reported    bool // there is one
	epoch       uint64
	reportedSeq uint32
	debt        float64 // units taken and not yet refilled, at reportedAt
	reportedAt  float64

	orphans []orphanReport // attempts in flight that this lead did not decide on; one entry a forwarder at most

	inModule     bool    // the module knows the account; the fields below are valid
	countedUnits float64 // units reported to the module as used before the lead, in quarters
	available    float64 // at availableAt: units that are certainly left, debts of earlier leads deducted
	availableAt  float64
}

// orphanReport is what one forwarder last reported of its attempts in flight that this lead did not decide on.
type orphanReport struct {
	forwarder, attempts int
	reportedAt          float64
}

// orphanedAttempts returns the number of attempts in flight by the reports that still count.
func (w *accountWindow) orphanedAttempts(now float64) (attempts int) {
	for _, report := range w.orphans {
		if now < report.reportedAt+orphanReportTTLS {
			attempts += report.attempts
		}
	}
	return attempts
}

// memberCount is a count of an account that is reported to the module; see peerprotocol.MemberReport.
type memberCount struct {
	account      string
	plan         int
	total, fresh float64
	orphans      int
}

func newWindowTable(forwarders int, plans []policy.Plan, spanS float64) *windowTable {
	return &windowTable{plans: plans, spanS: spanS, leadingSince: math.Inf(1), reports: make([]reportState, forwarders),
		missingReports: forwarders, byAccount: map[string]*accountWindow{}}
}

// recovered reports whether every window is full again whatever was used before the lead.
func (t *windowTable) recovered(now float64) bool { return now > t.leadingSince+t.spanS }

// startLeading notes the start of the lead. Reports of forwarders may have arrived before, since the claim.
func (t *windowTable) startLeading(now float64) { t.leadingSince = now }

// applyReport applies one account of a forwarder's usage report. Of several reports the one of the latest admission holds: it was decided
// by a leader that knew of all admissions before.
func (t *windowTable) applyReport(now float64, forwarder int, msg *transport.Message) {
	if t.reports[forwarder] != reportPending || int(msg.Plan) >= len(t.plans) {
		return
	}
	window := t.byAccount[msg.Name]
	if window == nil {
		if len(t.byAccount) >= maxWindows {
			t.reports[forwarder] = reportIncomplete
			return
		}
		window = &accountWindow{plan: int(msg.Plan)}
		t.byAccount[msg.Name] = window
	}
	if epoch, seq := msg.Handle, msg.Round; !window.reported || epoch > window.epoch || epoch == window.epoch && seq > window.reportedSeq {
		window.reported, window.plan = true, int(msg.Plan)
		window.epoch, window.reportedSeq = epoch, seq
		window.debt, window.reportedAt = msg.Units, now-msg.DurationS
	}
}

// endReport handles the end of a forwarder's usage report. When the last missing one is complete, it returns the counts that hand back
// to the module what initialCounts had deducted as unknown.
func (t *windowTable) endReport(now float64, forwarder int, complete bool) (credits []memberCount) {
	if t.reports[forwarder] != reportPending {
		return nil
	}
	if !complete {
		t.reports[forwarder] = reportIncomplete
		return nil
	}
	t.reports[forwarder] = reportComplete
	t.missingReports--
	if t.missingReports > 0 || math.IsInf(t.leadingSince, 1) {
		return nil
	}
	for _, account := range slices.Sorted(maps.Keys(t.byAccount)) {
		window := t.byAccount[account]
		plan := t.plans[window.plan]
		if !window.inModule || plan.Rate <= 0 {
			continue
		}
		granted := t.refilledSinceLead(now, plan) // less what was admitted since, which both sides of the difference share
		if credit := math.Floor((t.availableBefore(now, window)-granted)*countsPerUnit) / countsPerUnit; credit > 0 {
			window.countedUnits -= credit
			t.refill(now, window)
			window.available += credit
			credits = append(credits, memberCount{account, window.plan, window.countedUnits, 0, window.orphanedAttempts(now)})
		}
	}
	return credits
}

// refilledSinceLead returns the units in a window that was empty at the start of the lead.
func (t *windowTable) refilledSinceLead(now float64, plan policy.Plan) float64 {
	return min(plan.Burst, plan.Rate*(now-t.leadingSince))
}

// availableBefore returns the units that are left in a window by what was reported of it; all of them where nothing was.
func (t *windowTable) availableBefore(now float64, window *accountWindow) float64 {
	plan := t.plans[window.plan]
	if !window.reported {
		return plan.Burst
	}
	return min(plan.Burst, plan.Burst-window.debt+plan.Rate*max(now-window.reportedAt, 0))
}

func (t *windowTable) refill(now float64, window *accountWindow) {
	plan := t.plans[window.plan]
	window.available = min(plan.Burst, window.available+plan.Rate*(now-window.availableAt))
	window.availableAt = now
}

// initialCounts returns what has to be reported to the module of an account before its first request of the lead: two counts at most,
// and none if the module knows the account. While reports are missing, the window is taken to have been empty at the start of the lead.
func (t *windowTable) initialCounts(now float64, account string, planIndex int) []memberCount {
	window := t.byAccount[account]
	if window == nil {
		t.sweep(now)
		window = &accountWindow{plan: planIndex}
		if len(t.byAccount) < maxWindows {
			t.byAccount[account] = window
		} else if t.recovered(now) {
			return nil
		}
	}
	if window.inModule {
		return nil
	}
	window.inModule, window.plan = true, planIndex
	plan := t.plans[planIndex]
	window.available, window.availableAt = plan.Burst, now
	if plan.Rate > 0 {
		window.available = t.availableBefore(now, window)
		if t.missingReports > 0 {
			window.available = min(window.available, t.refilledSinceLead(now, plan))
		}
		window.countedUnits = math.Ceil(max(plan.Burst-window.available, 0)*countsPerUnit) / countsPerUnit
	}
	orphans := window.orphanedAttempts(now)
	if window.countedUnits == 0 && orphans == 0 {
		return nil
	}
	fresh := min(window.countedUnits, maxFreshUnits)
	counts := []memberCount{{account, planIndex, fresh, fresh, orphans}}
	if window.countedUnits > fresh {
		counts = append(counts, memberCount{account, planIndex, window.countedUnits, 0, orphans})
	}
	return counts
}

// admit takes the units of an admitted request off its account's window. It returns the admission's sequence number and the window's
// debt, which go to the forwarder; both are 0 for an account without a rate.
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

// setOrphans applies a forwarder's report of an account's attempts in flight there that this lead did not decide on. It returns the count
// to report to the module, if that knows the account.
func (t *windowTable) setOrphans(now float64, forwarder int, account string, plan, attempts int) []memberCount {
	window := t.byAccount[account]
	if window == nil {
		if attempts == 0 || plan >= len(t.plans) || len(t.byAccount) >= maxWindows {
			return nil
		}
		window = &accountWindow{plan: plan}
		t.byAccount[account] = window
	}
	window.orphans = slices.DeleteFunc(window.orphans, func(report orphanReport) bool {
		return report.forwarder == forwarder || now >= report.reportedAt+orphanReportTTLS
	})
	if attempts > 0 {
		window.orphans = append(window.orphans, orphanReport{forwarder, attempts, now})
	}
	if !window.inModule {
		return nil
	}
	return []memberCount{{account, window.plan, window.countedUnits, 0, window.orphanedAttempts(now)}}
}

// clearOrphans notes that a forwarder has no such attempts any more. It calls apply with the counts of each account of which the
// forwarder had reported some, by name.
func (t *windowTable) clearOrphans(now float64, forwarder int, apply func([]memberCount)) {
	for _, account := range slices.Sorted(maps.Keys(t.byAccount)) {
		window := t.byAccount[account]
		if slices.ContainsFunc(window.orphans, func(report orphanReport) bool { return report.forwarder == forwarder }) {
			apply(t.setOrphans(now, forwarder, account, window.plan, 0))
		}
	}
}

// sweep forgets windows that are full again, once nothing from before the lead matters.
func (t *windowTable) sweep(now float64) {
	if !t.recovered(now) || now < t.sweptAt+sweepIntervalS {
		return
	}
	t.sweptAt = now
	for account, window := range t.byAccount {
		t.refill(now, window)
		full := window.available >= t.plans[window.plan].Burst
		if full && window.orphanedAttempts(now) == 0 && now > window.reportedAt+t.spanS {
			delete(t.byAccount, account)
		}
	}
}
