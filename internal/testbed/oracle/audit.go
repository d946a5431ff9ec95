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
	RuleNoRequestLost      = "no request lost"
	RuleOneAnswer          = "one answer"
	RuleAnswerOrder        = "answers in order"
	RuleOneOpenAttempt     = "one attempt out"
	RuleAttemptLimit       = "attempts limited"
	RuleNoDuplicateEffect  = "no effect twice"
	RuleDrain              = "drains kept"
	RuleCordon             = "nodes that operators hold left alone"
	RuleReplacement        = "nothing lost when a program is replaced" // counts occasions; what is lost breaks the other rules
	RuleSlowStart          = "cold nodes stand"
	RuleQuota              = "quotas kept"
	RuleQuotaUsable        = "quotas can be used" // no more is refused for the count's sake than its error budget has
	RuleMaxConcurrency     = "caps kept"
	RuleHardLimit          = "ceilings kept"
	RuleFreshMembership    = "none on a stale word"
	RuleViewsAgree         = "views equal the truth"
	RuleLoadShedding       = "overload shed as one" // by what is stated of a fleet that does
	RuleDisconnectedClient = "nothing sent for who left"
	RuleDrainEnd           = "a drained ingress lets go of its clients"
	RuleIngressSelfCheck   = "no broken rule counted by an ingress"
)

// RuleNames are all rules, in the order of a report.
var RuleNames = []string{RuleNoRequestLost, RuleOneAnswer, RuleAnswerOrder, RuleOneOpenAttempt, RuleAttemptLimit, RuleNoDuplicateEffect, RuleDrain, RuleSlowStart, RuleQuota, RuleQuotaUsable, RuleMaxConcurrency, RuleHardLimit, RuleFreshMembership, RuleViewsAgree, RuleCordon, RuleReplacement, RuleLoadShedding, RuleDisconnectedClient, RuleDrainEnd, RuleIngressSelfCheck}

// Config are the figures by which an Audit judges.
type Config struct {
	Classes           []policy.Class
	Plans             []policy.Plan
	DrainGraceS       float64                 `json:"DrainS"`    // grace after a drain was told; the network's 50 ms come on top
	AnswerGraceS      float64                 `json:"AnswerS"`   // time past a try's deadline in which its answer still counts
	LateRejectionS    float64                 `json:"HeldS"`     // past its deadline, a refusal or failure of a try with nothing under way was held back; 0: not judged
	MaxAttempts       int                     `json:"Attempts"`  // of a try, that may reach nodes; 0: not judged
	MaxOverlapS       float64                 `json:"OverlapS"`  // for which two attempts may seem to overlap, since nodes notice an end late
	HardLimitSlackS   float64                 `json:"CeilingS"`  // of a ceiling's rate, that its slack is wider by
	LargestRequest    float64                 `json:"SlackUnit"` // the largest request
	QuotaSlack        float64                 `json:"Quota"`     // units beyond a quota that are a breach; 0: none are
	QuotaSlackS       float64                 `json:"QuotaS"`    // of a quota\'s rate, that its slack is wider by: what is counted waits in the module for a server
	Homes             map[string]GatewayRange // of accounts, whose shared count is judged by the error budget of one level; none: it is not
	Gateways          int                     // that Homes speak of
	ConcurrencyFactor float64                 `json:"CapX"`         // times a cap on open attempts that may be out; 0: no bound is stated
	ClockRate         float64                 `json:"Drift"`        // what the fastest of the clocks makes of a second; 0 stands for 1
	SlowStartFactor   float64                 `json:"FallMultiple"` // of the rule on cold nodes
	SlowStartWindowS  float64                 `json:"FallS"`        // of the rule on cold nodes
	MembershipTTLS    float64                 `json:"StaleS"`       // for which a word of membership counts as fresh; 0: not judged
	SlowStartChance   bool                    `json:"ColdChance"`   // the budget of a cold node has the operators' own slack for chance, in requests, in place of SlowStartSlack
	SlowStartSlack    float64                 `json:"ColdSlack"`    // share of the budget that chance and the network's delays may add
	MinOccasions      map[string]int          `json:"Floors"`       // by rule: occasions under which a run shows nothing
	Overload          bool                    // whether a Load is worked out
	LoadShedding      *LoadSheddingBounds     `json:"Shed"` // what a fleet that sheds as one keeps to; nil: not judged
	Peak              Peak                    // when more was asked for than nodes can do; none: not known
	MaxLateness       time.Duration           `json:"LateMost"` // lateness of the laboratory from which on a run is void; 0: no bound
}

// Violation is one break of a rule.
type Violation struct {
	Rule, Detail string
	At           time.Duration
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
	Violations                        []Violation
	ViolationCounts                   map[string]int     // of breaches, by rule
	Occasions                         map[string]int     // occasions, by rule: times at which it could have been broken
	OccasionDetails                   map[string]int     // the same in detail
	Utilization                       map[string]float64 // how near a run came to what a rule allows, 1: at it
	Void                              string             // why the run can't be judged, "" if it can
	Requests                          int
	Results                           map[Result]int
	Attempts                          int
	Load                              *Load       // nil: nothing was asked for inside quotas
	Overshoots                        []Overshoot // of accounts that went beyond, the worst first
	Service                           float64     // in-quota worth answered in time over worth asked for inside the quotas
	ServiceBySecond                   []float64   // service by second of asking, of accounts that stay inside their quotas; -1: nothing asked
	ServiceByPlan                     map[string]float64
	ServiceByClass                    map[string]float64
	Retries                           map[string]int // further attempts, by class and by how the one before ended
	IdealUnits                        float64        // units that counts without fault would have let in, of accounts whose count is judged
	QuotaExcess                       map[int]Margin // the worst of any account, by the length of time in seconds: let in beyond rate and burst
	QuotaShortfall                    map[int]Margin // and withheld
	WithheldUnits                     float64        // and of these, that were not let in
	OverQuotaCost                     OverQuotaCost  // of what went out beyond rates
	Handshakes                        int            // connections to nodes that were opened, where they are counted
	SlotS, ExcessSlotS                float64        // seconds of attempts out of accounts with a cap: within it, and beyond
	PeerMessageKinds                  map[string]int // of messages between ingresses, where they are counted
	PeerMessages, DroppedPeerMessages int            // between ingresses, where they are counted; of these, lost since an ingress takes in no more
	Reasons                           map[int]int    // refusals by the module's why.Reason, where it was told
	minOccasions                      map[string]int
}

// Verdict is nil for a run that shows that the rules hold: no breach, and occasions enough.
func (r *Report) Verdict() error {
	if r.Void != "" {
		return fmt.Errorf("void: %s", r.Void)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d breaches, first of %q: %s", r.violationTotal(), r.Violations[0].Rule, r.Violations[0].Detail)
	}
	for _, rule := range RuleNames {
		if r.Occasions[rule] < r.minOccasions[rule] {
			return fmt.Errorf("%q was not seen: %d occasions, %d wanted", rule, r.Occasions[rule], r.minOccasions[rule])
		}
	}
	return nil
}

func (r *Report) violationTotal() (n int) {
	for _, c := range r.ViolationCounts {
		n += c
	}
	return n
}

// occasion counts an occasion to break a rule.
func (r *Report) occasion(rule, what string) {
	r.Occasions[rule]++
	r.OccasionDetails[rule+": "+what]++
}

func (r *Report) utilization(what string, x float64) {
	r.Utilization[what] = max(r.Utilization[what], x)
}

const maxViolations = 50

func (r *Report) violation(rule string, at time.Duration, format string, args ...any) {
	r.ViolationCounts[rule]++
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, Violation{rule, fmt.Sprintf(format, args...), at})
	}
}

func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bucket is a store of units that starts full.
type bucket struct {
	rate, burst, available float64
	at                     time.Duration
}

func newBucket(rate, most float64) *bucket { return &bucket{rate: rate, burst: most, available: most} }

func (b *bucket) advance(at time.Duration) {
	b.available = min(b.burst, b.available+b.rate*(at-b.at).Seconds())
	b.at = at
}

// Check judges a history.
func Check(h *History, cfg Config) *Report {
	defer h.Lock()()
	rep := &Report{ViolationCounts: map[string]int{}, Occasions: map[string]int{}, OccasionDetails: map[string]int{}, Utilization: map[string]float64{},
		Results: map[Result]int{}, ServiceByPlan: map[string]float64{}, ServiceByClass: map[string]float64{}, Retries: map[string]int{}, minOccasions: cfg.MinOccasions}
	if cfg.MaxLateness > 0 && h.MaxLateness > cfg.MaxLateness {
		rep.Void = fmt.Sprintf("the laboratory was %v late, %v at most", h.MaxLateness.Round(time.Millisecond), cfg.MaxLateness)
	}
	classes, plans := map[string]policy.Class{}, map[string]policy.Plan{}
	for _, c := range cfg.Classes {
		classes[c.Name] = c
	}
	for _, plan := range cfg.Plans {
		if cfg.ClockRate > 0 {
			plan.Rate, plan.HardLimitRate = plan.Rate*cfg.ClockRate, plan.HardLimitRate*cfg.ClockRate
		}
		plans[plan.Name] = plan
	}
	byID := map[string][]*Attempt{}
	for _, attempt := range h.Attempts {
		key := attempt.ID + "/" + attempt.Account
		byID[key] = append(byID[key], attempt)
	}
	requests := map[string]*Request{}
	for _, request := range h.Requests {
		requests[request.key()] = request
	}
	rep.Requests, rep.Attempts = len(h.Requests), len(h.Attempts)
	for key, list := range byID {
		if requests[key] == nil {
			rep.Void = fmt.Sprintf("%s came to %s, which no client here has sent", list[0].ID, list[0].Node)
		}
	}
	rep.checkAnswers(h, cfg, classes, byID)
	rep.checkDrainEnds(h)
	rep.checkSelfReports(h)
	for _, key := range slices.Sorted(maps.Keys(byID)) {
		rep.checkAttempts(h, cfg, classes[byID[key][0].Class], byID[key], requests[key])
	}
	rep.checkDrains(h, cfg, requests)
	rep.checkCordons(h, cfg, requests)
	rep.checkMembership(h, cfg)
	rep.checkSlowStart(h, cfg)
	rep.checkMaxConcurrency(h, cfg, plans)
	inside := rep.checkQuotas(h, cfg, plans)
	rep.checkSharedCounts(h, cfg)
	rep.checkOverQuotaCost(h, cfg, classes, plans)
	rep.countDemand(h, plans)
	rep.measureService(h, classes, plans, inside)
	if cfg.Overload {
		rep.measureLoad(h, cfg, classes, plans)
	}
	sort.SliceStable(rep.Violations, func(i, j int) bool { return rep.Violations[i].At < rep.Violations[j].At })
	return rep
}

// checkAnswers judges what clients got: each one answer, in time, of its own; and no refusal of what may have run.
func (r *Report) checkAnswers(h *History, cfg Config, classes map[string]policy.Class, byID map[string][]*Attempt) {
	now := h.Now()
	out := func(request *Request, until time.Duration) bool {
		return slices.ContainsFunc(h.Outages, func(o Outage) bool {
			return o.Forwarder == request.Forwarder && o.From <= until && o.To >= request.SentAt
		})
	}
	for _, request := range h.Requests {
		r.Results[request.Result]++
		due := request.Deadline + duration(cfg.AnswerGraceS)
		attempts := byID[request.key()]
		if slices.ContainsFunc(attempts, func(attempt *Attempt) bool { return attempt.Outcome != "served" }) {
			r.occasion(RuleNoRequestLost, "tries that met trouble")
		}
		if len(attempts) > 1 {
			r.occasion(RuleOneAnswer, "tries with several attempts")
		}
		if slices.ContainsFunc(attempts, func(attempt *Attempt) bool { return attempt.Outcome == "copy" || attempt.Outcome == "late" }) {
			r.occasion(RuleOneAnswer, "late answers and copies")
		}
		r.checkDisconnected(request, attempts, cfg)
		if request.BatchIndex > 1 && request.Answers > 0 {
			r.occasion(RuleAnswerOrder, "answers behind others on a connection")
		}
		switch {
		case request.Answers > 1:
			r.violation(RuleOneAnswer, request.AnsweredAt, "%s has %d answers", request.ID, request.Answers)
		case request.Result == ForeignReply && request.BatchIndex > 0:
			r.violation(RuleAnswerOrder, request.AnsweredAt, "%s, number %d of its connection, was served with another's value", request.ID, request.BatchIndex)
		case request.Result == ForeignReply:
			r.violation(RuleOneAnswer, request.AnsweredAt, "%s was served with another's value", request.ID)
		case request.Result == Disconnected, request.NotAccepted:
		case (request.Result == Pending || request.Result == ConnectionLost) && due < now && !out(request, due):
			r.violation(RuleNoRequestLost, request.SentAt, "%s at forwarder %d has no answer", request.ID, request.Forwarder)
		case (request.Result == Rejected || request.Result == Failed) && request.BatchIndex < 2 && cfg.LateRejectionS > 0 && request.AnsweredAt > request.Deadline+duration(cfg.LateRejectionS) &&
			!out(request, due) && !slices.ContainsFunc(attempts, func(attempt *Attempt) bool {
			end := h.endOf(attempt)
			return end == 0 || end > request.AnsweredAt-100*time.Millisecond
		}):
			r.violation(RuleNoRequestLost, request.AnsweredAt, "%s got its final answer at its deadline, with nothing under way", request.ID)
		case request.Answers == 1 && request.AnsweredAt > due && request.BatchIndex < 2 && !out(request, due): // behind others it may have to wait for them
			r.violation(RuleNoRequestLost, request.AnsweredAt, "%s was answered %v late", request.ID, request.AnsweredAt-request.Deadline)
		}
		if request.Result == Served && !slices.ContainsFunc(attempts, func(attempt *Attempt) bool { return attempt.AnsweredAt > 0 }) {
			r.violation(RuleOneAnswer, request.AnsweredAt, "%s was served though no node has", request.ID)
		}
		if len(attempts) == 0 || classes[request.Class].Idempotency != policy.NonIdempotent || request.Result == Served || request.Result == Disconnected {
			continue
		}
		if mayHave := slices.IndexFunc(attempts, (*Attempt).MayHaveRun); mayHave >= 0 {
			r.occasion(RuleNoDuplicateEffect, "final answers of unsafe tries that may have run, unserved")
			if request.Result == Rejected {
				r.violation(RuleNoDuplicateEffect, request.AnsweredAt, "%s was refused though it may have run: %s at %s", request.ID, attempts[mayHave].Outcome, attempts[mayHave].Node)
			}
		}
	}
}

// disconnectGraceS is how long after its client has left a request that waits may still be sent on.
const disconnectGraceS = 0.3

// checkDisconnected judges what is sent for a client that has left while its request waited.
func (r *Report) checkDisconnected(request *Request, attempts []*Attempt, cfg Config) {
	if request.DisconnectedAt == 0 {
		return
	}
	if !slices.ContainsFunc(attempts, func(attempt *Attempt) bool { return attempt.At <= request.DisconnectedAt }) {
		r.occasion(RuleDisconnectedClient, "clients that left while their request waited")
	}
	for _, attempt := range attempts {
		if attempt.At > request.DisconnectedAt+duration(disconnectGraceS+cfg.MaxOverlapS) {
			r.violation(RuleDisconnectedClient, attempt.At, "%s came to %s %v after its client had left", request.ID, attempt.Node, attempt.At-request.DisconnectedAt)
		}
	}
}

// endOf is when an attempt was over for whoever sent it, by the node or by the end of its connection; 0: it never was.
func (h *History) endOf(attempt *Attempt) time.Duration {
	end := attempt.End
	if attempt.AnsweredAt > 0 && attempt.AnsweredAt < end { // answered whole; what the node does after that is its own matter
		end = attempt.AnsweredAt
	}
	for _, at := range h.ConnectionEnds[attempt.Conn] {
		if at >= attempt.At {
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
func (h *History) givenUpBefore(attempt *Attempt, at time.Duration) bool {
	ends := h.ConnectionEnds[attempt.Conn]
	return len(ends) > 0 && ends[0] < attempt.At && ends[0] <= at
}

// checkAttempts judges the attempts of one try, in the order of their coming.
func (r *Report) checkAttempts(h *History, cfg Config, c policy.Class, list []*Attempt, request *Request) {
	effects, began := 0, 0
	for i, attempt := range list {
		if attempt.Started {
			if began++; !attempt.KnownKey {
				effects++
			}
		}
		if attempt.MayHaveRun() && attempt.Outcome != "served" && c.Idempotency != policy.Idempotent && (request == nil || request.DisconnectedAt == 0) {
			r.occasion(RuleNoDuplicateEffect, c.Name+" that may have run, unserved")
		}
		if i == 0 {
			continue
		}
		before := list[i-1]
		r.occasion(RuleOneOpenAttempt, "further attempts")
		r.Retries[c.Name+" after "+before.Outcome]++
		if end := h.endOf(before); (end == 0 || end > attempt.At+duration(cfg.MaxOverlapS)) && !h.givenUpBefore(attempt, before.At) {
			r.violation(RuleOneOpenAttempt, attempt.At, "%s came to %s while out at %s (%s, from %.3f to %.3f s)", attempt.ID, attempt.Node, before.Node, before.Outcome, before.At.Seconds(), h.endOf(before).Seconds())
		}
		if c.Idempotency == policy.NonIdempotent && before.MayHaveRun() {
			r.violation(RuleNoDuplicateEffect, attempt.At, "%s came to %s though it may have run: %s at %s", attempt.ID, attempt.Node, before.Outcome, before.Node)
		}
		if request != nil && request.AnsweredAt > 0 && request.Result != Disconnected && attempt.At > request.AnsweredAt+duration(cfg.MaxOverlapS) {
			r.violation(RuleOneAnswer, attempt.At, "%s came to %s %v after its final answer", attempt.ID, attempt.Node, attempt.At-request.AnsweredAt)
		}
	}
	if cfg.MaxAttempts > 0 {
		if len(list) >= cfg.MaxAttempts {
			r.occasion(RuleAttemptLimit, "tries with as many attempts as are allowed")
		}
		if len(list) > cfg.MaxAttempts {
			r.violation(RuleAttemptLimit, list[cfg.MaxAttempts].At, "%s came to nodes %d times, %d are allowed", list[0].ID, len(list), cfg.MaxAttempts)
		}
	}
	if c.Idempotency == policy.NonIdempotent && began > 1 {
		r.violation(RuleNoDuplicateEffect, list[0].At, "%s ran %d times", list[0].ID, began)
	}
	if c.Idempotency == policy.KeyedIdempotent && effects > 1 {
		r.violation(RuleNoDuplicateEffect, list[0].At, "%s had %d effects", list[0].ID, effects)
	}
}

// withChanceSlack is a budget of work with the slack that the operators' standing test gives: of N requests of mean work, 2 x root of N + 2 more, of fewer than
// 30 requests 3 x root of N + 3.
func withChanceSlack(budget, mean float64) float64 {
	n := budget / max(mean, 1e-9)
	more := 2*math.Sqrt(n) + 2
	if n < 30 {
		more = 3*math.Sqrt(n) + 3
	}
	return (n + more) * mean
}

// checkSlowStart holds what was sent to each node that had just started against its budget, all senders together.
func (r *Report) checkSlowStart(h *History, cfg Config) {
	if cfg.SlowStartFactor <= 0 {
		return
	}
	lives := make([][]*Attempt, len(h.Incarnations))
	for _, attempt := range h.Attempts {
		if l := h.Incarnations[attempt.Incarnation]; (attempt.At - l.StartedAt).Seconds() < l.WarmUpS {
			lives[attempt.Incarnation] = append(lives[attempt.Incarnation], attempt)
			r.occasion(RuleSlowStart, "sends to cold nodes")
		}
	}
	span := duration(cfg.SlowStartWindowS)
	for n, list := range lives {
		l, from, sum, mean := h.Incarnations[n], 0, 0.0, 0.0
		for _, attempt := range list {
			mean += attempt.Work / float64(len(list))
		}
		for _, attempt := range list {
			sum += attempt.Work
			for list[from].At < attempt.At-span {
				sum -= list[from].Work
				from++
			}
			share := l.WarmUpFrom + (1-l.WarmUpFrom)*(attempt.At-l.StartedAt).Seconds()/l.WarmUpS
			budget := cfg.SlowStartFactor * l.Capacity * share * cfg.SlowStartWindowS
			allowed := budget * (1 + cfg.SlowStartSlack)
			if cfg.SlowStartChance {
				allowed = withChanceSlack(budget, mean)
			}
			r.utilization("budget of a cold node", sum/budget)
			if sum > allowed {
				r.violation(RuleSlowStart, attempt.At, "%s, %v old, was sent %.2f s of work within %v, %.2f at most", l.Node, (attempt.At - l.StartedAt).Round(time.Millisecond), sum, span, budget)
				break
			}
		}
	}
}

// checkMaxConcurrency measures how many attempts accounts had out at once, against their plans' caps.
func (r *Report) checkMaxConcurrency(h *History, cfg Config, plans map[string]policy.Plan) {
	type edge struct {
		at time.Duration
		by int
	}
	edges := map[string][]edge{}
	planOf := map[string]policy.Plan{}
	for _, attempt := range h.Attempts {
		if plan := plans[attempt.Plan]; plan.MaxConcurrency > 0 {
			end := h.endOf(attempt)
			if end == 0 {
				end = h.Now()
			}
			planOf[attempt.Account] = plan
			edges[attempt.Account] = append(edges[attempt.Account], edge{attempt.At, 1}, edge{end, -1})
		}
	}
	one := len(cfg.Homes) > 0 // of one level: by the error budget
	asks, around := map[string][]sample{}, hashring.Ring{}
	if one {
		around = hashring.New(cfg.Gateways, hashring.PointsPerGateway(cfg.Gateways))
		for _, request := range h.Requests {
			asks[request.Account] = append(asks[request.Account], sample{request.SentAt.Seconds(), 1})
		}
	}
	for account, list := range edges {
		sort.Slice(list, func(i, j int) bool {
			return list[i].at < list[j].at || list[i].at == list[j].at && list[i].by < list[j].by
		})
		out, most, at, broken := 0, 0, time.Duration(0), false
		cap, before := planOf[account].MaxConcurrency, time.Duration(0)
		a, faults := errorbound.Account{}, []errorbound.Fault(nil)
		if one {
			a = errorbound.Account{Gateways: cfg.Homes[account].Count, MaxConcurrent: cap, RequestRate: peakRate(asks[account])}
			faults = faultsOf(h, cfg, around, account)
		}
		for _, e := range list {
			r.SlotS += float64(min(out, cap)) * (e.at - before).Seconds()
			r.ExcessSlotS += float64(max(out-cap, 0)) * (e.at - before).Seconds()
			before = e.at
			if out += e.by; out > most {
				most, at = out, e.at
			}
			if one && out > cap && e.by > 0 {
				allowed, met := errorbound.SlotExcessWithin(a, faults, e.at.Seconds())
				r.utilization("budget of places", float64(out-cap)/max(allowed, 1))
				if float64(out-cap) > max(allowed, 1) && !broken {
					broken = true
					r.violation(RuleMaxConcurrency, e.at, "%s had %d attempts out, its cap is %d and %.1f beyond are allowed (%v)", account, out, cap, allowed, met)
				}
			}
		}
		r.utilization("cap on open attempts", float64(most)/float64(cap))
		if most >= cap {
			r.occasion(RuleMaxConcurrency, "accounts at their cap")
		}
		if cfg.ConcurrencyFactor > 0 && float64(most) > cfg.ConcurrencyFactor*float64(cap) {
			r.violation(RuleMaxConcurrency, at, "%s had %d attempts out, its cap is %d", account, most, cap)
		}
	}
}

// countDemand counts what clients asked for beyond quotas and ceilings: the occasions to go beyond them.
func (r *Report) countDemand(h *History, plans map[string]policy.Plan) {
	type stores struct{ quota, ceiling *bucket }
	accounts := map[string]*stores{}
	for _, request := range h.Requests { // in the order of their sending, nearly
		plan := plans[request.Plan]
		s := accounts[request.Account]
		if s == nil {
			s = &stores{newBucket(plan.Rate, plan.Burst), newBucket(plan.HardLimitRate, plan.HardLimitBurst)}
			accounts[request.Account] = s
		}
		for _, x := range []struct {
			b    *bucket
			rule string
		}{{s.quota, RuleQuota}, {s.ceiling, RuleHardLimit}} {
			if x.b.rate <= 0 {
				continue
			}
			if x.b.advance(request.SentAt); x.b.available < request.Units {
				r.occasion(x.rule, "tries asked beyond")
			} else {
				x.b.available -= request.Units
			}
		}
	}
}

// checkDrains looks for what came to a node too long after the forwarder was told that it drains or is gone.
func (r *Report) checkDrains(h *History, cfg Config, requests map[string]*Request) {
	type key struct{ party, node string }
	told := map[key][]Notice{}
	back := map[string][]time.Duration{} // when a party came back from being killed, with nothing but its last list
	for _, o := range append(slices.Clone(h.Outages), h.Restarts...) {
		back[PartyName(o.Forwarder)] = append(back[PartyName(o.Forwarder)], o.To)
	}
	for _, t := range h.Notices {
		k := key{t.Party, t.Node}
		told[k] = append(told[k], t)
	}
	sentTo := map[key][]time.Duration{}
	for _, attempt := range h.Attempts {
		request := requests[attempt.ID+"/"+attempt.Account]
		if request == nil {
			continue
		}
		sentTo[key{PartyName(request.Forwarder), attempt.Node}] = append(sentTo[key{PartyName(request.Forwarder), attempt.Node}], attempt.At)
		last := Notice{State: "in_service"}
		for _, x := range told[key{PartyName(request.Forwarder), attempt.Node}] {
			if x.At < attempt.At && !slices.ContainsFunc(back[x.Party], func(at time.Duration) bool { return x.At < at && at < attempt.At }) {
				last = x
			}
		}
		if grace := duration(cfg.DrainGraceS) + 50*time.Millisecond; last.State != "in_service" && attempt.At > h.bindingFrom(request.Forwarder, last.At)+grace {
			r.violation(RuleDrain, attempt.At, "%s came to %s %v after forwarder %d was told %q", attempt.ID, attempt.Node, attempt.At-last.At, request.Forwarder, last.State)
		}
	}
	for _, t := range h.Notices {
		if t.State == "in_service" {
			continue
		}
		if slices.ContainsFunc(sentTo[key{t.Party, t.Node}], func(at time.Duration) bool { return at < t.At && at > t.At-time.Second }) {
			r.occasion(RuleDrain, "told "+t.State+" with work in the second before")
		}
	}
}

// replacementGrace is for how long after a replacement of a program news need not hold for both of its processes, one of which may
// have been told alone: the platform's own figure.
const replacementGrace = 2 * time.Second

// bindingFrom is from when on a forwarder is held to what it was told.
func (h *History) bindingFrom(forwarder int, told time.Duration) time.Duration {
	from := told
	for _, o := range h.Replacements {
		if o.Forwarder == forwarder && told >= o.From && told < o.From+replacementGrace {
			from = max(from, o.From+replacementGrace)
		}
	}
	return from
}

// checkCordons judges nodes held by hand: neither discovery nor a new process of the ingress lets anything through to one.
func (r *Report) checkCordons(h *History, cfg Config, requests map[string]*Request) {
	sent := map[Cordon][]*Attempt{} // by party and node
	for _, attempt := range h.Attempts {
		if request := requests[attempt.ID+"/"+attempt.Account]; request != nil {
			k := Cordon{Party: PartyName(request.Forwarder), Node: attempt.Node}
			sent[k] = append(sent[k], attempt)
		}
	}
	grace := duration(cfg.DrainGraceS) + 50*time.Millisecond
	for _, x := range h.Cordons {
		before := false
		for _, attempt := range sent[Cordon{Party: x.Party, Node: x.Node}] {
			before = before || attempt.At < x.From && attempt.At > x.From-time.Second
			if attempt.At > x.From+grace && (x.To == 0 || attempt.At < x.To) {
				r.violation(RuleCordon, attempt.At, "%s came to %s %v after operators took it out at %s", attempt.ID, attempt.Node, attempt.At-x.From, x.Party)
			}
		}
		if before {
			r.occasion(RuleCordon, "held with work in the second before")
		}
	}
	for _, o := range h.Replacements {
		for _, request := range h.Requests {
			if request.Forwarder == o.Forwarder && request.SentAt < o.To && request.AnsweredAt > o.From {
				r.occasion(RuleReplacement, "tries under way while their program was replaced")
			}
		}
	}
}

// checkQuotas replays what came to nodes, each try once, against each account's buckets. It returns the tries that
// were inside their quotas when they were passed on.
func (r *Report) checkQuotas(h *History, cfg Config, plans map[string]policy.Plan) (inside map[string]bool) {
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
	for _, attempt := range h.Attempts { // in the order of their coming
		if seen[attempt.ID+"/"+attempt.Account] {
			continue
		}
		seen[attempt.ID+"/"+attempt.Account] = true
		x := accounts[attempt.Account]
		if x == nil {
			plan := plans[attempt.Plan]
			x = &account{plan: plan, quota: newBucket(plan.Rate, plan.Burst), ceiling: newBucket(plan.HardLimitRate, plan.HardLimitBurst),
				store: newBucket(plan.Rate, plan.Burst)}
			accounts[attempt.Account] = x
		}
		if x.plan.Rate > 0 {
			x.quota.advance(attempt.At)
			x.quota.available -= attempt.Units
			if -x.quota.available > x.worst+1e-6 {
				x.worst, x.at = -x.quota.available, attempt.At
			}
			r.utilization("quota", (x.plan.Burst-x.quota.available)/x.plan.Burst)
			if slack := cfg.QuotaSlack + cfg.QuotaSlackS*x.plan.Rate; cfg.QuotaSlack > 0 && x.worst > slack && !x.over {
				x.over = true
				r.violation(RuleQuota, attempt.At, "%s is %.1f units over its quota, slack %.1f", attempt.Account, x.worst, slack)
			}
		}
		if x.store.advance(attempt.At); x.plan.Rate == 0 || x.store.available >= attempt.Units {
			inside[attempt.ID+"/"+attempt.Account] = true
			x.store.available -= attempt.Units
		}
		if x.plan.HardLimitRate > 0 {
			x.ceiling.advance(attempt.At)
			x.ceiling.available -= attempt.Units
			slack := max(x.plan.HardLimitSlack, 0.1*x.plan.HardLimitBurst, cfg.LargestRequest) + cfg.HardLimitSlackS*x.plan.HardLimitRate
			r.utilization("ceiling and slack", (x.plan.HardLimitBurst-x.ceiling.available)/(x.plan.HardLimitBurst+slack))
			if x.ceiling.available < -slack && !x.broken {
				x.broken = true
				r.violation(RuleHardLimit, attempt.At, "%s is %.1f units over its ceiling, slack %.1f", attempt.Account, -x.ceiling.available, slack)
			}
		}
	}
	for name, x := range accounts {
		if x.worst > 0 {
			r.Overshoots = append(r.Overshoots, Overshoot{name, x.plan.Name, x.worst, 100 * x.worst / x.plan.Burst, x.at})
		}
	}
	slices.SortFunc(r.Overshoots, func(a, b Overshoot) int {
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

// measureService weighs what was answered in time against what one gateway that saw all first tries would let in.
func (r *Report) measureService(h *History, classes map[string]policy.Class, plans map[string]policy.Plan, inside map[string]bool) {
	inTime := map[string]bool{}
	sent := map[string]time.Duration{}
	for _, request := range h.Requests {
		if request.ID == request.OriginalID {
			sent[request.ID] = request.SentAt
		}
	}
	for _, request := range h.Requests {
		if request.Result == Served && inside[request.key()] && request.AnsweredAt <= sent[request.OriginalID]+duration(classes[request.Class].LatencyObjectiveS) {
			inTime[request.OriginalID] = true
		}
	}
	type sum struct{ asked, got float64 }
	byAccount := map[string]*sum{}
	planOf := map[string]string{}
	over := map[string]bool{} // accounts that ask beyond their quotas: more served hides what is lost
	windows := map[int]map[string]*sum{}
	buckets := map[string]*bucket{}
	originals := make([]*Request, 0, len(h.Requests))
	for _, request := range h.Requests {
		if request.ID == request.OriginalID {
			originals = append(originals, request)
		}
	}
	sort.SliceStable(originals, func(i, j int) bool { return originals[i].SentAt < originals[j].SentAt })
	for _, request := range originals {
		plan := plans[request.Plan]
		window := buckets[request.Account]
		if window == nil {
			window = newBucket(plan.Rate, plan.Burst)
			buckets[request.Account] = window
		}
		window.advance(request.SentAt)
		worth := classes[request.Class].PriorityWeight * plan.Weight * request.Units
		if byAccount[request.Account] == nil {
			byAccount[request.Account], planOf[request.Account] = &sum{}, request.Plan
		}
		w := int(request.SentAt.Seconds())
		if windows[w] == nil {
			windows[w] = map[string]*sum{}
		}
		if windows[w][request.Account] == nil {
			windows[w][request.Account] = &sum{}
		}
		if plan.Rate == 0 || window.available >= request.Units {
			window.available -= request.Units
			byAccount[request.Account].asked += worth
			windows[w][request.Account].asked += worth
		} else {
			over[request.Account] = true
		}
		if inTime[request.ID] {
			byAccount[request.Account].got += worth
			windows[w][request.Account].got += worth
		}
	}
	classSums := map[string]*sum{}
	for _, request := range originals {
		if over[request.Account] {
			continue
		}
		if classSums[request.Class] == nil {
			classSums[request.Class] = &sum{}
		}
		classSums[request.Class].asked += request.Units
		if inTime[request.ID] {
			classSums[request.Class].got += request.Units
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
	r.Service = rate(all)
	for name, s := range classSums {
		r.ServiceByClass[name] = rate(*s)
	}
	for name, s := range byPlan {
		r.ServiceByPlan[name] = rate(*s)
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
		r.ServiceBySecond = append(r.ServiceBySecond, rate(of))
	}
}
