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
	wholeWeight = 0.55
	spanWeight  = 0.20
	planWeight  = 0.25
	spanS       = 10.0 // the length of a span
	slotS       = 0.1  // by which the bound cuts time
	wellAgain   = 0.95 // service that counts as full
)

// Slowed is a time in which every node did its work slower by a factor.
type Slowed struct {
	From, To time.Duration // To 0: it goes on
	X        float64
}

// Slow records that every node is slower from now on, until the function that it returns is called.
func (h *History) Slow(x float64) (end func()) {
	n := 0
	h.do(func() {
		n = len(h.Slows)
		h.Slows = append(h.Slows, Slowed{From: h.Now(), X: x})
	})
	return func() { h.do(func() { h.Slows[n].To = h.Now() }) }
}

// Peak is a time in which more was asked for than nodes can do.
type Peak struct{ From, To time.Duration }

// Stated is what a fleet that decides on overload as one keeps to in a run under overload. docs/overload.md has the reasons.
type Stated struct {
	Share   float64 // of the bound that the goal comes to, at least
	Even    float64 // the worst plan's share over the best one's, at least
	Back    float64 // seconds from the end of the peak until service is full again, at most
	Spread  float64 // of levels over the fleet, at most
	Swing   float64 // of the median level, at most
	Starved float64 // share of the accounts that asked often and were served nothing, at most
	Gone    float64 // share of nodes' work that is in vain, at most
}

// AsOne is what is stated, with room for chance in single runs of 25 s.
var AsOne = Stated{Share: 0.78, Even: 0.75, Back: 5, Spread: 0.45, Swing: 0.7, Starved: 0.2, Gone: 0.1}

// shed holds a run against what is stated.
func (rep *Report) shed(l *Load, s *Stated, peak Peak) {
	for range int((peak.To - peak.From).Seconds()) {
		rep.saw(Shed, "seconds of overload")
	}
	hold := func(ok bool, format string, args ...any) {
		if !ok {
			rep.breach(Shed, peak.To, format, args...)
		}
	}
	share := l.Goal / max(l.Bound, 1e-9)
	hold(share >= s.Share, "the goal came to %.3f of its bound, %.2f is stated", share, s.Share)
	hold(l.Even() >= s.Even, "the worst plan had %.2f of the best one's share, %.2f is stated", l.Even(), s.Even)
	hold(l.Back >= 0 && l.Back <= s.Back, "service was full again %.0f s after the peak, %.0f is stated", l.Back, s.Back)
	hold(float64(l.Starved) <= s.Starved*float64(l.Often), "%d of %d accounts that asked often were served nothing, a share of %.2f is stated", l.Starved, l.Often, s.Starved)
	hold(l.Gone <= s.Gone, "%.3f of nodes' work was in vain, %.2f is stated", l.Gone, s.Gone)
	if x := l.Spread; x != nil {
		hold(x.Spread <= s.Spread, "levels lay %.2f apart, %.2f is stated", x.Spread, s.Spread)
		hold(x.Swing <= s.Swing, "the level swung by %.2f, %.2f is stated", x.Swing, s.Swing)
	}
}

// Load is what a run under overload came to. Its shares are of worth asked for inside quotas, by first tries; what a client got within the aim
// of its first try counts.
type Load struct {
	Goal, Whole, WorstSpan, WorstPlan float64
	Bound                             float64            // what no fleet can pass, of Goal: see bound
	Asked                             float64            // work asked for inside quotas over what nodes can do, in the peak; in the run without one
	Plans, Classes                    map[string]float64 // share by plan, by class
	Used                              float64            // of what nodes can do, that was sent to them in the peak
	Floor                             float64            // the share of the worst-served tenth of the accounts, of those that asked for something worth counting
	Often                             int                // accounts that asked at least so often as starvedFrom
	Starved                           int                // and of these, that were served nothing
	Late                              float64            // share of the served tries that took more than half of their aim
	Gone                              float64            // share of what was sent to nodes whose answer earned nothing
	Again                             float64            // tries a request
	Back                              float64            // seconds from the end of the peak until service is full, and stays so for a second; below 0: never
	ServedPerS                        float64            // worth served in time a second, in the peak
	Second                            []Second
	Spread                            *Spread  // nil: levels of overload were not recorded
	Levels                            []Levels // as recorded
}

// Second is one second of a run, by when things were first asked for. In worth.
type Second struct{ Asked, Let, Served float64 }

const starvedFrom = 8

// job is something that a client asked for inside its quota.
type job struct {
	from, to     float64 // sent, and by when an answer still earns
	work, worth  float64 // work: the mean of its class, as nobody knows beforehand what one request will take
	plan, span   int
	class        string
	account      string
	let, inTime  bool
	value, price float64 // in the goal, by the weights tried
}

// load works out a run's figures under overload.
func (rep *Report) load(h *History, rules Rules, classes map[string]policy.Class, plans map[string]policy.Plan) {
	names := slices.Sorted(maps.Keys(plans))
	seen, meanOf := map[string]int{}, map[string]float64{}
	byTry := map[string]*Try{}
	for _, t := range h.Tries {
		byTry[t.key()] = t
	}
	sentOn := map[string]bool{} // by first try
	spent, wasted := 0.0, 0.0
	inTime := map[string]bool{}
	first := map[string]*Try{}
	for _, t := range h.Tries {
		if t.ID == t.First {
			first[t.First] = t
		}
	}
	served, late := 0, 0
	for _, t := range h.Tries {
		f := first[t.First]
		if t.Result != Served || f == nil {
			continue
		}
		aim := seconds(classes[t.Class].LatencyObjectiveS)
		inTime[t.First] = inTime[t.First] || t.Answered <= f.Sent+aim
		if served++; t.Answered-t.Sent > aim/2 {
			late++
		}
	}
	for _, a := range h.Attempts {
		t := byTry[a.ID+"/"+a.Account]
		if t == nil {
			continue
		}
		sentOn[t.First] = true
		seen[a.Class]++
		meanOf[a.Class] += (a.Work - meanOf[a.Class]) / float64(seen[a.Class])
		if spent += a.Work; !inTime[t.First] {
			wasted += a.Work
		}
	}
	var jobs []*job
	tries := 0
	buckets := map[string]*bucket{}
	end := 0.0
	firsts := slices.SortedFunc(maps.Values(first), func(a, b *Try) int { return cmp.Or(cmp.Compare(a.Sent, b.Sent), cmp.Compare(a.ID, b.ID)) })
	asked := map[string]bool{}
	for _, t := range firsts {
		p := plans[t.Plan]
		b := buckets[t.Account]
		if b == nil {
			b = newBucket(p.Rate, p.Burst)
			buckets[t.Account] = b
		}
		if b.to(t.Sent); p.Rate > 0 {
			if b.room < t.Units {
				continue
			}
			b.room -= t.Units
		}
		asked[t.First] = true
		at := t.Sent.Seconds()
		end = max(end, at)
		jobs = append(jobs, &job{from: at, to: at + classes[t.Class].LatencyObjectiveS, work: meanOf[t.Class], account: t.Account,
			worth: classes[t.Class].PriorityWeight * p.Weight * t.Units, plan: slices.Index(names, t.Plan), class: t.Class, let: sentOn[t.First], inTime: inTime[t.First]})
	}
	for _, t := range h.Tries {
		if asked[t.First] {
			tries++
		}
	}
	if len(jobs) == 0 {
		return
	}
	l := &Load{Plans: map[string]float64{}, Classes: map[string]float64{}, Again: float64(tries) / float64(len(jobs)), Late: float64(late) / float64(max(served, 1)), Gone: wasted / max(spent, 1e-9)}
	rep.Load = l
	spans := max(int(end/spanS), 1) // the last one takes what is left
	planAsked, planGot := make([]float64, len(names)), make([]float64, len(names))
	spanAsked, spanGot := make([]float64, spans), make([]float64, spans)
	l.Second = make([]Second, int(end)+1)
	accounts := map[string]*[3]float64{}
	for _, j := range jobs {
		j.span = min(int(j.from/spanS), spans-1)
		s, a := &l.Second[int(j.from)], accounts[j.account]
		if a == nil {
			a = &[3]float64{}
			accounts[j.account] = a
		}
		planAsked[j.plan], spanAsked[j.span], s.Asked, a[0], a[2] = planAsked[j.plan]+j.worth, spanAsked[j.span]+j.worth, s.Asked+j.worth, a[0]+j.worth, a[2]+1
		if j.let {
			s.Let += j.worth
		}
		if j.inTime {
			planGot[j.plan], spanGot[j.span], s.Served, a[1] = planGot[j.plan]+j.worth, spanGot[j.span]+j.worth, s.Served+j.worth, a[1]+j.worth
		}
	}
	l.WorstPlan, l.WorstSpan = 1, 1
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
		if classAsked[j.class] += j.worth; j.inTime {
			l.Classes[j.class] += j.worth
		}
	}
	for name, x := range classAsked {
		l.Classes[name] /= x
	}
	for s := range spans {
		if spanAsked[s] > 0 {
			l.WorstSpan = min(l.WorstSpan, spanGot[s]/spanAsked[s])
		}
	}
	l.Whole = got / all
	l.Goal = wholeWeight*l.Whole + spanWeight*l.WorstSpan + planWeight*l.WorstPlan
	var shares []float64
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		if a := accounts[name]; a[2] >= starvedFrom {
			shares = append(shares, a[1]/a[0])
			l.Often++
			if a[1] == 0 {
				l.Starved++
			}
		}
	}
	slices.Sort(shares)
	if tenth := shares[:min(len(shares), len(shares)/10+1)]; len(tenth) > 0 {
		for _, x := range tenth {
			l.Floor += x / float64(len(tenth))
		}
	}
	from, to := rules.Peak.From.Seconds(), rules.Peak.To.Seconds()
	if to <= from {
		from, to = 0, end
	}
	work, peakServed, can := 0.0, 0.0, 0.0
	for _, a := range h.Attempts {
		if at := a.At.Seconds(); at >= from && at < to {
			l.Used += a.Work
		}
	}
	cap := capacity(h, end)
	for _, j := range jobs {
		if j.from >= from && j.from < to {
			if work += j.work; j.inTime {
				peakServed += j.worth
			}
		}
	}
	for i, c := range cap {
		if at := float64(i) * slotS; at >= from && at < to {
			can += c
		}
	}
	l.Used /= max(can, 1e-9)
	l.Asked, l.ServedPerS = work/max(can, 1e-9), peakServed/(to-from)
	if l.Back = -1; rules.Peak.To > 0 {
		for i := int(to); i+1 < len(l.Second); i++ { // seconds of asking, from the end on
			a, b := l.Second[i], l.Second[i+1]
			if a.Served >= wellAgain*a.Asked && b.Served >= wellAgain*b.Asked {
				l.Back = float64(i) - to
				break
			}
		}
	}
	l.Levels, l.Spread = h.Levels, spread(h.Levels, rules.Peak)
	l.Bound = bound(jobs, cap, planAsked, spanAsked)
	if rules.Shed != nil {
		rep.shed(l, rules.Shed, Peak{seconds(from), seconds(to)})
	}
}

// capacity is the work that all nodes together can do in each slot until the last aim, in seconds of a core.
func capacity(h *History, end float64) []float64 {
	slots := make([]float64, int((end+20)/slotS)+1)
	for _, life := range h.Lives {
		for i := range slots {
			at := (float64(i) + 0.5) * slotS
			age := at - life.Started.Seconds()
			if age < -slotS || life.FellAt > 0 && at > life.FellAt.Seconds() {
				continue
			}
			share := 1.0
			if life.ColdS > 0 && age < life.ColdS {
				share = life.ColdFrom + (1-life.ColdFrom)*max(age, 0)/life.ColdS
			}
			slots[i] += life.Capacity * share * slotS
		}
	}
	for _, s := range h.Slows {
		for i := range slots {
			if at := time.Duration((float64(i) + 0.5) * slotS * float64(time.Second)); at >= s.From && (s.To == 0 || at < s.To) && s.X > 1 {
				slots[i] /= s.X
			}
		}
	}
	return slots
}

// bound is what no fleet can pass, of the goal, that knows all that will be asked for but not how much work a single request turns out to be: the optimum of a relaxed problem, from above. Work may be cut up, spread over
// cores and put off up to its aim. For any prices of time that are not below 0, and any weights of plans and of spans that add up to 1, the
// sum of what time is worth and of what each request earns beyond its dearest alternative is an upper bound (weak duality); prices and weights are
// searched for, so that it is a tight one, and a poor search makes it looser, never wrong.
func bound(jobs []*job, cap, planAsked, spanAsked []float64) float64 {
	all := 0.0
	for _, x := range planAsked {
		all += x
	}
	plans, spans := weights(planAsked), weights(spanAsked)
	best := math.Inf(1)
	order := slices.Clone(jobs)
	left, prices := make([]float64, len(cap)), make([]float64, len(cap))
	for round := range 24 {
		for _, j := range jobs {
			j.value = j.worth * (wholeWeight/all + planWeight*plans[j.plan]/planAsked[j.plan] + spanWeight*spans[j.span]/spanAsked[j.span])
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
			for i := int(j.to / slotS); i >= int(j.from/slotS) && need > 0; i-- {
				take := min(left[i], need)
				if left[i] -= take; take > 0 && left[i] <= 1e-12 {
					prices[i] = j.price
				}
				need -= take
			}
			done := 1 - need/max(j.work, 1e-9)
			planGot[j.plan] += done * j.worth
			spanGot[j.span] += done * j.worth
		}
		best = min(best, descend(jobs, cap, slices.Clone(prices)))
		step := 4 / float64(1+round)
		shift(plans, planGot, planAsked, step)
		shift(spans, spanGot, spanAsked, step)
	}
	return min(best, 1)
}

// weights spreads 1 over what was asked for at all.
func weights(asked []float64) []float64 {
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

// shift moves weights towards what is served worst.
func shift(w, got, asked []float64, step float64) {
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

// descend lowers the bound that prices of time give by subgradients, and returns the lowest.
func descend(jobs []*job, cap, prices []float64) float64 {
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
			from, to := int(j.from/slotS), int(j.to/slotS)
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
		l.Asked, l.Goal, l.Whole, l.WorstSpan, l.WorstPlan, l.best(), l.Bound, l.Goal/max(l.Bound, 1e-9), sorted(l.Plans, "%s %.3f")+"; "+sorted(l.Classes, "%s %.3f"))
	fmt.Fprintf(w, "  work sent to nodes %.2f of what they can do; worst tenth of accounts %.3f, %d starved; served past half of the aim %.3f; work in vain %.3f; tries a request %.2f; worth a second %.0f; full service after %.0f s\n",
		l.Used, l.Floor, l.Starved, l.Late, l.Gone, l.Again, l.ServedPerS, l.Back)
	if s := l.Spread; s != nil {
		fmt.Fprintf(w, "  level of overload %.2f, known after %.1f s, spread over the fleet %.2f, swing %.2f, %.1f turns a minute\n", s.Level, s.Known, s.Spread, s.Swing, s.Turns)
	}
}

func (l *Load) best() (x float64) {
	for _, s := range l.Plans {
		x = max(x, s)
	}
	return x
}

// Even is the worst-served plan's share over the best-served one's.
func (l *Load) Even() float64 { return l.WorstPlan / max(l.best(), 1e-9) }
