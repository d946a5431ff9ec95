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

// startAccount schedules the requests of an account at exponentially distributed intervals, the first at the earliest 1 s into the run.
func (s *Sim) startAccount(a testbed.Account) {
	meanUnits := 0.0
	for _, c := range s.cfg.Classes {
		meanUnits += s.cfg.ClassFractions[c.Name] * float64(s.cfg.Units[c.Name])
	}
	floodAt := 1 + s.rng.Float64()*a.FloodEvery.Seconds()
	var send func()
	scheduleNext := func() {
		rate := a.Rate / meanUnits * cmp.Or(s.floodFactors[a.Name], 1)
		if a.FloodX > 0 && s.now > floodAt {
			rate *= a.FloodX
			if s.now > floodAt+a.FloodFor.Seconds() {
				floodAt = s.now + a.FloodEvery.Seconds()
			}
		}
		s.after(s.rng.ExpFloat64()/rate, send)
	}
	send = func() {
		if s.now > s.cfg.LengthS || a.To > 0 && s.now > 1+a.To.Seconds() {
			return
		}
		class := testbed.ClassOf(a, s.cfg.Classes, s.cfg.ClassFractions, s.rng.Float64())
		s.sendRequest(a, class, "", class.DeadlineS)
		scheduleNext()
	}
	s.after(1+a.From.Seconds()+s.rng.ExpFloat64()*meanUnits/a.Rate, send)
}

// sendRequest sends a request or a client retry of an account through one of its ingresses: 60% through the same one for 7 s, the others
// through a random one. originalID is the ID of the original request, "" for that request itself; leftS is the time to the deadline in
// seconds.
func (s *Sim) sendRequest(a testbed.Account, class policy.Class, originalID string, leftS float64) {
	s.lastRequestNumber++
	id := fmt.Sprint("r", s.lastRequestNumber)
	originalID = cmp.Or(originalID, id)
	if s.clientRequests[originalID] == nil {
		s.clientRequests[originalID] = &clientRequest{firstSentAt: s.Hist.Now()}
	}
	s.clientRequests[originalID].sent++
	preferred := int(peerprotocol.HashPoint(a.Name)%1e6) + int(s.now/7) // differs between accounts
	i := a.First + preferred%a.Spread
	if s.rng.Float64() < 0.4 {
		i = a.First + s.rng.IntN(a.Spread)
	}
	forwarder := s.forwarders[i]
	if !forwarder.running() && s.now > forwarder.downAt+2.5 { // the clients' load balancer has noticed
		forwarder = s.forwarders[a.First+(i-a.First+1)%a.Spread]
	}
	forwarder.handleRequest(policy.Request{ID: id, Class: class.Name, Plan: a.Plan, Account: a.Name, FirstGateway: a.First, GatewayCount: a.Spread,
		Units: float64(s.cfg.Units[class.Name])}, originalID, leftS)
}

// maxRetries is how often a client retries a rejected request.
const maxRetries = 2

// clientRequest is the state of a request at its client: when it was first sent, and how often it was sent, retries included.
type clientRequest struct {
	firstSentAt time.Duration
	sent        int
}

// retryLater retries a rejected request for its client, if it has retries and at least 50 ms left.
func (s *Sim) retryLater(t *oracle.Request) {
	class := s.class(t.Class)
	request := s.clientRequests[t.OriginalID]
	if request == nil || request.sent > maxRetries {
		delete(s.clientRequests, t.OriginalID)
		return
	}
	leftS := class.DeadlineS - (s.Hist.Now() - request.firstSentAt).Seconds()
	if leftS < 0.05 {
		return
	}
	if a, ok := s.accounts[t.Account]; ok && !a.NoRetries {
		s.sendRequest(a, class, t.OriginalID, leftS)
	}
}

// Run simulates the whole run, and then 12 s in which every cell has to get a leader again, and returns the oracle's report with the violations
// that the simulation itself has found.
func (s *Sim) Run() *oracle.Report {
	for _, a := range s.cfg.Accounts {
		s.startAccount(a)
	}
	for _, fault := range s.cfg.Faults {
		s.after(fault.At.Seconds(), func() { s.injectFault(fault) })
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
	report := oracle.Check(s.Hist, s.OracleConfig())
	report.PeerMessages, report.DroppedPeerMessages, report.PeerMessageKinds = s.PeerMessages, s.DroppedPeerMessages, s.PeerMessageKinds
	report.Handshakes = s.Handshakes
	for rule, n := range s.violationCounts {
		report.ViolationCounts[rule] += n
	}
	if s.firstViolation != "" {
		report.Violations = append(report.Violations, oracle.Violation{Rule: strings.SplitN(s.firstViolation, ":", 2)[0], Detail: s.firstViolation})
	}
	return report
}

// OracleConfig returns the bounds that the oracle checks the run against. For one level no quota slack is stated.
func (s *Sim) OracleConfig() oracle.Config {
	quota, caps := 0.0, 0.0
	if s.cfg.Planners > 0 {
		quota, caps = testbed.QuotaSlack, 2
	}
	quota, caps = cmp.Or(s.cfg.QuotaSlack, quota), cmp.Or(s.cfg.ConcurrencyFactor, caps)
	var gateways map[string]oracle.GatewayRange
	if s.cfg.Planners == 0 && s.cfg.QuotaSlack >= 0 {
		gateways = testbed.AccountGateways(s.cfg.Accounts)
	}
	peak := s.cfg.Peak
	if peak.To > 0 { // clients start after one second
		peak.From, peak.To = peak.From+time.Second, peak.To+time.Second
	}
	var bounds *oracle.LoadSheddingBounds
	if s.cfg.MeasureOverload && s.cfg.Overload.Enabled && s.cfg.Peak.To > 0 {
		bounds = &s.cfg.LoadSheddingBounds
	}
	return oracle.Config{LoadShedding: bounds, Overload: s.cfg.MeasureOverload, Peak: peak, AccountGateways: gateways, Gateways: s.cfg.Forwarders, Classes: s.cfg.Classes, Plans: s.cfg.Plans, DrainGraceS: 0.25, AnswerGraceS: 0.1, MaxOverlapS: 0.005, HardLimitSlackS: 0.15, LargestRequest: 6, ConcurrencyFactor: caps, MaxAttempts: testbed.MaxAttempts, QuotaSlack: quota, QuotaSlackS: testbed.QuotaSeconds(s.cfg.Exact, s.cfg.Classes),
		ClockRate: MaxClockRate, SlowStartFactor: s.cfg.Node.FallMultiple, SlowStartWindowS: s.cfg.Node.FallS, SlowStartSlack: testbed.SlowStartSlack, MinOccasions: s.cfg.MinOccasions}
}

// loadLevelIntervalS is the interval of recordLoadLevels, in seconds.
const loadLevelIntervalS = 0.25

// recordLoadLevels records the load-shedding levels of ingresses, or of cells, again and again until the run ends.
func (s *Sim) recordLoadLevels() {
	var levels []float64
	for _, forwarder := range s.forwarders {
		if forwarder.module != nil {
			levels = append(levels, forwarder.module.Shedder().Level())
		}
	}
	for _, planner := range s.planners {
		if planner.core != nil && !planner.paused {
			levels = append(levels, planner.core.ShedLevels(planner.now())...)
		}
	}
	s.Hist.AddLoadLevels(levels)
	if s.now < s.cfg.LengthS {
		s.after(loadLevelIntervalS, s.recordLoadLevels)
	}
}
