package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

const (
	// maxWindows bounds the number of accounts in one cell whose windows are tracked, if the settings have no lower bound. While usage reports
	// are missing, any other account is assumed to have had an empty window at the start of the leadership.
	maxWindows = 64 << 10
	// maxUnackedUnits is the largest number of units that one message can report as newly counted; see peerprotocol.MemberReport.
	maxUnackedUnits = 63
	// countsPerUnit is the resolution of counts that are reported to the module: quarters of a unit.
	countsPerUnit = 4
	// sweepIntervalS is the minimum time between two sweeps that remove full windows, in seconds.
	sweepIntervalS = 1.0
	// orphanReportTTLS is how long a forwarder's report of orphaned attempts is valid, in seconds. The module uses the same bound.
	orphanReportTTLS = 3.0
)

// reportState is the state of a forwarder's usage report on a cell.
type reportState uint8

const (
	reportPending    reportState = iota // more messages may follow
	reportComplete                      // it covers everything that the forwarder sent for earlier leaders
	reportIncomplete                    // it has ended, and usage may be missing
)

// windowTable tracks the quota windows of a cell's accounts for the cell's leader, in addition to its module: the usage that forwarders
// reported at the start of the leadership, and the units admitted since. It computes the units that the module must count as used before
// the leadership, and the debt that is sent to forwarders with each admission, from which the next leader starts. docs/two-levels.md has
// the rule and its proof. Times are in seconds.
type windowTable struct {
	plans          []policy.Plan
	spanS          float64       // longest time in which an empty window refills
	leadingSince   float64       // start of the leadership; +Inf before
	reports        []reportState // by forwarder
	maxWindows     int           // highest number of accounts in byAccount
	missingReports int           // number of forwarders whose report is not complete
	byAccount      map[string]*accountWindow
	sweptAt        float64
	admissions     uint32 // number of admissions under this leadership; also the sequence number of the latest one
}

// accountWindow is the quota window of one account.
type accountWindow struct {
	plan int

	// The latest admission that any forwarder has reported, in the order of (epoch, reportedSeq).
	reported    bool // false: none was reported, and the next four fields are unset
	epoch       uint64
	reportedSeq uint32
	debt        float64 // units used and not yet refilled, at reportedAt
	reportedAt  float64

	orphans []orphanReport // in-flight attempts that the module does not track; at most one entry per forwarder

	inModule     bool    // the module has the account's initial counts; the fields below are valid
	countedUnits float64 // units reported to the module as used before the leadership; a multiple of 1/countsPerUnit
	available    float64 // at availableAt: units that are certainly left, after the debts of earlier leaders
	availableAt  float64
}

// orphanReport is one forwarder's latest report of its in-flight attempts that the module does not track.
type orphanReport struct {
	forwarder, attempts int
	reportedAt          float64
}

// orphanedAttempts returns the number of orphaned attempts in the reports that are still valid.
func (w *accountWindow) orphanedAttempts(now float64) (attempts int) {
	for _, report := range w.orphans {
		if now < report.reportedAt+orphanReportTTLS {
			attempts += report.attempts
		}
	}
	return attempts
}

// memberCount is a report to the module of an account's usage; see peerprotocol.MemberReport for the fields.
type memberCount struct {
	account        string
	plan           int
	total, unacked float64
	orphans        int
}

// newWindowTable returns a table of up to maxAccounts windows; 0 means maxWindows.
func newWindowTable(forwarders int, plans []policy.Plan, spanS float64, maxAccounts int) *windowTable {
	return &windowTable{maxWindows: min(cmp.Or(maxAccounts, maxWindows), maxWindows), plans: plans, spanS: spanS, leadingSince: math.Inf(1), reports: make([]reportState, forwarders),
		missingReports: forwarders, byAccount: map[string]*accountWindow{}}
}

// recovered reports whether every window has had time to refill completely since the start of the leadership, so that usage from before no
// longer matters.
func (t *windowTable) recovered(now float64) bool { return now > t.leadingSince+t.spanS }

// startLeading sets the start of the leadership. Usage reports may have arrived earlier, from the claim on.
func (t *windowTable) startLeading(now float64) { t.leadingSince = now }

// applyReport applies a forwarder's usage report for one account. If several forwarders report on an account, the report of the latest
// admission counts, because the leader that made that admission knew of all earlier ones.
func (t *windowTable) applyReport(now float64, forwarder int, msg *transport.Message) {
	if t.reports[forwarder] != reportPending || int(msg.Plan) >= len(t.plans) {
		return
	}
	window := t.byAccount[msg.Name]
	if window == nil {
		if len(t.byAccount) >= t.maxWindows {
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

// endReport handles the end of a forwarder's usage report. Once the reports of all forwarders are complete, it returns the counts that
// credit the module with the units that initialCounts deducted only because reports were missing.
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
		assumed := t.refilledSinceLead(now, plan) // both terms leave out units admitted since, as these cancel out in the difference
		if credit := math.Floor((t.reportedAvailable(now, window)-assumed)*countsPerUnit) / countsPerUnit; credit > 0 {
			window.countedUnits -= credit
			t.refill(now, window)
			window.available += credit
			credits = append(credits, memberCount{account, window.plan, window.countedUnits, 0, window.orphanedAttempts(now)})
		}
	}
	return credits
}

// refilledSinceLead returns the units that are available in a window that was empty at the start of the leadership and not used since.
func (t *windowTable) refilledSinceLead(now float64, plan policy.Plan) float64 {
	return min(plan.Burst, plan.Rate*(now-t.leadingSince))
}

// reportedAvailable returns the units that are left in a window according to the usage reports. A window without a report is full.
func (t *windowTable) reportedAvailable(now float64, window *accountWindow) float64 {
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

// initialCounts returns the counts to report to the module before an account's first request under this leadership. There are at most
// two, and none if the module already has them or nothing was used. While reports are missing, the window is assumed to have been empty
// at the start of the leadership.
func (t *windowTable) initialCounts(now float64, account string, planIndex int) []memberCount {
	window := t.byAccount[account]
	if window == nil {
		t.sweep(now)
		window = &accountWindow{plan: planIndex}
		if len(t.byAccount) < t.maxWindows {
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
		window.available = t.reportedAvailable(now, window)
		if t.missingReports > 0 {
			window.available = min(window.available, t.refilledSinceLead(now, plan))
		}
		window.countedUnits = math.Ceil(max(plan.Burst-window.available, 0)*countsPerUnit) / countsPerUnit
	}
	orphans := window.orphanedAttempts(now)
	if window.countedUnits == 0 && orphans == 0 {
		return nil
	}
	unacked := min(window.countedUnits, maxUnackedUnits)
	counts := []memberCount{{account, planIndex, unacked, unacked, orphans}}
	if window.countedUnits > unacked {
		counts = append(counts, memberCount{account, planIndex, window.countedUnits, 0, orphans})
	}
	return counts
}

// admit deducts the units of an admitted request from its account's window. It returns the admission's sequence number and the window's
// debt, which are sent to the forwarder. Both are 0 if the account's plan has no rate or its window is not tracked.
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

// setOrphans applies a forwarder's report of an account's in-flight attempts that the module does not track. It returns the count to
// report to the module, or nil if the module does not have the account's initial counts yet.
func (t *windowTable) setOrphans(now float64, forwarder int, account string, plan, attempts int) []memberCount {
	window := t.byAccount[account]
	if window == nil {
		if attempts == 0 || plan >= len(t.plans) || len(t.byAccount) >= t.maxWindows {
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

// clearOrphans removes a forwarder's orphaned attempts. It calls apply with the counts of each affected account, in the order of account
// names.
func (t *windowTable) clearOrphans(now float64, forwarder int, apply func([]memberCount)) {
	for _, account := range slices.Sorted(maps.Keys(t.byAccount)) {
		window := t.byAccount[account]
		if slices.ContainsFunc(window.orphans, func(report orphanReport) bool { return report.forwarder == forwarder }) {
			apply(t.setOrphans(now, forwarder, account, window.plan, 0))
		}
	}
}

// sweep removes windows that are full again and have no orphaned attempts. It does nothing before recovered returns true, and at most one
// sweep every sweepIntervalS seconds.
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
