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

// GatewayRange is the gateways through which an account's requests come in: Count of them from First on, around the ring.
type GatewayRange struct {
	First int
	Count int `json:"Entries"`
}

// PeerFault is a time in which messages between ingresses were lost.
type PeerFault struct {
	From, To time.Duration // To 0: it goes on
	Sides    int           // into which they were split, 0: they were not
	LossRate float64       `json:"Loss"` // share of messages lost
}

// BeginPeerFault records that messages between ingresses are in trouble from now on, until the function that it returns is called.
func (h *History) BeginPeerFault(sides int, loss float64) (end func()) {
	n := 0
	h.locked(func() {
		n = len(h.PeerFaults)
		h.PeerFaults = append(h.PeerFaults, PeerFault{From: h.Now(), Sides: sides, LossRate: loss})
	})
	return func() { h.locked(func() { h.PeerFaults[n].To = h.Now() }) }
}

// The lengths of time over which a count is judged, in seconds.
var quotaWindowsS = []float64{1, 10, 60}

// sample is what was let in, or asked for, of an account.
type sample struct{ at, units float64 }

// checkSharedCounts judges the shared count of one level by the error budget: what came to nodes of each account over 1, 10 and 60 s against what rate,
// burst and the failures under way allow; and what was refused for the count's sake though the account's quota held it.
func (r *Report) checkSharedCounts(h *History, cfg Config) {
	if len(cfg.Homes) == 0 {
		return
	}
	passed, asked, seen := map[string][]sample{}, map[string][]sample{}, map[string]bool{}
	largest, counted := map[string]float64{}, map[string][]*Request{}
	plans := map[string]string{}
	for _, attempt := range h.Attempts { // in the order of their coming
		if key := attempt.ID + "/" + attempt.Account; !seen[key] {
			seen[key] = true
			passed[attempt.Account] = append(passed[attempt.Account], sample{attempt.At.Seconds(), attempt.Units})
		}
	}
	r.Reasons, r.QuotaExcess, r.QuotaShortfall = map[int]int{}, map[int]Margin{}, map[int]Margin{}
	for _, request := range h.Requests {
		if request.Reason > 0 {
			r.Reasons[request.Reason]++
		}
		counted[request.Account] = append(counted[request.Account], request)
		asked[request.Account] = append(asked[request.Account], sample{request.SentAt.Seconds(), request.Units})
		largest[request.Account] = max(largest[request.Account], request.Units)
		plans[request.Account] = request.Plan
	}
	around := hashring.New(cfg.Gateways, hashring.PointsPerGateway(cfg.Gateways))
	for _, plan := range cfg.Plans {
		if plan.Rate <= 0 || plan.MaxConcurrency > 0 { // a cap may hold back what the quota lets in
			continue
		}
		drift := max(cfg.ClockRate, 1)
		for _, name := range slices.Sorted(maps.Keys(passed)) {
			if plans[name] != plan.Name {
				continue
			}
			home := cfg.Homes[name]
			a := errorbound.Account{Gateways: home.Count, Rate: plan.Rate * drift, Burst: plan.Burst, LargestRequest: largest[name], Demand: peakRate(asked[name])}
			list := faultsOf(h, cfg, around, name)
			r.checkExcess(cfg, name, a, passed[name], list)
			if told := len(r.Reasons) > 0; told && (plan.HardLimitRate <= 0 || plan.HardLimitRate >= 1.5*plan.Rate && plan.HardLimitBurst >= 1.5*plan.Burst) { // else a ceiling may hold back what the quota lets in
				r.checkShortfall(cfg, name, a, counted[name], passed[name], list)
			}
		}
	}
}

// peakRate is the most units within any second.
func peakRate(list []sample) (rate float64) {
	const length = 1.0
	sum, from := 0.0, 0
	for _, x := range list {
		for sum += x.units; list[from].at < x.at-length; from++ {
			sum -= list[from].units
		}
		rate = max(rate, sum/length)
	}
	return rate
}

// faultsOf are the failures that an account's count had: lives of its gateways, by their place on its ring, and messages between them.
func faultsOf(h *History, cfg Config, around hashring.Ring, name string) (list []errorbound.Fault) {
	home := cfg.Homes[name]
	order := around.Successors(peerprotocol.HashPoint(name), func(gw int) bool { return (gw-home.First+cfg.Gateways)%cfg.Gateways < home.Count })
	down := func(gw int, at time.Duration) bool {
		return slices.ContainsFunc(h.Outages, func(o Outage) bool { return o.Forwarder == gw && o.From <= at && at < o.To })
	}
	for _, o := range append(slices.Clone(h.Outages), h.Restarts...) {
		i := slices.Index(order, o.Forwarder)
		if i < 0 {
			continue
		}
		from, to := o.From.Seconds(), o.To.Seconds()
		if first := !slices.ContainsFunc(order[:i], func(gw int) bool { return !down(gw, o.From) || !down(gw, o.To) }); first {
			list = append(list, errorbound.Fault{Kind: errorbound.OwnerLost, From: from, To: to}, errorbound.Fault{Kind: errorbound.OwnerRestarted, From: to, To: to})
		} else {
			list = append(list, errorbound.Fault{Kind: errorbound.MemberLost, From: from, To: to})
		}
	}
	for _, x := range h.PeerFaults {
		to := x.To
		if to == 0 {
			to = h.Now()
		}
		t := errorbound.Fault{Kind: errorbound.MessageLoss, From: x.From.Seconds(), To: to.Seconds(), LossRate: x.LossRate, Sides: x.Sides}
		if x.Sides > 0 {
			t.Kind = errorbound.Partition
		}
		list = append(list, t)
	}
	return list
}

// checkExcess holds what came to nodes against the budget. What the module has let in waits for a server for QuotaSlackS at most.
func (r *Report) checkExcess(cfg Config, name string, a errorbound.Account, list []sample, faults []errorbound.Fault) {
	for _, length := range quotaWindowsS {
		sum, from, broken := 0.0, 0, false
		for _, x := range list {
			for sum += x.units; list[from].at < x.at-length; from++ {
				sum -= list[from].units
			}
			beyond := sum - a.Burst - a.Rate*length
			if beyond <= 0 {
				continue
			}
			allowed, met := errorbound.ExcessWithin(a, faults, x.at-length, x.at)
			allowed += a.Rate * cfg.QuotaSlackS
			if x := r.QuotaExcess[int(length)]; beyond > x.Units {
				r.QuotaExcess[int(length)] = Margin{beyond, allowed}
			}
			what := "budget of a count in calm"
			if len(met) > 0 {
				what = fmt.Sprintf("budget of a count, %v", met[0].Kind)
				if len(met) > 1 {
					what = "budget of a count, several failures"
				}
			}
			r.utilization(what, beyond/allowed)
			r.occasion(RuleQuota, fmt.Sprintf("sent on beyond rate and burst within %.0f s", length))
			if beyond > allowed && !broken {
				broken = true
				r.violation(RuleQuota, duration(x.at), "%s was let in %.1f units beyond rate and burst within %.0f s, %.1f allowed (%v)", name, beyond, length, allowed, met)
			}
		}
	}
}

// quotaReasons are the reasons that a request is refused for when the count, not a node or a ceiling, has no place for it.
var quotaReasons = map[reason.Reason]bool{reason.WindowExhausted: true, reason.PriorityReserve: true, reason.OwnerBackoff: true, reason.ReplyExhausted: true, reason.Denied: true, reason.LocalWindowExhausted: true, reason.OwnerSilent: true}

// checkShortfall plays the account's window as a count without fault would have it: each thing asked for is let in once, when a try for it comes and the
// window holds it. It compares what that lets in with what was let in. Tries that were turned away for other reasons are no part of it.
func (r *Report) checkShortfall(cfg Config, name string, a errorbound.Account, requests []*Request, passed []sample, faults []errorbound.Fault) {
	rate := a.Rate / math.Pow(max(cfg.ClockRate, 1), 2) // by the slowest clock
	room, at := a.Burst, 0.0
	let := map[string]bool{}
	var ideal, held []sample // held: let in, and given back as no server was found in time
	for _, request := range requests {
		if request.Queued && request.Result == Rejected {
			held = append(held, sample{request.SentAt.Seconds(), request.Units})
		}
	}
	for _, request := range requests {
		if request.Result == Rejected && !quotaReasons[reason.Reason(request.Reason)] {
			continue
		}
		if let[request.OriginalID] {
			continue
		}
		now := request.SentAt.Seconds()
		room, at = min(a.Burst, room+rate*(now-at)), now
		if room >= request.Units {
			room -= request.Units
			let[request.OriginalID] = true
			ideal = append(ideal, sample{now, request.Units})
		}
	}
	ideals, reals, helds := newPrefixSums(ideal), newPrefixSums(passed), newPrefixSums(held)
	r.IdealUnits += ideals.through(math.Inf(1))
	r.WithheldUnits += max(ideals.through(math.Inf(1))-reals.through(math.Inf(1)), 0)
	for _, length := range quotaWindowsS[1:] {
		broken := false
		for _, x := range ideal {
			// What is let in may wait for a server a little before it is sent. Who let in more before owes it.
			before := max(ideals.through(x.at-length)-reals.through(x.at-length), 0)
			short := ideals.through(x.at) - reals.through(x.at+cfg.QuotaSlackS+0.1) - before
			inside := ideals.through(x.at) - ideals.through(x.at-length)
			if short <= 0 {
				continue
			}
			allowed := errorbound.RejectionsWithin(a, faults, x.at-length, x.at) + errorbound.RejectedFraction*inside + helds.through(x.at) - helds.through(x.at-length)
			if x := r.QuotaShortfall[int(length)]; short > x.Units {
				r.QuotaShortfall[int(length)] = Margin{short, allowed}
			}
			r.utilization("budget of what a count withholds", short/allowed)
			r.occasion(RuleQuotaUsable, fmt.Sprintf("less let in than the quota holds within %.0f s", length))
			if short > allowed && !broken {
				broken = true
				r.violation(RuleQuotaUsable, duration(x.at), "%s was let in %.1f units less than a count without fault lets in within %.0f s, %.1f allowed", name, short, length, allowed)
			}
		}
	}
}

// prefixSums is a running sum over time.
type prefixSums struct{ at, sum []float64 }

func newPrefixSums(list []sample) (r prefixSums) {
	sum := 0.0
	for _, x := range list {
		sum += x.units
		r.at, r.sum = append(r.at, x.at), append(r.sum, sum)
	}
	return r
}

// through is the sum of all that came no later.
func (r prefixSums) through(at float64) float64 {
	i, _ := slices.BinarySearchFunc(r.at, at, func(x, y float64) int {
		if x <= y {
			return -1
		}
		return 1
	})
	if i == 0 {
		return 0
	}
	return r.sum[i-1]
}
