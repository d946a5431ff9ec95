package lab

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"eiderspread/policy"
)

// Rules are the figures by which an Audit judges.
type Rules struct {
	Classes   []policy.Class
	Plans     []policy.Plan
	DrainS    float64            // grace after a drain was told; the network's 50 ms come on top
	AnswerS   float64            // time past a try's deadline in which its answer still counts
	OverlapS  float64            // for which two attempts may seem to overlap, since nodes notice an end late
	CeilingS  float64            // of a ceiling's rate, that its slack is wider by
	SlackUnit float64            // the largest request
	Quota     float64            // units beyond a quota that are a breach; 0: none are
	PartyOf   func(f int) string // the roster's name of a forwarder
}

// Breach is one break of a rule.
type Breach struct {
	Rule, What string
	At         time.Duration
}

// Overshoot is how far an account went beyond its bucket in any window.
type Overshoot struct {
	Account, Plan string
	Units         float64 // that were passed on beyond rate and burst, at the worst moment
	Percent       float64 // of the burst
	At            time.Duration
}

// Report is what an Audit found.
type Report struct {
	Breaches   []Breach
	Counts     map[string]int // of breaches, by rule
	Tries      int
	Results    map[Result]int
	Attempts   int
	Overshoots []Overshoot // of accounts that went beyond, the worst first
	Service    float64     // in-quota worth answered in time over worth asked for inside the quotas
	Windows    []float64   // service by second of asking, of accounts that stay inside their quotas; -1: nothing asked
	ByPlan     map[string]float64
}

const breachesKept = 50

func (r *Report) breach(rule string, at time.Duration, format string, args ...any) {
	r.Counts[rule]++
	if len(r.Breaches) < breachesKept {
		r.Breaches = append(r.Breaches, Breach{rule, fmt.Sprintf(format, args...), at})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bucket is a store of units that starts full.
type bucket struct {
	rate, most, room float64
	at               time.Duration
}

func newBucket(rate, most float64) *bucket { return &bucket{rate: rate, most: most, room: most} }

func (b *bucket) to(at time.Duration) {
	b.room = min(b.most, b.room+b.rate*(at-b.at).Seconds())
	b.at = at
}

// Audit judges a history. It knows nothing of how forwarders and planners work.
func Audit(h *History, rules Rules) *Report {
	defer h.Lock()()
	rep := &Report{Counts: map[string]int{}, Results: map[Result]int{}, ByPlan: map[string]float64{}}
	classes, plans := map[string]policy.Class{}, map[string]policy.Plan{}
	for _, c := range rules.Classes {
		classes[c.Name] = c
	}
	for _, p := range rules.Plans {
		plans[p.Name] = p
	}
	byID := map[string][]*Attempt{}
	for _, a := range h.Attempts {
		byID[a.ID] = append(byID[a.ID], a)
	}
	tries := map[string]*Try{}
	for _, t := range h.Tries {
		tries[t.ID] = t
	}
	rep.Tries, rep.Attempts = len(h.Tries), len(h.Attempts)
	now := h.Now()
	out := func(t *Try, until time.Duration) bool {
		return slices.ContainsFunc(h.Outages, func(o Outage) bool {
			return o.Forwarder == t.Forwarder && o.From <= until && o.To >= t.Sent
		})
	}
	for _, t := range h.Tries {
		rep.Results[t.Result]++
		due := t.Deadline + seconds(rules.AnswerS)
		switch {
		case t.Answers > 1:
			rep.breach("one answer", t.Answered, "%s has %d answers", t.ID, t.Answers)
		case t.Result == Alien:
			rep.breach("one answer", t.Answered, "%s was served with another's value", t.ID)
		case (t.Result == Open || t.Result == Broken) && due < now && !out(t, due):
			rep.breach("no request lost", t.Sent, "%s at forwarder %d has no answer", t.ID, t.Forwarder)
		case t.Answers == 1 && t.Answered > due && !out(t, due):
			rep.breach("no request lost", t.Answered, "%s was answered %v late", t.ID, t.Answered-t.Deadline)
		}
		if t.Result == Served && !slices.ContainsFunc(byID[t.ID], func(a *Attempt) bool { return a.How == "ok" }) {
			rep.breach("one answer", t.Answered, "%s was served though no node has", t.ID)
		}
		if t.Result == Refused && classes[t.Class].Effect == policy.Unsafe &&
			slices.ContainsFunc(byID[t.ID], func(a *Attempt) bool { return a.Began }) {
			rep.breach("no effect twice", t.Answered, "%s was refused though it has run", t.ID)
		}
	}
	for id, list := range byID {
		began := 0
		for i, a := range list {
			if a.Began {
				began++
			}
			if i > 0 {
				if before := list[i-1]; before.End == 0 || before.End > a.At+seconds(rules.OverlapS) {
					rep.breach("one attempt out", a.At, "%s came to %s while out at %s", id, a.Node, before.Node)
				}
			}
		}
		c := classes[list[0].Class]
		if c.Effect == policy.Unsafe && began > 1 {
			rep.breach("no effect twice", list[0].At, "%s ran %d times", id, began)
		}
		if c.Effect == policy.Keyed {
			effects := 0
			for _, a := range list {
				if a.Began && !a.Repeat {
					effects++
				}
			}
			if effects > 1 {
				rep.breach("no effect twice", list[0].At, "%s had %d effects", id, effects)
			}
		}
	}
	rep.drains(h, rules, tries)
	rep.service(h, classes, plans, rep.quotas(h, rules, plans))
	sort.Slice(rep.Breaches, func(i, j int) bool { return rep.Breaches[i].At < rep.Breaches[j].At })
	return rep
}

// drains looks for what came to a node too long after the forwarder was told that it drains or is gone.
func (rep *Report) drains(h *History, rules Rules, tries map[string]*Try) {
	type key struct{ party, node string }
	told := map[key][]Told{}
	for _, t := range h.Told {
		k := key{t.Party, t.Node}
		told[k] = append(told[k], t)
	}
	for _, a := range h.Attempts {
		t := tries[a.ID]
		if t == nil {
			continue
		}
		last := Told{State: "in_service"}
		for _, x := range told[key{rules.PartyOf(t.Forwarder), a.Node}] {
			if x.At < a.At {
				last = x
			}
		}
		if grace := seconds(rules.DrainS) + 50*time.Millisecond; last.State != "in_service" && a.At > last.At+grace {
			rep.breach("drains kept", a.At, "%s came to %s %v after it was told to drain", a.ID, a.Node, a.At-last.At)
		}
	}
}

// quotas replays what came to nodes, each try once, against each account's buckets. It returns the tries that
// were inside their quotas when they were passed on.
func (rep *Report) quotas(h *History, rules Rules, plans map[string]policy.Plan) (inside map[string]bool) {
	inside = map[string]bool{}
	type account struct {
		plan           policy.Plan
		quota, ceiling *bucket
		store          *bucket // takes only what is inside the quota
		worst          float64
		at             time.Duration
		broken, over   bool
	}
	accounts := map[string]*account{}
	seen := map[string]bool{}
	for _, a := range h.Attempts { // in the order of their coming
		if seen[a.ID] {
			continue
		}
		seen[a.ID] = true
		x := accounts[a.Account]
		if x == nil {
			p := plans[a.Plan]
			x = &account{plan: p, quota: newBucket(p.Rate, p.Burst), ceiling: newBucket(p.CeilingRate, p.CeilingBurst),
				store: newBucket(p.Rate, p.Burst)}
			accounts[a.Account] = x
		}
		if x.plan.Rate > 0 {
			x.quota.to(a.At)
			x.quota.room -= a.Units
			if -x.quota.room > x.worst+1e-6 {
				x.worst, x.at = -x.quota.room, a.At
			}
			if rules.Quota > 0 && x.worst > rules.Quota && !x.over {
				x.over = true
				rep.breach("quotas kept", a.At, "%s is %.1f units over its quota, slack %.1f", a.Account, x.worst, rules.Quota)
			}
		}
		if x.store.to(a.At); x.plan.Rate == 0 || x.store.room >= a.Units {
			inside[a.ID] = true
			x.store.room -= a.Units
		}
		if x.plan.CeilingRate > 0 {
			x.ceiling.to(a.At)
			x.ceiling.room -= a.Units
			slack := max(x.plan.CeilingSlack, 0.1*x.plan.CeilingBurst, rules.SlackUnit) + rules.CeilingS*x.plan.CeilingRate
			if x.ceiling.room < -slack && !x.broken {
				x.broken = true
				rep.breach("ceilings kept", a.At, "%s is %.1f units over its ceiling, slack %.1f", a.Account, -x.ceiling.room, slack)
			}
		}
	}
	for name, x := range accounts {
		if x.worst > 0 {
			rep.Overshoots = append(rep.Overshoots, Overshoot{name, x.plan.Name, x.worst, 100 * x.worst / x.plan.Burst, x.at})
		}
	}
	slices.SortFunc(rep.Overshoots, func(a, b Overshoot) int {
		switch {
		case a.Percent > b.Percent:
			return -1
		case a.Percent < b.Percent:
			return 1
		}
		return 0
	})
	return inside
}

// service weighs what was answered in time against what one gateway that saw all first tries would let in.
func (rep *Report) service(h *History, classes map[string]policy.Class, plans map[string]policy.Plan, inside map[string]bool) {
	inTime := map[string]bool{}
	sent := map[string]time.Duration{}
	for _, t := range h.Tries {
		if t.ID == t.First {
			sent[t.ID] = t.Sent
		}
	}
	for _, t := range h.Tries {
		if t.Result == Served && inside[t.ID] && t.Answered <= sent[t.First]+seconds(classes[t.Class].AimS) {
			inTime[t.First] = true
		}
	}
	type sum struct{ asked, got float64 }
	byAccount := map[string]*sum{}
	planOf := map[string]string{}
	over := map[string]bool{} // accounts that ask beyond their quotas: more served hides what is lost
	windows := map[int]map[string]*sum{}
	buckets := map[string]*bucket{}
	firsts := make([]*Try, 0, len(h.Tries))
	for _, t := range h.Tries {
		if t.ID == t.First {
			firsts = append(firsts, t)
		}
	}
	sort.Slice(firsts, func(i, j int) bool { return firsts[i].Sent < firsts[j].Sent })
	for _, t := range firsts {
		p := plans[t.Plan]
		b := buckets[t.Account]
		if b == nil {
			b = newBucket(p.Rate, p.Burst)
			buckets[t.Account] = b
		}
		b.to(t.Sent)
		worth := classes[t.Class].Worth * p.Price * t.Units
		if byAccount[t.Account] == nil {
			byAccount[t.Account], planOf[t.Account] = &sum{}, t.Plan
		}
		w := int(t.Sent.Seconds())
		if windows[w] == nil {
			windows[w] = map[string]*sum{}
		}
		if windows[w][t.Account] == nil {
			windows[w][t.Account] = &sum{}
		}
		if p.Rate == 0 || b.room >= t.Units {
			b.room -= t.Units
			byAccount[t.Account].asked += worth
			windows[w][t.Account].asked += worth
		} else {
			over[t.Account] = true
		}
		if inTime[t.ID] {
			byAccount[t.Account].got += worth
			windows[w][t.Account].got += worth
		}
	}
	var all sum // of each account no more counts than it may have
	byPlan := map[string]*sum{}
	for name, s := range byAccount {
		if byPlan[planOf[name]] == nil {
			byPlan[planOf[name]] = &sum{}
		}
		for _, to := range []*sum{&all, byPlan[planOf[name]]} {
			to.asked += s.asked
			to.got += min(s.got, s.asked)
		}
	}
	rate := func(s sum) float64 {
		if s.asked == 0 {
			return -1
		}
		return s.got / s.asked
	}
	rep.Service = rate(all)
	for name, s := range byPlan {
		rep.ByPlan[name] = rate(*s)
	}
	for w := range int(h.Now().Seconds()) + 1 {
		var of sum
		for name, s := range windows[w] {
			if !over[name] {
				of.asked += s.asked
				of.got += s.got
			}
		}
		rep.Windows = append(rep.Windows, rate(of))
	}
}
