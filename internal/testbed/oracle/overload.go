package oracle

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"eiderspread/policy"
)

// The operators' goal weighs the whole run, its worst span and its worst plan; all three are shares of the worth asked for inside quotas.
const (
	overallWeight     = 0.55
	intervalWeight    = 0.20
	planWeight        = 0.25
	intervalS         = 10.0 // the length of a span
	slotS             = 0.1  // by which the bound cuts time
	recoveredFraction = 0.95 // service that counts as full
)

// Slowdown is a time in which every node did its work slower by a factor.
type Slowdown struct {
	From, To time.Duration // To 0: it goes on
	Factor   float64       `json:"X"`
}

// BeginSlowdown records that every node is slower from now on, until the function that it returns is called.
func (h *History) BeginSlowdown(x float64) (end func()) {
	n := 0
	h.locked(func() {
		n = len(h.Slowdowns)
		h.Slowdowns = append(h.Slowdowns, Slowdown{From: h.Now(), Factor: x})
	})
	return func() { h.locked(func() { h.Slowdowns[n].To = h.Now() }) }
}

// Peak is a time in which more was asked for than nodes can do.
type Peak struct{ From, To time.Duration }

// LoadSheddingBounds is what a fleet that decides on overload as one keeps to in a run under overload. docs/overload.md has the reasons.
type LoadSheddingBounds struct {
	MinBoundFraction float64 `json:"Share"`   // of the bound that the goal comes to, at least
	MinFairness      float64 `json:"Even"`    // the worst plan's share over the best one's, at least
	MaxRecoveryS     float64 `json:"Back"`    // seconds from the end of the peak until service is full again, at most
	MaxSpread        float64 `json:"Spread"`  // of levels over the fleet, at most
	MaxSwing         float64 `json:"Swing"`   // of the median level, at most
	MaxStarved       float64 `json:"Starved"` // share of the accounts that asked often and were served nothing, at most
	MaxWasted        float64 `json:"Gone"`    // share of nodes' work that is in vain, at most
}

// DefaultLoadSheddingBounds is what is stated, with room for chance in single runs of 25 s.
var DefaultLoadSheddingBounds = LoadSheddingBounds{MinBoundFraction: 0.78, MinFairness: 0.75, MaxRecoveryS: 5, MaxSpread: 0.45, MaxSwing: 0.7, MaxStarved: 0.2, MaxWasted: 0.1}

// checkLoadShedding holds a run against what is stated.
func (r *Report) checkLoadShedding(l *Load, s *LoadSheddingBounds, peak Peak) {
	for range int((peak.To - peak.From).Seconds()) {
		r.occasion(RuleLoadShedding, "seconds of overload")
	}
	hold := func(ok bool, format string, args ...any) {
		if !ok {
			r.violation(RuleLoadShedding, peak.To, format, args...)
		}
	}
	share := l.Goal / max(l.UpperBound, 1e-9)
	hold(share >= s.MinBoundFraction, "the goal came to %.3f of its bound, %.2f is stated", share, s.MinBoundFraction)
	hold(l.Fairness() >= s.MinFairness, "the worst plan had %.2f of the best one's share, %.2f is stated", l.Fairness(), s.MinFairness)
	hold(l.RecoveryS >= 0 && l.RecoveryS <= s.MaxRecoveryS, "service was full again %.0f s after the peak, %.0f is stated", l.RecoveryS, s.MaxRecoveryS)
	hold(float64(l.StarvedAccounts) <= s.MaxStarved*float64(l.FrequentAccounts), "%d of %d accounts that asked often were served nothing, a share of %.2f is stated", l.StarvedAccounts, l.FrequentAccounts, s.MaxStarved)
	hold(l.WastedFraction <= s.MaxWasted, "%.3f of nodes' work was in vain, %.2f is stated", l.WastedFraction, s.MaxWasted)
	if x := l.LevelSpread; x != nil {
		hold(x.Spread <= s.MaxSpread, "levels lay %.2f apart, %.2f is stated", x.Spread, s.MaxSpread)
		hold(x.Swing <= s.MaxSwing, "the level swung by %.2f, %.2f is stated", x.Swing, s.MaxSwing)
	}
}

// Load is what a run under overload came to. Its shares are of worth asked for inside quotas, by first tries; what a client got within the aim
// of its first try counts.
type Load struct {
	Goal                float64
	Overall             float64 `json:"Whole"`
	WorstInterval       float64 `json:"WorstSpan"`
	WorstPlan           float64
	UpperBound          float64            `json:"Bound"` // what no fleet can pass, of Goal: see bound
	Demand              float64            `json:"Asked"` // work asked for inside quotas over what nodes can do, in the peak; in the run without one
	Plans, Classes      map[string]float64 // share by plan, by class
	Utilization         float64            `json:"Used"`    // of what nodes can do, that was sent to them in the peak
	WorstDecile         float64            `json:"Floor"`   // the share of the worst-served tenth of the accounts, of those that asked for something worth counting
	FrequentAccounts    int                `json:"Often"`   // accounts that asked at least so often as frequentFrom
	StarvedAccounts     int                `json:"Starved"` // and of these, that were served nothing
	SlowFraction        float64            `json:"Late"`    // share of the served tries that took more than half of their aim
	WastedFraction      float64            `json:"Gone"`    // share of what was sent to nodes whose answer earned nothing
	RequestsPerOriginal float64            `json:"Again"`   // tries a request
	RecoveryS           float64            `json:"Back"`    // seconds from the end of the peak until service is full, and stays so for a second; below 0: never
	ServedPerS          float64            // worth served in time a second, in the peak
	Seconds             []LoadSecond       `json:"Second"`
	LevelSpread         *LevelSpread       `json:"Spread"` // nil: levels of overload were not recorded
	LoadLevels          []LoadLevels       `json:"Levels"` // as recorded
}

// LoadSecond is the weight of the original requests that clients sent within one second of a run.
type LoadSecond struct {
	Demand   float64 `json:"Asked"` // asked for inside quotas
	Admitted float64 `json:"Let"`   // sent to a backend
	Served   float64 // answered within the latency objective
}

const frequentFrom = 8

// job is something that a client asked for inside its quota.
type job struct {
	start, deadline  float64 // sent, and by when an answer still earns
	work, weight     float64 // work: the mean of its class, as nobody knows beforehand what one request will take
	plan, interval   int
	class            string
	account          string
	admitted, inTime bool
	value, price     float64 // in the goal, by the weights tried
}

// measureLoad works out a run's figures under overload.
func (r *Report) measureLoad(h *History, cfg Config, classes map[string]policy.Class, plans map[string]policy.Plan) {
	names := slices.Sorted(maps.Keys(plans))
	seen, meanOf := map[string]int{}, map[string]float64{}
	byTry := map[string]*Request{}
	for _, request := range h.Requests {
		byTry[request.key()] = request
	}
	sentOn := map[string]bool{} // by first try
	spent, wasted := 0.0, 0.0
	inTime := map[string]bool{}
	first := map[string]*Request{}
	for _, request := range h.Requests {
		if request.ID == request.OriginalID {
			first[request.OriginalID] = request
		}
	}
	served, late := 0, 0
	for _, request := range h.Requests {
		f := first[request.OriginalID]
		if request.Result != Served || f == nil {
			continue
		}
		aim := duration(classes[request.Class].LatencyObjectiveS)
		inTime[request.OriginalID] = inTime[request.OriginalID] || request.AnsweredAt <= f.SentAt+aim
		if served++; request.AnsweredAt-request.SentAt > aim/2 {
			late++
		}
	}
	for _, attempt := range h.Attempts {
		request := byTry[attempt.ID+"/"+attempt.Account]
		if request == nil {
			continue
		}
		sentOn[request.OriginalID] = true
		seen[attempt.Class]++
		meanOf[attempt.Class] += (attempt.Work - meanOf[attempt.Class]) / float64(seen[attempt.Class])
		if spent += attempt.Work; !inTime[request.OriginalID] {
			wasted += attempt.Work
		}
	}
	var jobs []*job
	tries := 0
	buckets := map[string]*bucket{}
	end := 0.0
	originals := slices.SortedFunc(maps.Values(first), func(a, b *Request) int { return cmp.Or(cmp.Compare(a.SentAt, b.SentAt), cmp.Compare(a.ID, b.ID)) })
	asked := map[string]bool{}
	for _, request := range originals {
		plan := plans[request.Plan]
		window := buckets[request.Account]
		if window == nil {
			window = newBucket(plan.Rate, plan.Burst)
			buckets[request.Account] = window
		}
		if window.advance(request.SentAt); plan.Rate > 0 {
			if window.available < request.Units {
				continue
			}
			window.available -= request.Units
		}
		asked[request.OriginalID] = true
		at := request.SentAt.Seconds()
		end = max(end, at)
		jobs = append(jobs, &job{start: at, deadline: at + classes[request.Class].LatencyObjectiveS, work: meanOf[request.Class], account: request.Account,
			weight: classes[request.Class].PriorityWeight * plan.Weight * request.Units, plan: slices.Index(names, request.Plan), class: request.Class, admitted: sentOn[request.OriginalID], inTime: inTime[request.OriginalID]})
	}
	for _, request := range h.Requests {
		if asked[request.OriginalID] {
			tries++
		}
	}
	if len(jobs) == 0 {
		return
	}
	l := &Load{Plans: map[string]float64{}, Classes: map[string]float64{}, RequestsPerOriginal: float64(tries) / float64(len(jobs)), SlowFraction: float64(late) / float64(max(served, 1)), WastedFraction: wasted / max(spent, 1e-9)}
	r.Load = l
	intervals := max(int(end/intervalS), 1) // the last one takes what is left
	planAsked, planGot := make([]float64, len(names)), make([]float64, len(names))
	spanAsked, spanGot := make([]float64, intervals), make([]float64, intervals)
	l.Seconds = make([]LoadSecond, int(end)+1)
	accounts := map[string]*[3]float64{}
	for _, j := range jobs {
		j.interval = min(int(j.start/intervalS), intervals-1)
		s, a := &l.Seconds[int(j.start)], accounts[j.account]
		if a == nil {
			a = &[3]float64{}
			accounts[j.account] = a
		}
		planAsked[j.plan], spanAsked[j.interval], s.Demand, a[0], a[2] = planAsked[j.plan]+j.weight, spanAsked[j.interval]+j.weight, s.Demand+j.weight, a[0]+j.weight, a[2]+1
		if j.admitted {
			s.Admitted += j.weight
		}
		if j.inTime {
			planGot[j.plan], spanGot[j.interval], s.Served, a[1] = planGot[j.plan]+j.weight, spanGot[j.interval]+j.weight, s.Served+j.weight, a[1]+j.weight
		}
	}
	l.WorstPlan, l.WorstInterval = 1, 1
	all, got := 0.0, 0.0
	for p, name := range names {
		if planAsked[p] > 0 {
			l.Plans[name] = planGot[p] / planAsked[p]
			l.WorstPlan = min(l.WorstPlan, l.Plans[name])
			all, got = all+planAsked[p], got+planGot[p]
		}
	}
	classAsked := map[string]float64{}
	for _, j := range jobs {
		if classAsked[j.class] += j.weight; j.inTime {
			l.Classes[j.class] += j.weight
		}
	}
	for name, x := range classAsked {
		l.Classes[name] /= x
	}
	for s := range intervals {
		if spanAsked[s] > 0 {
			l.WorstInterval = min(l.WorstInterval, spanGot[s]/spanAsked[s])
		}
	}
	l.Overall = got / all
	l.Goal = overallWeight*l.Overall + intervalWeight*l.WorstInterval + planWeight*l.WorstPlan
	var shares []float64
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		if a := accounts[name]; a[2] >= frequentFrom {
			shares = append(shares, a[1]/a[0])
			l.FrequentAccounts++
			if a[1] == 0 {
				l.StarvedAccounts++
			}
		}
	}
	slices.Sort(shares)
	if tenth := shares[:min(len(shares), len(shares)/10+1)]; len(tenth) > 0 {
		for _, x := range tenth {
			l.WorstDecile += x / float64(len(tenth))
		}
	}
	from, to := cfg.Peak.From.Seconds(), cfg.Peak.To.Seconds()
	if to <= from {
		from, to = 0, end
	}
	work, peakServed, can := 0.0, 0.0, 0.0
	for _, attempt := range h.Attempts {
		if at := attempt.At.Seconds(); at >= from && at < to {
			l.Utilization += attempt.Work
		}
	}
	cap := capacity(h, end)
	for _, j := range jobs {
		if j.start >= from && j.start < to {
			if work += j.work; j.inTime {
				peakServed += j.weight
			}
		}
	}
	for i, c := range cap {
		if at := float64(i) * slotS; at >= from && at < to {
			can += c
		}
	}
	l.Utilization /= max(can, 1e-9)
	l.Demand, l.ServedPerS = work/max(can, 1e-9), peakServed/(to-from)
	if l.RecoveryS = -1; cfg.Peak.To > 0 {
		for i := int(to); i+1 < len(l.Seconds); i++ { // seconds of asking, from the end on
			a, b := l.Seconds[i], l.Seconds[i+1]
			if a.Served >= recoveredFraction*a.Demand && b.Served >= recoveredFraction*b.Demand {
				l.RecoveryS = float64(i) - to
				break
			}
		}
	}
	l.LoadLevels, l.LevelSpread = h.LoadLevels, measureSpread(h.LoadLevels, cfg.Peak)
	l.UpperBound = upperBound(jobs, cap, planAsked, spanAsked)
	if cfg.LoadShedding != nil {
		r.checkLoadShedding(l, cfg.LoadShedding, Peak{duration(from), duration(to)})
	}
}

// capacity is the work that all nodes together can do in each slot until the last aim, in seconds of a core.
func capacity(h *History, end float64) []float64 {
	slots := make([]float64, int((end+20)/slotS)+1)
	for _, life := range h.Incarnations {
		for i := range slots {
			at := (float64(i) + 0.5) * slotS
			age := at - life.StartedAt.Seconds()
			if age < -slotS || life.CrashedAt > 0 && at > life.CrashedAt.Seconds() {
				continue
			}
			share := 1.0
			if life.WarmUpS > 0 && age < life.WarmUpS {
				share = life.WarmUpFrom + (1-life.WarmUpFrom)*max(age, 0)/life.WarmUpS
			}
			slots[i] += life.Capacity * share * slotS
		}
	}
	for _, s := range h.Slowdowns {
		for i := range slots {
			if at := time.Duration((float64(i) + 0.5) * slotS * float64(time.Second)); at >= s.From && (s.To == 0 || at < s.To) && s.Factor > 1 {
				slots[i] /= s.Factor
			}
		}
	}
	return slots
}

// upperBound is what no fleet can pass, of the goal, that knows all that will be asked for but not how much work a single request turns out to be: the optimum of a relaxed problem, from above. Work may be cut up, spread over
// cores and put off up to its aim. For any prices of time that are not below 0, and any weights of plans and of spans that add up to 1, the
// sum of what time is worth and of what each request earns beyond its dearest alternative is an upper bound (weak duality); prices and weights are
// searched for, so that it is a tight one, and a poor search makes it looser, never wrong.
func upperBound(jobs []*job, cap, planAsked, spanAsked []float64) float64 {
	all := 0.0
	for _, x := range planAsked {
		all += x
	}
	plans, spans := uniformWeights(planAsked), uniformWeights(spanAsked)
	best := math.Inf(1)
	order := slices.Clone(jobs)
	left, prices := make([]float64, len(cap)), make([]float64, len(cap))
	for round := range 24 {
		for _, j := range jobs {
			j.value = j.weight * (overallWeight/all + planWeight*plans[j.plan]/planAsked[j.plan] + intervalWeight*spans[j.interval]/spanAsked[j.interval])
			j.price = j.value / max(j.work, 1e-9)
		}
		slices.SortStableFunc(order, func(a, b *job) int { return cmp.Compare(b.price, a.price) })
		copy(left, cap)
		for i := range prices {
			prices[i] = 0
		}
		planGot, spanGot := make([]float64, len(plans)), make([]float64, len(spans))
		for _, j := range order { // the dearest first, each as late as it may
			need := j.work
			for i := int(j.deadline / slotS); i >= int(j.start/slotS) && need > 0; i-- {
				take := min(left[i], need)
				if left[i] -= take; take > 0 && left[i] <= 1e-12 {
					prices[i] = j.price
				}
				need -= take
			}
			done := 1 - need/max(j.work, 1e-9)
			planGot[j.plan] += done * j.weight
			spanGot[j.interval] += done * j.weight
		}
		best = min(best, minimizeBound(jobs, cap, slices.Clone(prices)))
		step := 4 / float64(1+round)
		reweight(plans, planGot, planAsked, step)
		reweight(spans, spanGot, spanAsked, step)
	}
	return min(best, 1)
}

// uniformWeights spreads 1 over what was asked for at all.
func uniformWeights(asked []float64) []float64 {
	w, n := make([]float64, len(asked)), 0.0
	for _, x := range asked {
		if x > 0 {
			n++
		}
	}
	for i, x := range asked {
		if x > 0 {
			w[i] = 1 / n
		}
	}
	return w
}

// reweight moves weights towards what is served worst.
func reweight(w, got, asked []float64, step float64) {
	sum := 0.0
	for i := range w {
		if asked[i] > 0 {
			w[i] *= math.Exp(-step * got[i] / asked[i])
			sum += w[i]
		}
	}
	for i := range w {
		w[i] /= sum
	}
}

// minimizeBound lowers the bound that prices of time give by subgradients, and returns the lowest.
func minimizeBound(jobs []*job, cap, prices []float64) float64 {
	best, scale := math.Inf(1), 0.0
	for _, p := range prices {
		scale = max(scale, p)
	}
	load := make([]float64, len(cap))
	for step := range 60 {
		value := 0.0
		for i := range load {
			load[i] = 0
			value += cap[i] * prices[i]
		}
		for _, j := range jobs {
			from, to := int(j.start/slotS), int(j.deadline/slotS)
			low := from
			for i := from; i <= to; i++ {
				if prices[i] < prices[low] {
					low = i
				}
			}
			if earn := j.value - j.work*prices[low]; earn > 0 {
				value += earn
				load[low] += j.work
			}
		}
		best = min(best, value)
		for i := range prices {
			if cap[i] > 0 {
				prices[i] = max(prices[i]+0.05*scale/float64(1+step)*max(min(load[i]/cap[i]-1, 2), -1), 0)
			}
		}
	}
	return best
}

// Print writes the figures of a run under overload, one line.
func (l *Load) Print(w io.Writer) {
	fmt.Fprintf(w, "overload: asked %.2f of what nodes can do; goal %.3f (whole %.3f, worst span %.3f, worst plan %.3f of best %.3f), bound %.3f, share of it %.3f; %s\n",
		l.Demand, l.Goal, l.Overall, l.WorstInterval, l.WorstPlan, l.bestPlan(), l.UpperBound, l.Goal/max(l.UpperBound, 1e-9), formatMap(l.Plans, "%s %.3f")+"; "+formatMap(l.Classes, "%s %.3f"))
	fmt.Fprintf(w, "  work sent to nodes %.2f of what they can do; worst tenth of accounts %.3f, %d starved; served past half of the aim %.3f; work in vain %.3f; tries a request %.2f; worth a second %.0f; full service after %.0f s\n",
		l.Utilization, l.WorstDecile, l.StarvedAccounts, l.SlowFraction, l.WastedFraction, l.RequestsPerOriginal, l.ServedPerS, l.RecoveryS)
	if s := l.LevelSpread; s != nil {
		fmt.Fprintf(w, "  level of overload %.2f, known after %.1f s, spread over the fleet %.2f, swing %.2f, %.1f turns a minute\n", s.Median, s.DetectionS, s.Spread, s.Swing, s.ReversalsPerMinute)
	}
}

func (l *Load) bestPlan() (x float64) {
	for _, s := range l.Plans {
		x = max(x, s)
	}
	return x
}

// Fairness is the worst-served plan's share over the best-served one's.
func (l *Load) Fairness() float64 { return l.WorstPlan / max(l.bestPlan(), 1e-9) }
