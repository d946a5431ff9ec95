package oracle

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"eiderspread/policy"
)

// The goal of docs/overload.md is the weighted sum of three fractions served of the weight requested inside quotas: that of the
// whole run, of its worst interval and of its worst plan.
const (
	overallWeight  = 0.55
	intervalWeight = 0.20
	planWeight     = 0.25
	intervalS      = 10.0 // length of an interval, seconds
)

const (
	recoveredFraction = 0.95 // fraction of a second's weight that is served once service has recovered
	frequentFrom      = 8    // fewest requests of an account that counts in Load.FrequentAccounts
	slowDivisor       = 2    // an answer is slow if it takes longer than the latency objective over this
	capacityTailS     = 20   // seconds after the last request until which capacity is computed
)

// Load is the result of a run under overload. Its fractions served are of the weight of original requests inside quotas. An
// original request counts as served if its client received an answer within the latency objective of its sending.
type Load struct {
	Goal                float64 // weighted sum of Overall, WorstInterval and WorstPlan
	Overall             float64 `json:"Whole"`     // fraction served
	WorstInterval       float64 `json:"WorstSpan"` // fraction served in the worst interval of intervalS
	WorstPlan           float64
	UpperBound          float64            `json:"Bound"` // no fleet could reach a higher Goal, even if it knew all requests beforehand; see upperBound
	Demand              float64            `json:"Asked"` // requested work divided by the backends' capacity, in the peak, or in the whole run if it has no peak
	Plans, Classes      map[string]float64 // fraction served
	Utilization         float64            `json:"Used"`    // work sent to backends, divided by their capacity, in the same time as Demand
	WorstDecile         float64            `json:"Floor"`   // mean fraction served of the worst tenth of the frequent accounts
	FrequentAccounts    int                `json:"Often"`   // accounts with at least frequentFrom requests
	StarvedAccounts     int                `json:"Starved"` // frequent accounts with nothing served
	SlowFraction        float64            `json:"Late"`    // fraction of the served requests that took more than half of the latency objective
	WastedFraction      float64            `json:"Gone"`    // fraction of the work sent to backends whose answer was not in time
	RequestsPerOriginal float64            `json:"Again"`   // requests of clients, with their retries, per original request
	RecoveryS           float64            `json:"Back"`    // seconds from the end of the peak until two consecutive seconds with recoveredFraction served; below 0: never
	ServedPerS          float64            // weight served per second, in the same time as Demand
	Seconds             []LoadSecond       `json:"Second"` // by the second in which the original requests were sent
	LevelSpread         *LevelSpread       `json:"Spread"` // nil: no load-shedding levels were recorded
	LoadLevels          []LoadLevels       `json:"Levels"`
}

// LoadSecond is the weight of the original requests that clients sent within one second of a run.
type LoadSecond struct {
	Demand   float64 `json:"Asked"` // requested inside quotas
	Admitted float64 `json:"Let"`   // sent to a backend
	Served   float64
}

// job is an original request inside its quota.
type job struct {
	start, deadline  float64 // seconds: sent, and latest answer in time
	work             float64 // core seconds, the mean of its class: a single request's work is not known beforehand
	weight           float64
	plan, interval   int // indexes
	class            string
	account          string
	admitted, inTime bool
	value, price     float64 // value in the goal under the weights that upperBound tries, and value per core second
}

// loadResults has the results of original requests, by their IDs, and of the work for them.
type loadResults struct {
	originals map[string]*Request
	inTime    map[string]bool
	admitted  map[string]bool
	meanWork  map[string]float64 // core seconds by class
	slow      float64            // fraction of the served requests, as Load.SlowFraction
	wasted    float64            // fraction of the work, as Load.WastedFraction
}

func newLoadResults(h *History, classes map[string]policy.Class) *loadResults {
	results := &loadResults{originals: map[string]*Request{}, inTime: map[string]bool{}, admitted: map[string]bool{}, meanWork: map[string]float64{}}
	requests := map[string]*Request{}
	for _, request := range h.Requests {
		requests[request.key()] = request
		if request.original() {
			results.originals[request.OriginalID] = request
		}
	}
	served, slow := 0, 0
	for _, request := range h.Requests {
		original := results.originals[request.OriginalID]
		if request.Result != Served || original == nil {
			continue
		}
		objective := duration(classes[request.Class].LatencyObjectiveS)
		if request.AnsweredAt <= original.SentAt+objective {
			results.inTime[request.OriginalID] = true
		}
		if served++; request.AnsweredAt-request.SentAt > objective/slowDivisor {
			slow++
		}
	}
	spent, wasted := 0.0, 0.0
	attempts := map[string]int{} // by class
	for _, attempt := range h.Attempts {
		request := requests[attempt.key()]
		if request == nil {
			continue
		}
		results.admitted[request.OriginalID] = true
		attempts[attempt.Class]++
		results.meanWork[attempt.Class] += (attempt.Work - results.meanWork[attempt.Class]) / float64(attempts[attempt.Class])
		if spent += attempt.Work; !results.inTime[request.OriginalID] {
			wasted += attempt.Work
		}
	}
	results.slow = float64(slow) / float64(max(served, 1))
	results.wasted = wasted / max(spent, epsilon)
	return results
}

// jobs returns the original requests inside their quotas, in order of sending, and how many requests clients sent for them, with
// retries. A job's plan is an index in planNames.
func (results *loadResults) jobs(h *History, classes map[string]policy.Class, plans map[string]policy.Plan, planNames []string) (jobs []*job, requests int) {
	quotas, inside := map[string]*bucket{}, map[string]bool{}
	originals := slices.SortedFunc(maps.Values(results.originals), func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.SentAt, b.SentAt), cmp.Compare(a.ID, b.ID))
	})
	for _, request := range originals {
		plan, class := plans[request.Plan], classes[request.Class]
		quota := quotas[request.Account]
		if quota == nil {
			quota = newBucket(plan.Rate, plan.Burst)
			quotas[request.Account] = quota
		}
		if plan.Rate > 0 && !quota.take(request.SentAt, request.Units) {
			continue
		}
		inside[request.OriginalID] = true
		start := request.SentAt.Seconds()
		jobs = append(jobs, &job{
			start: start, deadline: start + class.LatencyObjectiveS, work: results.meanWork[request.Class],
			weight: class.PriorityWeight * plan.Weight * request.Units, plan: slices.Index(planNames, request.Plan),
			class: request.Class, account: request.Account,
			admitted: results.admitted[request.OriginalID], inTime: results.inTime[request.OriginalID],
		})
	}
	for _, request := range h.Requests {
		if inside[request.OriginalID] {
			requests++
		}
	}
	return jobs, requests
}

// measureLoad sets the report's Load and checks it against the bounds of cfg.LoadShedding.
func (r *Report) measureLoad(h *History, cfg Config, classes map[string]policy.Class, plans map[string]policy.Plan) {
	planNames := slices.Sorted(maps.Keys(plans))
	results := newLoadResults(h, classes)
	jobs, requests := results.jobs(h, classes, plans, planNames)
	if len(jobs) == 0 {
		return
	}
	end := jobs[len(jobs)-1].start
	load := &Load{
		Plans: map[string]float64{}, Classes: map[string]float64{}, SlowFraction: results.slow, WastedFraction: results.wasted,
		RequestsPerOriginal: float64(requests) / float64(len(jobs)),
		LoadLevels:          h.LoadLevels, LevelSpread: measureSpread(h.LoadLevels, cfg.Peak),
	}
	r.Load = load
	load.measureSeconds(jobs, end)
	planDemand, intervalDemand := load.measureGoal(jobs, planNames, end)
	load.measureClasses(jobs)
	load.measureAccounts(jobs)
	from, to := cfg.Peak.From.Seconds(), cfg.Peak.To.Seconds()
	if to <= from {
		from, to = 0, end
	}
	slots := capacity(h, end)
	load.measurePeak(h, jobs, slots, from, to)
	if load.RecoveryS = -1; cfg.Peak.To > 0 {
		load.RecoveryS = load.recovery(to)
	}
	load.UpperBound = upperBound(jobs, slots, planDemand, intervalDemand)
	if cfg.LoadShedding != nil {
		r.checkLoadShedding(load, cfg.LoadShedding, Peak{duration(from), duration(to)})
	}
}

// measureSeconds sets Seconds; end is when the last job was sent.
func (l *Load) measureSeconds(jobs []*job, end float64) {
	l.Seconds = make([]LoadSecond, int(end)+1)
	for _, j := range jobs {
		second := &l.Seconds[int(j.start)]
		second.Demand += j.weight
		if j.admitted {
			second.Admitted += j.weight
		}
		if j.inTime {
			second.Served += j.weight
		}
	}
}

// measureGoal sets Goal, its parts and Plans, and the intervals of jobs. It returns the weights requested by plan and by
// interval.
func (l *Load) measureGoal(jobs []*job, planNames []string, end float64) (planDemand, intervalDemand []float64) {
	intervals := max(int(end/intervalS), 1) // the last one includes the remainder
	planDemand, intervalDemand = make([]float64, len(planNames)), make([]float64, intervals)
	planServed, intervalServed := make([]float64, len(planNames)), make([]float64, intervals)
	for _, j := range jobs {
		j.interval = min(int(j.start/intervalS), intervals-1)
		planDemand[j.plan] += j.weight
		intervalDemand[j.interval] += j.weight
		if j.inTime {
			planServed[j.plan] += j.weight
			intervalServed[j.interval] += j.weight
		}
	}
	l.WorstPlan, l.WorstInterval = 1, 1
	demand, served := 0.0, 0.0
	for i, name := range planNames {
		if planDemand[i] > 0 {
			l.Plans[name] = planServed[i] / planDemand[i]
			l.WorstPlan = min(l.WorstPlan, l.Plans[name])
			demand, served = demand+planDemand[i], served+planServed[i]
		}
	}
	for i := range intervals {
		if intervalDemand[i] > 0 {
			l.WorstInterval = min(l.WorstInterval, intervalServed[i]/intervalDemand[i])
		}
	}
	l.Overall = served / demand
	l.Goal = overallWeight*l.Overall + intervalWeight*l.WorstInterval + planWeight*l.WorstPlan
	return planDemand, intervalDemand
}

// measureClasses sets Classes.
func (l *Load) measureClasses(jobs []*job) {
	demand := map[string]float64{}
	for _, j := range jobs {
		if demand[j.class] += j.weight; j.inTime {
			l.Classes[j.class] += j.weight
		}
	}
	for class, weight := range demand {
		l.Classes[class] /= weight
	}
}

// measureAccounts sets FrequentAccounts, StarvedAccounts and WorstDecile.
func (l *Load) measureAccounts(jobs []*job) {
	accounts, requests := map[string]*serviceSum{}, map[string]int{}
	for _, j := range jobs {
		account := entry(accounts, j.account)
		requests[j.account]++
		account.requested += j.weight
		if j.inTime {
			account.answered += j.weight
		}
	}
	var fractions []float64
	for name, account := range accounts {
		if requests[name] < frequentFrom {
			continue
		}
		fractions = append(fractions, account.answered/account.requested)
		l.FrequentAccounts++
		if account.answered == 0 {
			l.StarvedAccounts++
		}
	}
	slices.Sort(fractions)
	worst := fractions[:min(len(fractions), len(fractions)/10+1)]
	for _, fraction := range worst {
		l.WorstDecile += fraction / float64(len(worst))
	}
}

// measurePeak sets Demand, Utilization and ServedPerS for the time from second from to second to. slots is the backends' capacity, in core
// seconds, in each interval of slotS seconds.
func (l *Load) measurePeak(h *History, jobs []*job, slots []float64, from, to float64) {
	requested, served, available := 0.0, 0.0, 0.0
	for _, attempt := range h.Attempts {
		if at := attempt.At.Seconds(); at >= from && at < to {
			l.Utilization += attempt.Work
		}
	}
	for _, j := range jobs {
		if j.start >= from && j.start < to {
			if requested += j.work; j.inTime {
				served += j.weight
			}
		}
	}
	for i, work := range slots {
		if at := float64(i) * slotS; at >= from && at < to {
			available += work
		}
	}
	l.Utilization /= max(available, epsilon)
	l.Demand, l.ServedPerS = requested/max(available, epsilon), served/(to-from)
}

// recovery returns the seconds from the end of the peak until recoveredFraction is served in two consecutive seconds; -1: never.
func (l *Load) recovery(peakEnd float64) float64 {
	good := func(s LoadSecond) bool { return s.Served >= recoveredFraction*s.Demand }
	for i := int(peakEnd); i+1 < len(l.Seconds); i++ {
		if good(l.Seconds[i]) && good(l.Seconds[i+1]) {
			return float64(i) - peakEnd
		}
	}
	return -1
}

// checkLoadShedding checks the figures of a run under overload against their bounds.
func (r *Report) checkLoadShedding(l *Load, bounds *LoadSheddingBounds, peak Peak) {
	for range int((peak.To - peak.From).Seconds()) {
		r.occasion(RuleLoadShedding, "seconds of overload")
	}
	require := func(ok bool, format string, args ...any) {
		if !ok {
			r.violation(RuleLoadShedding, peak.To, format, args...)
		}
	}
	fraction := l.Goal / max(l.UpperBound, epsilon)
	require(fraction >= bounds.MinBoundFraction, "the goal reached a fraction of %.3f of its upper bound, at least %.2f is required", fraction, bounds.MinBoundFraction)
	require(l.Fairness() >= bounds.MinFairness, "the fraction served of the worst plan was %.2f of that of the best one, at least %.2f is required", l.Fairness(), bounds.MinFairness)
	require(l.RecoveryS >= 0 && l.RecoveryS <= bounds.MaxRecoveryS, "service recovered %.0f s after the peak (negative: never), at most %.0f s is allowed", l.RecoveryS, bounds.MaxRecoveryS)
	require(float64(l.StarvedAccounts) <= bounds.MaxStarved*float64(l.FrequentAccounts),
		"%d of %d frequent accounts were served nothing, at most a fraction of %.2f is allowed", l.StarvedAccounts, l.FrequentAccounts, bounds.MaxStarved)
	require(l.WastedFraction <= bounds.MaxWasted, "a fraction of %.3f of the backends' work was wasted, at most %.2f is allowed", l.WastedFraction, bounds.MaxWasted)
	if s := l.LevelSpread; s != nil {
		require(s.Spread <= bounds.MaxSpread, "the load-shedding levels had a spread of %.2f, at most %.2f is allowed", s.Spread, bounds.MaxSpread)
		require(s.Swing <= bounds.MaxSwing, "the median load-shedding level varied by %.2f, at most %.2f is allowed", s.Swing, bounds.MaxSwing)
	}
}

// Print writes the figures of a run under overload, two lines, and a third one if load-shedding levels were recorded.
func (l *Load) Print(w io.Writer) {
	fmt.Fprintf(w, "overload: demand %.2f of capacity; goal %.3f (overall %.3f, worst interval %.3f, worst plan %.3f, best plan %.3f), upper bound %.3f, fraction of it %.3f; %s\n",
		l.Demand, l.Goal, l.Overall, l.WorstInterval, l.WorstPlan, l.bestPlan(), l.UpperBound, l.Goal/max(l.UpperBound, epsilon), formatMap(l.Plans, "%s %.3f")+"; "+formatMap(l.Classes, "%s %.3f"))
	fmt.Fprintf(w, "  work sent to backends %.2f of capacity; worst tenth of accounts %.3f, %d starved; served slower than half of the latency objective %.3f; wasted work %.3f; requests per original request %.2f; weight served per second %.0f; recovered after %.0f s\n",
		l.Utilization, l.WorstDecile, l.StarvedAccounts, l.SlowFraction, l.WastedFraction, l.RequestsPerOriginal, l.ServedPerS, l.RecoveryS)
	if s := l.LevelSpread; s != nil {
		fmt.Fprintf(w, "  load-shedding level %.2f, detected after %.1f s, spread over the fleet %.2f, swing %.2f, %.1f reversals a minute\n", s.Median, s.DetectionS, s.Spread, s.Swing, s.ReversalsPerMinute)
	}
}

func (l *Load) bestPlan() (best float64) {
	for _, fraction := range l.Plans {
		best = max(best, fraction)
	}
	return best
}

// Fairness returns the fraction served of the worst plan over that of the best one.
func (l *Load) Fairness() float64 { return l.WorstPlan / max(l.bestPlan(), epsilon) }
