package oracle

import (
	"maps"
	"slices"
	"sort"
	"time"

	"eiderspread/policy"
)

// serviceSum is a weight that clients requested, and the part of it that was answered within the latency objective.
type serviceSum struct{ requested, answered float64 }

// fraction returns the part that was answered; -1 if nothing was requested.
func (s serviceSum) fraction() float64 {
	if s.requested == 0 {
		return -1
	}
	return s.answered / s.requested
}

// entry returns the sum at a key of m, which it adds if it is missing.
func entry[K comparable](m map[K]*serviceSum, key K) *serviceSum {
	if m[key] == nil {
		m[key] = &serviceSum{}
	}
	return m[key]
}

// answeredInTime returns the IDs of the original requests that were served within the latency objective, by their own attempts
// or those of a client's retry. The parameter inside has the keys of the requests inside their quotas; only these count.
func answeredInTime(h *History, classes map[string]policy.Class, inside map[string]bool) map[string]bool {
	inTime := map[string]bool{}
	sent := map[string]time.Duration{}
	for _, request := range h.Requests {
		if request.original() {
			sent[request.ID] = request.SentAt
		}
	}
	for _, request := range h.Requests {
		objective := duration(classes[request.Class].LatencyObjectiveS)
		if request.Result == Served && inside[request.key()] && request.AnsweredAt <= sent[request.OriginalID]+objective {
			inTime[request.OriginalID] = true
		}
	}
	return inTime
}

// serviceReplay sums the service of each account and what a single gateway that sees all original requests would admit.
type serviceReplay struct {
	buckets   map[string]*bucket // by account
	accounts  map[string]*serviceSum
	plans     map[string]string // by account
	overQuota map[string]bool   // accounts that exceed their quotas: answers beyond the quota would hide lost service
	seconds   map[int]map[string]*serviceSum
}

// add adds an original request. Requests are added in order of sending.
func (s *serviceReplay) add(request *Request, plan policy.Plan, weight float64, inTime bool) {
	quota := s.buckets[request.Account]
	if quota == nil {
		quota = newBucket(plan.Rate, plan.Burst)
		s.buckets[request.Account] = quota
		s.plans[request.Account] = request.Plan
	}
	second := int(request.SentAt.Seconds())
	if s.seconds[second] == nil {
		s.seconds[second] = map[string]*serviceSum{}
	}
	account, inSecond := entry(s.accounts, request.Account), entry(s.seconds[second], request.Account)
	if quota.advance(request.SentAt); plan.Rate == 0 || quota.available >= request.Units {
		quota.available -= request.Units
		account.requested += weight
		inSecond.requested += weight
	} else {
		s.overQuota[request.Account] = true
	}
	if inTime {
		account.answered += weight
		inSecond.answered += weight
	}
}

// measureService sets the report's service figures.
func (r *Report) measureService(h *History, classes map[string]policy.Class, plans map[string]policy.Plan, inside map[string]bool) {
	inTime := answeredInTime(h, classes, inside)
	originals := make([]*Request, 0, len(h.Requests))
	for _, request := range h.Requests {
		if request.original() {
			originals = append(originals, request)
		}
	}
	sort.SliceStable(originals, func(i, j int) bool { return originals[i].SentAt < originals[j].SentAt })
	replay := &serviceReplay{buckets: map[string]*bucket{}, accounts: map[string]*serviceSum{}, plans: map[string]string{},
		overQuota: map[string]bool{}, seconds: map[int]map[string]*serviceSum{}}
	for _, request := range originals {
		plan := plans[request.Plan]
		weight := classes[request.Class].PriorityWeight * plan.Weight * request.Units
		replay.add(request, plan, weight, inTime[request.ID])
	}
	byClass := map[string]*serviceSum{}
	for _, request := range originals {
		if replay.overQuota[request.Account] {
			continue
		}
		class := entry(byClass, request.Class)
		class.requested += request.Units
		if inTime[request.ID] {
			class.answered += request.Units
		}
	}
	for name, class := range byClass {
		r.ServiceByClass[name] = class.fraction()
	}
	var all serviceSum
	byPlan := map[string]*serviceSum{}
	for _, name := range slices.Sorted(maps.Keys(replay.accounts)) { // in a fixed order, as the rounding of the sums depends on it
		account := replay.accounts[name]
		for _, sum := range []*serviceSum{&all, entry(byPlan, replay.plans[name])} {
			sum.requested += account.requested
			sum.answered += min(account.answered, account.requested)
		}
	}
	r.Service = all.fraction()
	for name, plan := range byPlan {
		r.ServiceByPlan[name] = plan.fraction()
	}
	for second := range int(h.Now().Seconds()) + 1 {
		var sum serviceSum
		for _, name := range slices.Sorted(maps.Keys(replay.seconds[second])) {
			if !replay.overQuota[name] {
				sum.requested += replay.seconds[second][name].requested
				sum.answered += replay.seconds[second][name].answered
			}
		}
		r.ServiceBySecond = append(r.ServiceBySecond, sum.fraction())
	}
}
