package oracle

import (
	"slices"
	"time"

	"eiderspread/policy"
)

// What a fleet lets in beyond its accounts' quotas has a price. It is put beside that of a policy of which each ingress sees the true count as
// it stood a little while ago, and knows what it let in itself since: what messages between them can come to.

const (
	lateS    = 0.3 // how late that policy sees
	quietGap = 0.1 // how much more than under it may be lost on a quiet day
)

// Cost is a share of the worth that was asked for inside quotas.
type Cost struct{ Real, Late float64 }

// late is the window of one account as that policy sees it.
type late struct {
	b    *bucket
	news []news // let in within lateS
}

type news struct {
	pass
	ingress int
}

// lets tells whether an ingress lets so much in.
func (l *late) lets(at time.Duration, ingress int, units float64) bool {
	for len(l.news) > 0 && l.news[0].at+lateS <= at.Seconds() {
		l.b.take(seconds(l.news[0].at+lateS), l.news[0].units)
		l.news = l.news[1:]
	}
	l.b.to(at)
	own := 0.0
	for _, n := range l.news {
		if n.ingress == ingress {
			own += n.units
		}
	}
	if l.b.room-own < units {
		return false
	}
	l.news = append(l.news, news{pass{at.Seconds(), units}, ingress})
	return true
}

// take takes units from the window if it holds them.
func (b *bucket) take(at time.Duration, units float64) bool {
	if b.to(at); b.room < units {
		return false
	}
	b.room -= units
	return true
}

// beyond prices what came to nodes beyond rates and bursts, and what that policy would have let in of the same tries. Accounts under a cap
// are left out: what is out, and so beyond, goes by the nodes' speed.
func (rep *Report) beyond(h *History, rules Rules, classes map[string]policy.Class, plans map[string]policy.Plan) {
	type account struct {
		real, asked, late *bucket // late: the true window beside that policy's
		seen              late
	}
	all := map[string]*account{}
	of := func(name string, p policy.Plan) *account {
		if all[name] == nil {
			all[name] = &account{real: newBucket(p.Rate, p.Burst), asked: newBucket(p.Rate, p.Burst), late: newBucket(p.Rate, p.Burst),
				seen: late{b: newBucket(p.Rate, p.Burst)}}
		}
		return all[name]
	}
	counts := func(p policy.Plan) bool { return p.Rate > 0 && p.MaxConcurrency == 0 }
	worth := func(class string, p policy.Plan, units float64) float64 {
		return classes[class].PriorityWeight * p.Weight * units
	}
	inside, sent := 0.0, map[string]bool{}
	for _, a := range h.Attempts { // in the order of their coming
		p := plans[a.Plan]
		if key := a.ID + "/" + a.Account; counts(p) && !sent[key] {
			sent[key] = true
			if !of(a.Account, p).real.take(a.At, a.Units) {
				rep.Beyond.Real += worth(a.Class, p, a.Units) * p.OverQuotaCostFraction
			}
		}
	}
	tries := slices.SortedStableFunc(slices.Values(h.Tries), func(a, b *Try) int { return int(a.Sent - b.Sent) })
	for _, t := range tries {
		p := plans[t.Plan]
		if !counts(p) {
			continue
		}
		x := of(t.Account, p)
		if x.asked.take(t.Sent, t.Units) {
			inside += worth(t.Class, p, t.Units)
		}
		if x.seen.lets(t.Sent, t.Forwarder, t.Units) && !x.late.take(t.Sent, t.Units) {
			rep.Beyond.Late += worth(t.Class, p, t.Units) * p.OverQuotaCostFraction
		}
	}
	rep.Beyond.Real /= max(inside, 1e-9)
	rep.Beyond.Late /= max(inside, 1e-9)
	if len(h.Outages)+len(h.Restarts)+len(h.Peers) > 0 || len(all) == 0 {
		return // no quiet day
	}
	if rep.Beyond.Real > 0 || rep.Beyond.Late > 0 {
		rep.saw(Quotas, "quiet runs on which something went beyond")
	}
	if rep.Beyond.Real > rep.Beyond.Late+quietGap {
		rep.breach(Quotas, h.Now(), "what went beyond quotas on a quiet day costs %.3f of the worth asked for inside, %.3f under a policy that sees all late",
			rep.Beyond.Real, rep.Beyond.Late)
	}
}
