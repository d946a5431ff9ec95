package oracle

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/errorbound"
	"eiderspread/internal/decision/hashring"
	"eiderspread/internal/decision/reason"
)

// quotaWindowsS are the windows over which admissions are checked, in seconds.
var quotaWindowsS = []float64{1, 10, 60}

const (
	// hardLimitMargin is the multiple of rate and burst from which a hard limit does not reject what the quota admits.
	hardLimitMargin = 1.5
	// peakWindowS is the window of peakRate, in seconds.
	peakWindowS = 1.0
	// sendDelayS is how long, in seconds, an admitted request may take to reach its backend, in addition to its time in the queue.
	sendDelayS = 0.1
)

// sample is a number of units at a time in seconds.
type sample struct{ at, units float64 }

// accountCount is what was requested and admitted for one account.
type accountCount struct {
	plan      string
	requests  []*Request
	requested []sample
	admitted  []sample // the first attempt of each request
	largest   float64  // units of the largest request
}

// countsOf returns the counts of all accounts.
func countsOf(h *History) map[string]*accountCount {
	counts := map[string]*accountCount{}
	of := func(account string) *accountCount {
		if counts[account] == nil {
			counts[account] = &accountCount{}
		}
		return counts[account]
	}
	seen := map[string]bool{}
	for _, attempt := range h.Attempts { // in the order of their arrival
		if key := attempt.key(); !seen[key] {
			seen[key] = true
			c := of(attempt.Account)
			c.admitted = append(c.admitted, sample{attempt.At.Seconds(), attempt.Units})
		}
	}
	for _, request := range h.Requests {
		c := of(request.Account)
		c.plan, c.largest = request.Plan, max(c.largest, request.Units)
		c.requests = append(c.requests, request)
		c.requested = append(c.requested, sample{request.SentAt.Seconds(), request.Units})
	}
	return counts
}

// checkSharedCounts checks the admissions of accounts against the error bound of the shared count. Over each of quotaWindowsS,
// the units sent to backends are checked against what rate, burst and the faults in effect allow. The units rejected although
// the quota held them are checked too, if the testbed knows the reasons of rejections.
func (r *Report) checkSharedCounts(h *History, cfg Config) {
	if len(cfg.AccountGateways) == 0 {
		return
	}
	r.Reasons, r.QuotaExcess, r.QuotaShortfall = map[int]int{}, map[int]Margin{}, map[int]Margin{}
	for _, request := range h.Requests {
		if request.Reason > 0 {
			r.Reasons[request.Reason]++
		}
	}
	counts := countsOf(h)
	ring := hashring.New(cfg.Gateways, hashring.PointsPerGateway(cfg.Gateways))
	for _, plan := range cfg.Plans {
		if plan.Rate <= 0 || plan.MaxConcurrency > 0 { // a concurrency limit may delay or reject what the quota admits
			continue
		}
		limited := plan.HardLimitRate > 0 && (plan.HardLimitRate < hardLimitMargin*plan.Rate || plan.HardLimitBurst < hardLimitMargin*plan.Burst)
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			count := counts[name]
			if len(count.admitted) == 0 || count.plan != plan.Name {
				continue
			}
			account := errorbound.Account{Gateways: cfg.AccountGateways[name].Count, Rate: plan.Rate * max(cfg.ClockRate, 1), Burst: plan.Burst,
				LargestRequest: count.largest, Demand: peakRate(count.requested)}
			faults := faultsOf(h, cfg, ring, name)
			r.checkExcess(cfg, name, account, count.admitted, faults)
			if len(r.Reasons) > 0 && !limited {
				r.checkShortfall(cfg, name, account, count, faults)
			}
		}
	}
}

// peakRate returns the highest rate over any peakWindowS, in units per second.
func peakRate(list []sample) (rate float64) {
	sum, from := 0.0, 0
	for _, s := range list {
		for sum += s.units; list[from].at < s.at-peakWindowS; from++ {
			sum -= list[from].units
		}
		rate = max(rate, sum/peakWindowS)
	}
	return rate
}

// faultsOf returns the faults that affected an account's count: outages and restarts of its gateways, which depend on their
// position on the ring for the account, and lost messages between ingresses.
func faultsOf(h *History, cfg Config, ring hashring.Ring, account string) (faults []errorbound.Fault) {
	home := cfg.AccountGateways[account]
	order := ring.Successors(peerprotocol.HashPoint(account), func(gateway int) bool {
		return (gateway-home.First+cfg.Gateways)%cfg.Gateways < home.Count
	})
	down := func(gateway int, at time.Duration) bool {
		return slices.ContainsFunc(h.Outages, func(o Outage) bool { return o.Forwarder == gateway && o.From <= at && at < o.To })
	}
	for _, o := range append(slices.Clone(h.Outages), h.Restarts...) {
		i := slices.Index(order, o.Forwarder)
		if i < 0 {
			continue
		}
		from, to := o.From.Seconds(), o.To.Seconds()
		// The gateway owned the count if all gateways before it were down both at the start and at the end of its outage.
		owner := !slices.ContainsFunc(order[:i], func(gateway int) bool { return !down(gateway, o.From) || !down(gateway, o.To) })
		if owner {
			faults = append(faults, errorbound.Fault{Kind: errorbound.OwnerLost, From: from, To: to}, errorbound.Fault{Kind: errorbound.OwnerRestarted, From: to, To: to})
		} else {
			faults = append(faults, errorbound.Fault{Kind: errorbound.MemberLost, From: from, To: to})
		}
	}
	for _, p := range h.PeerFaults {
		to := p.To
		if to == 0 {
			to = h.Now()
		}
		fault := errorbound.Fault{Kind: errorbound.MessageLoss, From: p.From.Seconds(), To: to.Seconds(), LossRate: p.LossRate, Sides: p.Sides}
		if p.Sides > 0 {
			fault.Kind = errorbound.Partition
		}
		faults = append(faults, fault)
	}
	return faults
}

// checkExcess checks the units of one account that were sent to backends beyond rate and burst against the error bound. The
// bound grows by the rate over cfg.QuotaSlackS, as an admitted request may be queued for that long. It reports the first
// violation for each of quotaWindowsS.
func (r *Report) checkExcess(cfg Config, name string, account errorbound.Account, admitted []sample, faults []errorbound.Fault) {
	for _, window := range quotaWindowsS {
		sum, from, violated := 0.0, 0, false
		for _, s := range admitted {
			for sum += s.units; admitted[from].at < s.at-window; from++ {
				sum -= admitted[from].units
			}
			excess := sum - account.Burst - account.Rate*window
			if excess <= 0 {
				continue
			}
			allowed, effective := errorbound.ExcessWithin(account, faults, s.at-window, s.at)
			allowed += account.Rate * cfg.QuotaSlackS
			if excess > r.QuotaExcess[int(window)].Units {
				r.QuotaExcess[int(window)] = Margin{excess, allowed}
			}
			r.utilization(excessBoundName(effective), excess/allowed)
			r.occasion(RuleQuota, fmt.Sprintf("more sent than rate and burst allow within %.0f s", window))
			if excess > allowed && !violated {
				violated = true
				r.violation(RuleQuota, duration(s.at), "%s was admitted %.1f units beyond rate and burst within %.0f s, %.1f are allowed (%v)", name, excess, window, allowed, effective)
			}
		}
	}
}

// excessBoundName names the error bound under the faults in effect, for Report.Utilization.
func excessBoundName(effective []errorbound.Fault) string {
	switch len(effective) {
	case 0:
		return "bound of excess units without faults"
	case 1:
		return fmt.Sprintf("bound of excess units, %v", effective[0].Kind)
	}
	return "bound of excess units, several faults"
}

// quotaReasons are the reasons of rejections that follow from a quota's count, not from a backend or a hard limit.
var quotaReasons = map[reason.Reason]bool{
	reason.WindowExhausted: true, reason.PriorityReserve: true, reason.OwnerBackoff: true, reason.ReplyExhausted: true,
	reason.Denied: true, reason.LocalWindowExhausted: true, reason.OwnerSilent: true,
}

// idealAdmissions replays requests, in order of sending, against an exact count, and returns what it admits. An original request
// and its client's retries are admitted once: the first of them that finds enough units. Requests that were rejected for reasons
// other than the count are left out.
func idealAdmissions(account errorbound.Account, clockRate float64, requests []*Request) (ideal []sample) {
	rate := account.Rate / math.Pow(max(clockRate, 1), 2) // by the slowest clock; account.Rate is by the fastest one
	available, last := account.Burst, 0.0
	admitted := map[string]bool{}
	for _, request := range requests {
		if request.Result == Rejected && !quotaReasons[reason.Reason(request.Reason)] || admitted[request.OriginalID] {
			continue
		}
		now := request.SentAt.Seconds()
		available, last = min(account.Burst, available+rate*(now-last)), now
		if available >= request.Units {
			available -= request.Units
			admitted[request.OriginalID] = true
			ideal = append(ideal, sample{now, request.Units})
		}
	}
	return ideal
}

// checkShortfall checks how much less was admitted for one account than an exact count would have admitted, over all but the
// shortest of quotaWindowsS. It reports the first violation for each of them.
func (r *Report) checkShortfall(cfg Config, name string, account errorbound.Account, count *accountCount, faults []errorbound.Fault) {
	var returned []sample // admitted, then rejected and returned to the quota as no backend was available in time
	for _, request := range count.requests {
		if request.Queued && request.Result == Rejected {
			returned = append(returned, sample{request.SentAt.Seconds(), request.Units})
		}
	}
	list := idealAdmissions(account, cfg.ClockRate, count.requests)
	ideal, actual, unused := newPrefixSums(list), newPrefixSums(count.admitted), newPrefixSums(returned)
	total := ideal.through(math.Inf(1))
	r.IdealUnits += total
	r.WithheldUnits += max(total-actual.through(math.Inf(1)), 0)
	for _, window := range quotaWindowsS[1:] {
		violated := false
		for _, s := range list {
			from := s.at - window
			// A shortfall before the window does not count within it. Units admitted beyond the exact count before the window
			// offset a shortfall within it. A request may be queued after its admission, so later attempts count too.
			before := max(ideal.through(from)-actual.through(from), 0)
			shortfall := ideal.through(s.at) - actual.through(s.at+cfg.QuotaSlackS+sendDelayS) - before
			inside := ideal.through(s.at) - ideal.through(from)
			if shortfall <= 0 {
				continue
			}
			allowed := errorbound.RejectionsWithin(account, faults, from, s.at) + errorbound.RejectedFraction*inside + unused.through(s.at) - unused.through(from)
			if shortfall > r.QuotaShortfall[int(window)].Units {
				r.QuotaShortfall[int(window)] = Margin{shortfall, allowed}
			}
			r.utilization("bound of withheld units", shortfall/allowed)
			r.occasion(RuleQuotaUsable, fmt.Sprintf("less admitted than the quota holds within %.0f s", window))
			if shortfall > allowed && !violated {
				violated = true
				r.violation(RuleQuotaUsable, duration(s.at), "%s was admitted %.1f units less than an exact count admits within %.0f s, %.1f are allowed", name, shortfall, window, allowed)
			}
		}
	}
}

// prefixSums are the running sums of samples, in order of time.
type prefixSums struct{ at, sum []float64 }

func newPrefixSums(list []sample) (p prefixSums) {
	sum := 0.0
	for _, s := range list {
		sum += s.units
		p.at, p.sum = append(p.at, s.at), append(p.sum, sum)
	}
	return p
}

// through returns the sum of all samples up to and including a time in seconds.
func (p prefixSums) through(at float64) float64 {
	i, _ := slices.BinarySearchFunc(p.at, at, func(x, y float64) int {
		if x <= y {
			return -1
		}
		return 1
	})
	if i == 0 {
		return 0
	}
	return p.sum[i-1]
}
