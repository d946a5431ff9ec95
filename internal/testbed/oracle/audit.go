package oracle

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"eiderspread/internal/decision/errorbound"
	"eiderspread/internal/decision/hashring"
	"eiderspread/policy"
)

// The rules, as a Report names them.
const (
	Lost     = "no request lost"
	Answer   = "one answer"
	Order    = "answers in order"
	Out      = "one attempt out"
	Limit    = "attempts limited"
	Twice    = "no effect twice"
	Drains   = "drains kept"
	Held     = "nodes that operators hold left alone"
	Replaced = "nothing lost when a program is replaced" // counts occasions; what is lost breaks the other rules
	Cold     = "cold nodes stand"
	Quotas   = "quotas kept"
	Used     = "quotas can be used" // no more is refused for the count's sake than its error budget has
	Caps     = "caps kept"
	Ceilings = "ceilings kept"
	Stale    = "none on a stale word"
	Views    = "views equal the truth"
	Shed     = "overload shed as one" // by what is stated of a fleet that does
	Gone     = "nothing sent for who left"
	DrainEnd = "a drained ingress lets go of its clients"
	OwnCount = "no broken rule counted by an ingress"
)

// RuleNames are all rules, in the order of a report.
var RuleNames = []string{Lost, Answer, Order, Out, Limit, Twice, Drains, Cold, Quotas, Used, Caps, Ceilings, Stale, Views, Held, Replaced, Shed, Gone, DrainEnd, OwnCount}

// Rules are the figures by which an Audit judges.
type Rules struct {
	Classes             []policy.Class
	Plans               []policy.Plan
	DrainS              float64         // grace after a drain was told; the network's 50 ms come on top
	AnswerS             float64         // time past a try's deadline in which its answer still counts
	HeldS               float64         // past its deadline, a refusal or failure of a try with nothing under way was held back; 0: not judged
	Attempts            int             // of a try, that may reach nodes; 0: not judged
	OverlapS            float64         // for which two attempts may seem to overlap, since nodes notice an end late
	CeilingS            float64         // of a ceiling's rate, that its slack is wider by
	SlackUnit           float64         // the largest request
	Quota               float64         // units beyond a quota that are a breach; 0: none are
	QuotaS              float64         // of a quota\'s rate, that its slack is wider by: what is counted waits in the module for a server
	Homes               map[string]Home // of accounts, whose shared count is judged by the error budget of one level; none: it is not
	Gateways            int             // that Homes speak of
	CapX                float64         // times a cap on open attempts that may be out; 0: no bound is stated
	Drift               float64         // what the fastest of the clocks makes of a second; 0 stands for 1
	FallMultiple, FallS float64         // of the rule on cold nodes
	StaleS              float64         // for which a word of membership counts as fresh; 0: not judged
	ColdChance          bool            // the budget of a cold node has the operators' own slack for chance, in requests, in place of ColdSlack
	ColdSlack           float64         // share of the budget that chance and the network's delays may add
	Floors              map[string]int  // by rule: occasions under which a run shows nothing
	Overload            bool            // whether a Load is worked out
	Shed                *Stated         // what a fleet that sheds as one keeps to; nil: not judged
	Peak                Peak            // when more was asked for than nodes can do; none: not known
	LateMost            time.Duration   // lateness of the laboratory from which on a run is void; 0: no bound
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

// Margin is a figure beside what its budget allows at that moment, in units.
type Margin struct{ Units, Allowed float64 }

// Report is what an Audit found.
type Report struct {
	Breaches          []Breach
	Counts            map[string]int     // of breaches, by rule
	Seen              map[string]int     // occasions, by rule: times at which it could have been broken
	Occasions         map[string]int     // the same in detail
	Nearest           map[string]float64 // how near a run came to what a rule allows, 1: at it
	Void              string             // why the run can't be judged, "" if it can
	Tries             int
	Results           map[Result]int
	Attempts          int
	Load              *Load       // nil: nothing was asked for inside quotas
	Overshoots        []Overshoot // of accounts that went beyond, the worst first
	Service           float64     // in-quota worth answered in time over worth asked for inside the quotas
	Windows           []float64   // service by second of asking, of accounts that stay inside their quotas; -1: nothing asked
	ByPlan            map[string]float64
	ByClass           map[string]float64
	Retries           map[string]int // further attempts, by class and by how the one before ended
	Ideal             float64        // units that counts without fault would have let in, of accounts whose count is judged
	Counted           map[int]Margin // the worst of any account, by the length of time in seconds: let in beyond rate and burst
	Short             map[int]Margin // and withheld
	Withheld          float64        // and of these, that were not let in
	Beyond            Cost           // of what went out beyond rates
	Handshakes        int            // connections to nodes that were opened, where they are counted
	PlaceS, BeyondS   float64        // seconds of attempts out of accounts with a cap: within it, and beyond
	Kinds             map[string]int // of messages between ingresses, where they are counted
	Messages, Drowned int            // between ingresses, where they are counted; of these, lost since an ingress takes in no more
	Reasons           map[int]int    // refusals by the module's why.Reason, where it was told
	floors            map[string]int
}

// Verdict is nil for a run that shows that the rules hold: no breach, and occasions enough.
func (rep *Report) Verdict() error {
	if rep.Void != "" {
		return fmt.Errorf("void: %s", rep.Void)
	}
	if len(rep.Breaches) > 0 {
		return fmt.Errorf("%d breaches, first of %q: %s", rep.total(), rep.Breaches[0].Rule, rep.Breaches[0].What)
	}
	for _, rule := range RuleNames {
		if rep.Seen[rule] < rep.floors[rule] {
			return fmt.Errorf("%q was not seen: %d occasions, %d wanted", rule, rep.Seen[rule], rep.floors[rule])
		}
	}
	return nil
}

func (rep *Report) total() (n int) {
	for _, c := range rep.Counts {
		n += c
	}
	return n
}

// saw counts an occasion to break a rule.
func (rep *Report) saw(rule, what string) {
	rep.Seen[rule]++
	rep.Occasions[rule+": "+what]++
}

func (rep *Report) near(what string, x float64) { rep.Nearest[what] = max(rep.Nearest[what], x) }

const breachesKept = 50

func (rep *Report) breach(rule string, at time.Duration, format string, args ...any) {
	rep.Counts[rule]++
	if len(rep.Breaches) < breachesKept {
		rep.Breaches = append(rep.Breaches, Breach{rule, fmt.Sprintf(format, args...), at})
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

// Audit judges a history.
func Audit(h *History, rules Rules) *Report {
	defer h.Lock()()
	rep := &Report{Counts: map[string]int{}, Seen: map[string]int{}, Occasions: map[string]int{}, Nearest: map[string]float64{},
		Results: map[Result]int{}, ByPlan: map[string]float64{}, ByClass: map[string]float64{}, Retries: map[string]int{}, floors: rules.Floors}
	if rules.LateMost > 0 && h.Late > rules.LateMost {
		rep.Void = fmt.Sprintf("the laboratory was %v late, %v at most", h.Late.Round(time.Millisecond), rules.LateMost)
	}
	classes, plans := map[string]policy.Class{}, map[string]policy.Plan{}
	for _, c := range rules.Classes {
		classes[c.Name] = c
	}
	for _, p := range rules.Plans {
		if rules.Drift > 0 {
			p.Rate, p.HardLimitRate = p.Rate*rules.Drift, p.HardLimitRate*rules.Drift
		}
		plans[p.Name] = p
	}
	byID := map[string][]*Attempt{}
	for _, a := range h.Attempts {
		key := a.ID + "/" + a.Account
		byID[key] = append(byID[key], a)
	}
	tries := map[string]*Try{}
	for _, t := range h.Tries {
		tries[t.key()] = t
	}
	rep.Tries, rep.Attempts = len(h.Tries), len(h.Attempts)
	for key, list := range byID {
		if tries[key] == nil {
			rep.Void = fmt.Sprintf("%s came to %s, which no client here has sent", list[0].ID, list[0].Node)
		}
	}
	rep.answers(h, rules, classes, byID)
	rep.emptied(h)
	rep.counted(h)
	for _, key := range slices.Sorted(maps.Keys(byID)) {
		rep.attempts(h, rules, classes[byID[key][0].Class], byID[key], tries[key])
	}
	rep.drains(h, rules, tries)
	rep.operators(h, rules, tries)
	rep.stale(h, rules)
	rep.cold(h, rules)
	rep.caps(h, rules, plans)
	inside := rep.quotas(h, rules, plans)
	rep.counts(h, rules)
	rep.beyond(h, rules, classes, plans)
	rep.asked(h, plans)
	rep.service(h, classes, plans, inside)
	if rules.Overload {
		rep.load(h, rules, classes, plans)
	}
	sort.SliceStable(rep.Breaches, func(i, j int) bool { return rep.Breaches[i].At < rep.Breaches[j].At })
	return rep
}

// answers judges what clients got: each one answer, in time, of its own; and no refusal of what may have run.
func (rep *Report) answers(h *History, rules Rules, classes map[string]policy.Class, byID map[string][]*Attempt) {
	now := h.Now()
	out := func(t *Try, until time.Duration) bool {
		return slices.ContainsFunc(h.Outages, func(o Outage) bool {
			return o.Forwarder == t.Forwarder && o.From <= until && o.To >= t.Sent
		})
	}
	for _, t := range h.Tries {
		rep.Results[t.Result]++
		due := t.Deadline + seconds(rules.AnswerS)
		attempts := byID[t.key()]
		if slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.How != "served" }) {
			rep.saw(Lost, "tries that met trouble")
		}
		if len(attempts) > 1 {
			rep.saw(Answer, "tries with several attempts")
		}
		if slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.How == "copy" || a.How == "late" }) {
			rep.saw(Answer, "late answers and copies")
		}
		rep.left(t, attempts, rules)
		if t.Batch > 1 && t.Answers > 0 {
			rep.saw(Order, "answers behind others on a connection")
		}
		switch {
		case t.Answers > 1:
			rep.breach(Answer, t.Answered, "%s has %d answers", t.ID, t.Answers)
		case t.Result == Alien && t.Batch > 0:
			rep.breach(Order, t.Answered, "%s, number %d of its connection, was served with another's value", t.ID, t.Batch)
		case t.Result == Alien:
			rep.breach(Answer, t.Answered, "%s was served with another's value", t.ID)
		case t.Result == Left, t.Untaken:
		case (t.Result == Open || t.Result == Broken) && due < now && !out(t, due):
			rep.breach(Lost, t.Sent, "%s at forwarder %d has no answer", t.ID, t.Forwarder)
		case (t.Result == Refused || t.Result == Failed) && t.Batch < 2 && rules.HeldS > 0 && t.Answered > t.Deadline+seconds(rules.HeldS) &&
			!out(t, due) && !slices.ContainsFunc(attempts, func(a *Attempt) bool { end := h.end(a); return end == 0 || end > t.Answered-100*time.Millisecond }):
			rep.breach(Lost, t.Answered, "%s got its final answer at its deadline, with nothing under way", t.ID)
		case t.Answers == 1 && t.Answered > due && t.Batch < 2 && !out(t, due): // behind others it may have to wait for them
			rep.breach(Lost, t.Answered, "%s was answered %v late", t.ID, t.Answered-t.Deadline)
		}
		if t.Result == Served && !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.Answered > 0 }) {
			rep.breach(Answer, t.Answered, "%s was served though no node has", t.ID)
		}
		if len(attempts) == 0 || classes[t.Class].Idempotency != policy.NonIdempotent || t.Result == Served || t.Result == Left {
			continue
		}
		if mayHave := slices.IndexFunc(attempts, (*Attempt).MayHaveRun); mayHave >= 0 {
			rep.saw(Twice, "final answers of unsafe tries that may have run, unserved")
			if t.Result == Refused {
				rep.breach(Twice, t.Answered, "%s was refused though it may have run: %s at %s", t.ID, attempts[mayHave].How, attempts[mayHave].Node)
			}
		}
	}
}

// leftS is how long after its client has left a request that waits may still be sent on.
const leftS = 0.3

// left judges what is sent for a client that has left while its request waited.
func (rep *Report) left(t *Try, attempts []*Attempt, rules Rules) {
	if t.Left == 0 {
		return
	}
	if !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.At <= t.Left }) {
		rep.saw(Gone, "clients that left while their request waited")
	}
	for _, a := range attempts {
		if a.At > t.Left+seconds(leftS+rules.OverlapS) {
			rep.breach(Gone, a.At, "%s came to %s %v after its client had left", t.ID, a.Node, a.At-t.Left)
		}
	}
}

// end is when an attempt was over for whoever sent it, by the node or by the end of its connection; 0: it never was.
func (h *History) end(a *Attempt) time.Duration {
	end := a.End
	if a.Answered > 0 && a.Answered < end { // answered whole; what the node does after that is its own matter
		end = a.Answered
	}
	for _, at := range h.ConnEnds[a.Conn] {
		if at >= a.At {
			if end == 0 || at < end {
				end = at
			}
			break
		}
	}
	return end
}

// givenUpBefore tells that whoever sent an attempt had ended its connection by a time before it came: its bytes were on their way, and overtaken by
// those of the next attempt. On an open connection it never was out beside that one.
func (h *History) givenUpBefore(a *Attempt, at time.Duration) bool {
	ends := h.ConnEnds[a.Conn]
	return len(ends) > 0 && ends[0] < a.At && ends[0] <= at
}

// attempts judges the attempts of one try, in the order of their coming.
func (rep *Report) attempts(h *History, rules Rules, c policy.Class, list []*Attempt, t *Try) {
	effects, began := 0, 0
	for i, a := range list {
		if a.Began {
			if began++; !a.Repeat {
				effects++
			}
		}
		if a.MayHaveRun() && a.How != "served" && c.Idempotency != policy.Idempotent && (t == nil || t.Left == 0) {
			rep.saw(Twice, c.Name+" that may have run, unserved")
		}
		if i == 0 {
			continue
		}
		before := list[i-1]
		rep.saw(Out, "further attempts")
		rep.Retries[c.Name+" after "+before.How]++
		if end := h.end(before); (end == 0 || end > a.At+seconds(rules.OverlapS)) && !h.givenUpBefore(a, before.At) {
			rep.breach(Out, a.At, "%s came to %s while out at %s (%s, from %.3f to %.3f s)", a.ID, a.Node, before.Node, before.How, before.At.Seconds(), h.end(before).Seconds())
		}
		if c.Idempotency == policy.NonIdempotent && before.MayHaveRun() {
			rep.breach(Twice, a.At, "%s came to %s though it may have run: %s at %s", a.ID, a.Node, before.How, before.Node)
		}
		if t != nil && t.Answered > 0 && t.Result != Left && a.At > t.Answered+seconds(rules.OverlapS) {
			rep.breach(Answer, a.At, "%s came to %s %v after its final answer", a.ID, a.Node, a.At-t.Answered)
		}
	}
	if rules.Attempts > 0 {
		if len(list) >= rules.Attempts {
			rep.saw(Limit, "tries with as many attempts as are allowed")
		}
		if len(list) > rules.Attempts {
			rep.breach(Limit, list[rules.Attempts].At, "%s came to nodes %d times, %d are allowed", list[0].ID, len(list), rules.Attempts)
		}
	}
	if c.Idempotency == policy.NonIdempotent && began > 1 {
		rep.breach(Twice, list[0].At, "%s ran %d times", list[0].ID, began)
	}
	if c.Idempotency == policy.KeyedIdempotent && effects > 1 {
		rep.breach(Twice, list[0].At, "%s had %d effects", list[0].ID, effects)
	}
}

// chance is a budget of work with the slack that the operators' standing test gives: of N requests of mean work, 2 x root of N + 2 more, of fewer than
// 30 requests 3 x root of N + 3.
func chance(budget, mean float64) float64 {
	n := budget / max(mean, 1e-9)
	more := 2*math.Sqrt(n) + 2
	if n < 30 {
		more = 3*math.Sqrt(n) + 3
	}
	return (n + more) * mean
}

// cold holds what was sent to each node that had just started against its budget, all senders together.
func (rep *Report) cold(h *History, rules Rules) {
	if rules.FallMultiple <= 0 {
		return
	}
	lives := make([][]*Attempt, len(h.Lives))
	for _, a := range h.Attempts {
		if l := h.Lives[a.Life]; (a.At - l.Started).Seconds() < l.ColdS {
			lives[a.Life] = append(lives[a.Life], a)
			rep.saw(Cold, "sends to cold nodes")
		}
	}
	span := seconds(rules.FallS)
	for n, list := range lives {
		l, from, sum, mean := h.Lives[n], 0, 0.0, 0.0
		for _, a := range list {
			mean += a.Work / float64(len(list))
		}
		for _, a := range list {
			sum += a.Work
			for list[from].At < a.At-span {
				sum -= list[from].Work
				from++
			}
			share := l.ColdFrom + (1-l.ColdFrom)*(a.At-l.Started).Seconds()/l.ColdS
			budget := rules.FallMultiple * l.Capacity * share * rules.FallS
			allowed := budget * (1 + rules.ColdSlack)
			if rules.ColdChance {
				allowed = chance(budget, mean)
			}
			rep.near("budget of a cold node", sum/budget)
			if sum > allowed {
				rep.breach(Cold, a.At, "%s, %v old, was sent %.2f s of work within %v, %.2f at most", l.Node, (a.At - l.Started).Round(time.Millisecond), sum, span, budget)
				break
			}
		}
	}
}

// caps measures how many attempts accounts had out at once, against their plans' caps.
func (rep *Report) caps(h *History, rules Rules, plans map[string]policy.Plan) {
	type edge struct {
		at time.Duration
		by int
	}
	edges := map[string][]edge{}
	plan := map[string]policy.Plan{}
	for _, a := range h.Attempts {
		if p := plans[a.Plan]; p.MaxConcurrency > 0 {
			end := h.end(a)
			if end == 0 {
				end = h.Now()
			}
			plan[a.Account] = p
			edges[a.Account] = append(edges[a.Account], edge{a.At, 1}, edge{end, -1})
		}
	}
	one := len(rules.Homes) > 0 // of one level: by the error budget
	asks, around := map[string][]pass{}, hashring.Ring{}
	if one {
		around = hashring.New(rules.Gateways, hashring.PointsPerGateway(rules.Gateways))
		for _, t := range h.Tries {
			asks[t.Account] = append(asks[t.Account], pass{t.Sent.Seconds(), 1})
		}
	}
	for account, list := range edges {
		sort.Slice(list, func(i, j int) bool {
			return list[i].at < list[j].at || list[i].at == list[j].at && list[i].by < list[j].by
		})
		out, most, at, broken := 0, 0, time.Duration(0), false
		cap, before := plan[account].MaxConcurrency, time.Duration(0)
		a, troubles := errorbound.Account{}, []errorbound.Fault(nil)
		if one {
			a = errorbound.Account{Gateways: rules.Homes[account].Entries, MaxConcurrent: cap, RequestRate: most1(asks[account])}
			troubles = troublesOf(h, rules, around, account)
		}
		for _, e := range list {
			rep.PlaceS += float64(min(out, cap)) * (e.at - before).Seconds()
			rep.BeyondS += float64(max(out-cap, 0)) * (e.at - before).Seconds()
			before = e.at
			if out += e.by; out > most {
				most, at = out, e.at
			}
			if one && out > cap && e.by > 0 {
				allowed, met := errorbound.SlotExcessWithin(a, troubles, e.at.Seconds())
				rep.near("budget of places", float64(out-cap)/max(allowed, 1))
				if float64(out-cap) > max(allowed, 1) && !broken {
					broken = true
					rep.breach(Caps, e.at, "%s had %d attempts out, its cap is %d and %.1f beyond are allowed (%v)", account, out, cap, allowed, met)
				}
			}
		}
		rep.near("cap on open attempts", float64(most)/float64(cap))
		if most >= cap {
			rep.saw(Caps, "accounts at their cap")
		}
		if rules.CapX > 0 && float64(most) > rules.CapX*float64(cap) {
			rep.breach(Caps, at, "%s had %d attempts out, its cap is %d", account, most, cap)
		}
	}
}

// asked counts what clients asked for beyond quotas and ceilings: the occasions to go beyond them.
func (rep *Report) asked(h *History, plans map[string]policy.Plan) {
	type stores struct{ quota, ceiling *bucket }
	accounts := map[string]*stores{}
	for _, t := range h.Tries { // in the order of their sending, nearly
		p := plans[t.Plan]
		s := accounts[t.Account]
		if s == nil {
			s = &stores{newBucket(p.Rate, p.Burst), newBucket(p.HardLimitRate, p.HardLimitBurst)}
			accounts[t.Account] = s
		}
		for _, x := range []struct {
			b    *bucket
			rule string
		}{{s.quota, Quotas}, {s.ceiling, Ceilings}} {
			if x.b.rate <= 0 {
				continue
			}
			if x.b.to(t.Sent); x.b.room < t.Units {
				rep.saw(x.rule, "tries asked beyond")
			} else {
				x.b.room -= t.Units
			}
		}
	}
}

// drains looks for what came to a node too long after the forwarder was told that it drains or is gone.
func (rep *Report) drains(h *History, rules Rules, tries map[string]*Try) {
	type key struct{ party, node string }
	told := map[key][]Told{}
	back := map[string][]time.Duration{} // when a party came back from being killed, with nothing but its last list
	for _, o := range append(slices.Clone(h.Outages), h.Restarts...) {
		back[Party(o.Forwarder)] = append(back[Party(o.Forwarder)], o.To)
	}
	for _, t := range h.Told {
		k := key{t.Party, t.Node}
		told[k] = append(told[k], t)
	}
	sentTo := map[key][]time.Duration{}
	for _, a := range h.Attempts {
		t := tries[a.ID+"/"+a.Account]
		if t == nil {
			continue
		}
		sentTo[key{Party(t.Forwarder), a.Node}] = append(sentTo[key{Party(t.Forwarder), a.Node}], a.At)
		last := Told{State: "in_service"}
		for _, x := range told[key{Party(t.Forwarder), a.Node}] {
			if x.At < a.At && !slices.ContainsFunc(back[x.Party], func(at time.Duration) bool { return x.At < at && at < a.At }) {
				last = x
			}
		}
		if grace := seconds(rules.DrainS) + 50*time.Millisecond; last.State != "in_service" && a.At > h.binds(t.Forwarder, last.At)+grace {
			rep.breach(Drains, a.At, "%s came to %s %v after forwarder %d was told %q", a.ID, a.Node, a.At-last.At, t.Forwarder, last.State)
		}
	}
	for _, t := range h.Told {
		if t.State == "in_service" {
			continue
		}
		if slices.ContainsFunc(sentTo[key{t.Party, t.Node}], func(at time.Duration) bool { return at < t.At && at > t.At-time.Second }) {
			rep.saw(Drains, "told "+t.State+" with work in the second before")
		}
	}
}

// newsBinds is for how long after a replacement of a program news need not hold for both of its processes, one of which may
// have been told alone: the platform's own figure.
const newsBinds = 2 * time.Second

// binds is from when on a forwarder is held to what it was told.
func (h *History) binds(forwarder int, told time.Duration) time.Duration {
	from := told
	for _, o := range h.Replaced {
		if o.Forwarder == forwarder && told >= o.From && told < o.From+newsBinds {
			from = max(from, o.From+newsBinds)
		}
	}
	return from
}

// operators judges nodes held by hand: neither discovery nor a new process of the ingress lets anything through to one.
func (rep *Report) operators(h *History, rules Rules, tries map[string]*Try) {
	sent := map[Hold][]*Attempt{} // by party and node
	for _, a := range h.Attempts {
		if t := tries[a.ID+"/"+a.Account]; t != nil {
			k := Hold{Party: Party(t.Forwarder), Node: a.Node}
			sent[k] = append(sent[k], a)
		}
	}
	grace := seconds(rules.DrainS) + 50*time.Millisecond
	for _, x := range h.HeldNodes {
		before := false
		for _, a := range sent[Hold{Party: x.Party, Node: x.Node}] {
			before = before || a.At < x.From && a.At > x.From-time.Second
			if a.At > x.From+grace && (x.To == 0 || a.At < x.To) {
				rep.breach(Held, a.At, "%s came to %s %v after operators took it out at %s", a.ID, a.Node, a.At-x.From, x.Party)
			}
		}
		if before {
			rep.saw(Held, "held with work in the second before")
		}
	}
	for _, o := range h.Replaced {
		for _, t := range h.Tries {
			if t.Forwarder == o.Forwarder && t.Sent < o.To && t.Answered > o.From {
				rep.saw(Replaced, "tries under way while their program was replaced")
			}
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
		if seen[a.ID+"/"+a.Account] {
			continue
		}
		seen[a.ID+"/"+a.Account] = true
		x := accounts[a.Account]
		if x == nil {
			p := plans[a.Plan]
			x = &account{plan: p, quota: newBucket(p.Rate, p.Burst), ceiling: newBucket(p.HardLimitRate, p.HardLimitBurst),
				store: newBucket(p.Rate, p.Burst)}
			accounts[a.Account] = x
		}
		if x.plan.Rate > 0 {
			x.quota.to(a.At)
			x.quota.room -= a.Units
			if -x.quota.room > x.worst+1e-6 {
				x.worst, x.at = -x.quota.room, a.At
			}
			rep.near("quota", (x.plan.Burst-x.quota.room)/x.plan.Burst)
			if slack := rules.Quota + rules.QuotaS*x.plan.Rate; rules.Quota > 0 && x.worst > slack && !x.over {
				x.over = true
				rep.breach(Quotas, a.At, "%s is %.1f units over its quota, slack %.1f", a.Account, x.worst, slack)
			}
		}
		if x.store.to(a.At); x.plan.Rate == 0 || x.store.room >= a.Units {
			inside[a.ID+"/"+a.Account] = true
			x.store.room -= a.Units
		}
		if x.plan.HardLimitRate > 0 {
			x.ceiling.to(a.At)
			x.ceiling.room -= a.Units
			slack := max(x.plan.HardLimitSlack, 0.1*x.plan.HardLimitBurst, rules.SlackUnit) + rules.CeilingS*x.plan.HardLimitRate
			rep.near("ceiling and slack", (x.plan.HardLimitBurst-x.ceiling.room)/(x.plan.HardLimitBurst+slack))
			if x.ceiling.room < -slack && !x.broken {
				x.broken = true
				rep.breach(Ceilings, a.At, "%s is %.1f units over its ceiling, slack %.1f", a.Account, -x.ceiling.room, slack)
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
		if t.Result == Served && inside[t.key()] && t.Answered <= sent[t.First]+seconds(classes[t.Class].LatencyObjectiveS) {
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
	sort.SliceStable(firsts, func(i, j int) bool { return firsts[i].Sent < firsts[j].Sent })
	for _, t := range firsts {
		p := plans[t.Plan]
		b := buckets[t.Account]
		if b == nil {
			b = newBucket(p.Rate, p.Burst)
			buckets[t.Account] = b
		}
		b.to(t.Sent)
		worth := classes[t.Class].PriorityWeight * p.Weight * t.Units
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
	classSums := map[string]*sum{}
	for _, t := range firsts {
		if over[t.Account] {
			continue
		}
		if classSums[t.Class] == nil {
			classSums[t.Class] = &sum{}
		}
		classSums[t.Class].asked += t.Units
		if inTime[t.ID] {
			classSums[t.Class].got += t.Units
		}
	}
	var all sum // of each account no more counts than it may have
	byPlan := map[string]*sum{}
	for _, name := range slices.Sorted(maps.Keys(byAccount)) { // in one order: sums of fractions hang on it
		s := byAccount[name]
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
	for name, s := range classSums {
		rep.ByClass[name] = rate(*s)
	}
	for name, s := range byPlan {
		rep.ByPlan[name] = rate(*s)
	}
	for w := range int(h.Now().Seconds()) + 1 {
		var of sum
		for _, name := range slices.Sorted(maps.Keys(windows[w])) {
			s := windows[w][name]
			if !over[name] {
				of.asked += s.asked
				of.got += s.got
			}
		}
		rep.Windows = append(rep.Windows, rate(of))
	}
}
