package simulation

import (
	"cmp"
	"container/heap"
	"fmt"
	"strings"
	"time"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// startAccount draws the times of one startAccount's requests.
func (s *Sim) startAccount(a testbed.Account) {
	mean := 0.0
	for _, c := range s.cfg.Classes {
		mean += s.cfg.ClassFractions[c.Name] * float64(s.cfg.Units[c.Name])
	}
	flood := 1 + s.rng.Float64()*a.FloodEvery.Seconds()
	var ask func()
	next := func() {
		rate := a.Rate / mean * cmp.Or(s.floodFactors[a.Name], 1)
		if a.FloodX > 0 && s.now > flood {
			rate *= a.FloodX
			if s.now > flood+a.FloodFor.Seconds() {
				flood = s.now + a.FloodEvery.Seconds()
			}
		}
		s.after(s.rng.ExpFloat64()/rate, ask)
	}
	ask = func() {
		if s.now > s.cfg.LengthS || a.To > 0 && s.now > 1+a.To.Seconds() {
			return
		}
		class := testbed.ClassOf(a, s.cfg.Classes, s.cfg.ClassFractions, s.rng.Float64())
		s.sendRequest(a, class, "", class.DeadlineS)
		next()
	}
	s.after(1+a.From.Seconds()+s.rng.ExpFloat64()*mean/a.Rate, ask)
}

// sendRequest sends a try of an account through one of its ingresses: most of them through the same one for some seconds.
func (s *Sim) sendRequest(a testbed.Account, class policy.Class, first string, left float64) {
	s.nextID++
	id := fmt.Sprint("r", s.nextID)
	first = cmp.Or(first, id)
	if s.clientRequests[first] == nil {
		s.clientRequests[first] = &clientRequest{firstSentAt: s.Hist.Now()}
	}
	s.clientRequests[first].tries++
	busy := int(peerprotocol.HashPoint(a.Name)%1e6) + int(s.now/7) // another one for each account
	i := a.First + busy%a.Spread
	if s.rng.Float64() < 0.4 {
		i = a.First + s.rng.IntN(a.Spread)
	}
	forwarder := s.forwarders[i]
	if !forwarder.running() && s.now > forwarder.downAt+2.5 { // the front has noticed
		forwarder = s.forwarders[a.First+(i-a.First+1)%a.Spread]
	}
	forwarder.handleRequest(policy.Request{ID: id, Class: class.Name, Plan: a.Plan, Account: a.Name, FirstGateway: a.First, GatewayCount: a.Spread,
		Units: float64(s.cfg.Units[class.Name])}, first, left)
}

const maxRetries = 2

// clientRequest is what a client knows of something that it asks for: when it first did, and how often.
type clientRequest struct {
	firstSentAt time.Duration
	tries       int
}

// retryLater has the client of a refused try come once more, if it has time left.
func (s *Sim) retryLater(t *oracle.Request) {
	class := s.class(t.Class)
	x := s.clientRequests[t.OriginalID]
	if x == nil || x.tries > maxRetries {
		delete(s.clientRequests, t.OriginalID)
		return
	}
	left := class.DeadlineS - (s.Hist.Now() - x.firstSentAt).Seconds()
	if left < 0.05 {
		return
	}
	if a, ok := s.accounts[t.Account]; ok && !a.Once {
		s.sendRequest(a, class, t.OriginalID, left)
	}
}

// Run plays the whole run, and some seconds more for all to be led again, and has the auditor judge.
func (s *Sim) Run() *oracle.Report {
	for _, a := range s.cfg.Accounts {
		s.startAccount(a)
	}
	for _, x := range s.cfg.Faults {
		s.after(x.At.Seconds(), func() { s.injectFault(x) })
	}
	if s.cfg.Overload.Enabled {
		s.recordLoadLevels()
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if s.now = e.at; s.now > s.cfg.LengthS+12 {
			break
		}
		e.do()
	}
	if s.cfg.Planners > 0 {
		for _, forwarder := range s.forwarders { // long after the last fault
			if led, _ := forwarder.core.CellCounts(); led != s.params.Cells {
				s.addViolation("everybody is led", "forwarder %d follows a leader in %d cells", forwarder.number, led)
			}
		}
	}
	rep := oracle.Check(s.Hist, s.OracleConfig())
	rep.PeerMessages, rep.DroppedPeerMessages, rep.PeerMessageKinds = s.PeerMessages, s.DroppedPeerMessages, s.PeerMessageKinds
	rep.Handshakes = s.Handshakes
	for rule, n := range s.violationCounts {
		rep.ViolationCounts[rule] += n
	}
	if s.firstViolation != "" {
		rep.Violations = append(rep.Violations, oracle.Violation{Rule: strings.SplitN(s.firstViolation, ":", 2)[0], Detail: s.firstViolation})
	}
	return rep
}

// OracleConfig are those that a run is judged by. Of one level no slack of quotas is stated.
func (s *Sim) OracleConfig() oracle.Config {
	quota, caps := 0.0, 0.0
	if s.cfg.Planners > 0 {
		quota, caps = testbed.QuotaSlack, 2
	}
	quota, caps = cmp.Or(s.cfg.QuotaSlack, quota), cmp.Or(s.cfg.ConcurrencyFactor, caps)
	var homes map[string]oracle.GatewayRange
	if s.cfg.Planners == 0 && s.cfg.QuotaSlack >= 0 {
		homes = testbed.Homes(s.cfg.Accounts)
	}
	peak := s.cfg.Peak
	if peak.To > 0 { // clients begin after a second
		peak.From, peak.To = peak.From+time.Second, peak.To+time.Second
	}
	var stated *oracle.LoadSheddingBounds
	if s.cfg.MeasureOverload && s.cfg.Overload.Enabled && s.cfg.Peak.To > 0 {
		stated = &s.cfg.LoadSheddingBounds
	}
	return oracle.Config{LoadShedding: stated, Overload: s.cfg.MeasureOverload, Peak: peak, Homes: homes, Gateways: s.cfg.Forwarders, Classes: s.cfg.Classes, Plans: s.cfg.Plans, DrainGraceS: 0.25, AnswerGraceS: 0.1, MaxOverlapS: 0.005, HardLimitSlackS: 0.15, LargestRequest: 6, ConcurrencyFactor: caps, MaxAttempts: testbed.MaxAttempts, QuotaSlack: quota, QuotaSlackS: testbed.QuotaSeconds(s.cfg.Exact, s.cfg.Classes),
		ClockRate: MaxClockRate, SlowStartFactor: s.cfg.Node.FallMultiple, SlowStartWindowS: s.cfg.Node.FallS, SlowStartSlack: testbed.SlowStartSlack, MinOccasions: s.cfg.MinOccasions}
}

const loadLevelIntervalS = 0.25

// recordLoadLevels records what ingresses, or cells, hold of overload, until the run ends.
func (s *Sim) recordLoadLevels() {
	var of []float64
	for _, forwarder := range s.forwarders {
		if forwarder.module != nil {
			of = append(of, forwarder.module.Shedder().Level())
		}
	}
	for _, planner := range s.planners {
		if planner.core != nil && !planner.paused {
			of = append(of, planner.core.ShedLevels(planner.now())...)
		}
	}
	s.Hist.AddLoadLevels(of)
	if s.now < s.cfg.LengthS {
		s.after(loadLevelIntervalS, s.recordLoadLevels)
	}
}
