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

// Home is where an account comes in: so many gateways from the first on.
type Home struct{ First, Entries int }

// PeerTrouble is a time in which messages between ingresses were lost.
type PeerTrouble struct {
	From, To time.Duration // To 0: it goes on
	Sides    int           // into which they were split, 0: they were not
	Loss     float64       // share of messages lost
}

// PeersTroubled records that messages between ingresses are in trouble from now on, until the function that it returns is called.
func (h *History) PeersTroubled(sides int, loss float64) (end func()) {
	n := 0
	h.do(func() {
		n = len(h.Peers)
		h.Peers = append(h.Peers, PeerTrouble{From: h.Now(), Sides: sides, Loss: loss})
	})
	return func() { h.do(func() { h.Peers[n].To = h.Now() }) }
}

// The lengths of time over which a count is judged, in seconds.
var countWindows = []float64{1, 10, 60}

// pass is what was let in, or asked for, of an account.
type pass struct{ at, units float64 }

// counts judges the shared count of one level by the error budget: what came to nodes of each account over 1, 10 and 60 s against what rate,
// burst and the failures under way allow; and what was refused for the count's sake though the account's quota held it.
func (rep *Report) counts(h *History, rules Rules) {
	if len(rules.Homes) == 0 {
		return
	}
	passed, asked, seen := map[string][]pass{}, map[string][]pass{}, map[string]bool{}
	largest, counted := map[string]float64{}, map[string][]*Try{}
	plans := map[string]string{}
	for _, a := range h.Attempts { // in the order of their coming
		if key := a.ID + "/" + a.Account; !seen[key] {
			seen[key] = true
			passed[a.Account] = append(passed[a.Account], pass{a.At.Seconds(), a.Units})
		}
	}
	rep.Reasons, rep.Counted, rep.Short = map[int]int{}, map[int]Margin{}, map[int]Margin{}
	for _, t := range h.Tries {
		if t.Why > 0 {
			rep.Reasons[t.Why]++
		}
		counted[t.Account] = append(counted[t.Account], t)
		asked[t.Account] = append(asked[t.Account], pass{t.Sent.Seconds(), t.Units})
		largest[t.Account] = max(largest[t.Account], t.Units)
		plans[t.Account] = t.Plan
	}
	around := hashring.New(rules.Gateways, hashring.PointsPerGateway(rules.Gateways))
	for _, p := range rules.Plans {
		if p.Rate <= 0 || p.MaxConcurrency > 0 { // a cap may hold back what the quota lets in
			continue
		}
		drift := max(rules.Drift, 1)
		for _, name := range slices.Sorted(maps.Keys(passed)) {
			if plans[name] != p.Name {
				continue
			}
			home := rules.Homes[name]
			a := errorbound.Account{Gateways: home.Entries, Rate: p.Rate * drift, Burst: p.Burst, LargestRequest: largest[name], Demand: most1(asked[name])}
			list := troublesOf(h, rules, around, name)
			rep.over(rules, name, a, passed[name], list)
			if told := len(rep.Reasons) > 0; told && (p.HardLimitRate <= 0 || p.HardLimitRate >= 1.5*p.Rate && p.HardLimitBurst >= 1.5*p.Burst) { // else a ceiling may hold back what the quota lets in
				rep.under(rules, name, a, counted[name], passed[name], list)
			}
		}
	}
}

// most1 is the most units within any second.
func most1(list []pass) (rate float64) {
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

// troublesOf are the failures that an account's count had: lives of its gateways, by their place on its ring, and messages between them.
func troublesOf(h *History, rules Rules, around hashring.Ring, name string) (list []errorbound.Fault) {
	home := rules.Homes[name]
	order := around.Successors(peerprotocol.HashPoint(name), func(gw int) bool { return (gw-home.First+rules.Gateways)%rules.Gateways < home.Entries })
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
	for _, x := range h.Peers {
		to := x.To
		if to == 0 {
			to = h.Now()
		}
		t := errorbound.Fault{Kind: errorbound.MessageLoss, From: x.From.Seconds(), To: to.Seconds(), LossRate: x.Loss, Sides: x.Sides}
		if x.Sides > 0 {
			t.Kind = errorbound.Partition
		}
		list = append(list, t)
	}
	return list
}

// over holds what came to nodes against the budget. What the module has let in waits for a server for QuotaS at most.
func (rep *Report) over(rules Rules, name string, a errorbound.Account, list []pass, troubles []errorbound.Fault) {
	for _, length := range countWindows {
		sum, from, broken := 0.0, 0, false
		for _, x := range list {
			for sum += x.units; list[from].at < x.at-length; from++ {
				sum -= list[from].units
			}
			beyond := sum - a.Burst - a.Rate*length
			if beyond <= 0 {
				continue
			}
			allowed, met := errorbound.ExcessWithin(a, troubles, x.at-length, x.at)
			allowed += a.Rate * rules.QuotaS
			if x := rep.Counted[int(length)]; beyond > x.Units {
				rep.Counted[int(length)] = Margin{beyond, allowed}
			}
			what := "budget of a count in calm"
			if len(met) > 0 {
				what = fmt.Sprintf("budget of a count, %v", met[0].Kind)
				if len(met) > 1 {
					what = "budget of a count, several failures"
				}
			}
			rep.near(what, beyond/allowed)
			rep.saw(Quotas, fmt.Sprintf("sent on beyond rate and burst within %.0f s", length))
			if beyond > allowed && !broken {
				broken = true
				rep.breach(Quotas, seconds(x.at), "%s was let in %.1f units beyond rate and burst within %.0f s, %.1f allowed (%v)", name, beyond, length, allowed, met)
			}
		}
	}
}

// forCount are the reasons that a request is refused for when the count, not a node or a ceiling, has no place for it.
var forCount = map[reason.Reason]bool{reason.WindowExhausted: true, reason.PriorityReserve: true, reason.OwnerBackoff: true, reason.ReplyExhausted: true, reason.Denied: true, reason.LocalWindowExhausted: true, reason.OwnerSilent: true}

// under plays the account's window as a count without fault would have it: each thing asked for is let in once, when a try for it comes and the
// window holds it. It compares what that lets in with what was let in. Tries that were turned away for other reasons are no part of it.
func (rep *Report) under(rules Rules, name string, a errorbound.Account, tries []*Try, passed []pass, troubles []errorbound.Fault) {
	rate := a.Rate / math.Pow(max(rules.Drift, 1), 2) // by the slowest clock
	room, at := a.Burst, 0.0
	let := map[string]bool{}
	var ideal, held []pass // held: let in, and given back as no server was found in time
	for _, t := range tries {
		if t.Queued && t.Result == Refused {
			held = append(held, pass{t.Sent.Seconds(), t.Units})
		}
	}
	for _, t := range tries {
		if t.Result == Refused && !forCount[reason.Reason(t.Why)] {
			continue
		}
		if let[t.First] {
			continue
		}
		now := t.Sent.Seconds()
		room, at = min(a.Burst, room+rate*(now-at)), now
		if room >= t.Units {
			room -= t.Units
			let[t.First] = true
			ideal = append(ideal, pass{now, t.Units})
		}
	}
	ideals, reals, helds := newRunning(ideal), newRunning(passed), newRunning(held)
	rep.Ideal += ideals.until(math.Inf(1))
	rep.Withheld += max(ideals.until(math.Inf(1))-reals.until(math.Inf(1)), 0)
	for _, length := range countWindows[1:] {
		broken := false
		for _, x := range ideal {
			// What is let in may wait for a server a little before it is sent. Who let in more before owes it.
			before := max(ideals.until(x.at-length)-reals.until(x.at-length), 0)
			short := ideals.until(x.at) - reals.until(x.at+rules.QuotaS+0.1) - before
			inside := ideals.until(x.at) - ideals.until(x.at-length)
			if short <= 0 {
				continue
			}
			allowed := errorbound.RejectionsWithin(a, troubles, x.at-length, x.at) + errorbound.RejectedFraction*inside + helds.until(x.at) - helds.until(x.at-length)
			if x := rep.Short[int(length)]; short > x.Units {
				rep.Short[int(length)] = Margin{short, allowed}
			}
			rep.near("budget of what a count withholds", short/allowed)
			rep.saw(Used, fmt.Sprintf("less let in than the quota holds within %.0f s", length))
			if short > allowed && !broken {
				broken = true
				rep.breach(Used, seconds(x.at), "%s was let in %.1f units less than a count without fault lets in within %.0f s, %.1f allowed", name, short, length, allowed)
			}
		}
	}
}

// running is a running sum over time.
type running struct{ at, sum []float64 }

func newRunning(list []pass) (r running) {
	sum := 0.0
	for _, x := range list {
		sum += x.units
		r.at, r.sum = append(r.at, x.at), append(r.sum, sum)
	}
	return r
}

// until is the sum of all that came no later.
func (r running) until(at float64) float64 {
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
