// Package simulation runs whole fleets in virtual time. It runs the real decision code: the module, the forwarders' cores and the planners'
// cores. Their clocks differ and drift. The backends, faults and oracle are the testbed's, and a seed determines the schedule: the same seed
// always gives exactly the same run. A run takes a fraction of the time that it simulates. The effects of sockets are not simulated.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// Config describes one run.
type Config struct {
	Zones                              int // see testbed.FleetConfig
	Forwarders, Planners, Cells, Nodes int // with Planners 0 the forwarders are one-program ingresses
	Classes                            []policy.Class
	Plans                              []policy.Plan
	Node                               node.Config
	NodeConditions                     node.Conditions
	Accounts                           []testbed.Account
	ClassFractions                     map[string]float64
	Units                              map[string]int
	LengthS                            float64
	Faults                             []testbed.Fault
	MinOccasions                       map[string]int // see oracle.Config
	PeerLoss                           float64        // fraction of the messages between ingresses that is always lost; 0 means 3%
	Exact                              bool           // see testbed.FleetConfig
	// QuotaSlack is of the quota rule, in units. 0: testbed.QuotaSlack in two levels, not checked in one. Below 0: neither quotas nor shared
	// counts are checked.
	QuotaSlack         float64
	ConcurrencyFactor  float64 // of the rule on concurrency limits; 0: 2 in two levels, not checked in one
	Seed               uint64
	Overload           loadshed.Config // of ingresses and planners
	MeasureOverload    bool            // see testbed.FleetConfig
	Peak               oracle.Peak
	LoadSheddingBounds oracle.LoadSheddingBounds
	// Trace, if not nil, is called for each decision, with the number of the ingress that made it, in two levels of the planner. d.At is true time.
	Trace func(decider int, d reason.Decision)
}

// Sim is one run. Its times are true times in seconds, if nothing else is said; each forwarder and planner has its own clock.
type Sim struct {
	cfg                 Config
	Hist                *oracle.History
	rng                 *rand.Rand
	now                 float64
	seq                 int
	queue               queue
	params              topology.Params
	planners            []*simPlanner
	forwarders          []*simForwarder
	links               [][]*simLink // by planner and forwarder
	nodes               []*simNode   // in the order of their first start
	keys                *node.Keys
	lastNodeNumber      int
	lastRequestNumber   int
	peerPartition       testbed.PacketConditions // of datagrams between ingresses of even and of odd numbers
	packetConditions    testbed.PacketConditions // of all datagrams between ingresses
	misreportingIngress int                      // number from 1 of the ingress that sends false load-shedding levels; 0: none
	discoveryDelayS     float64                  // by which discovery reports changes of nodes late
	floodFactors        map[string]float64       // on the request rate, by account
	accounts            map[string]testbed.Account
	clientRequests      map[string]*clientRequest // by ID of the original request; deleted only after the last retry
	violationCounts     map[string]int
	firstViolation      string
	LeaderObservations  int             // leaders that checkLeaders found, over all cells and calls; 0: fencing was never checked
	operatorNodes       map[string]bool // nodes that an operator has tried to cordon and not yet uncordoned
	PeerMessages        int             // that reached an ingress
	DroppedPeerMessages int             // of PeerMessages, those beyond peerMessagesPerS
	Handshakes          int             // opened connections to nodes
	PeerMessageKinds    map[string]int  // sent messages between ingresses, by kind
	Cordoned            int             // successful cordons by operators
}

// addViolation counts a rule violation that the simulation itself detects, and keeps the description of the first one.
func (s *Sim) addViolation(rule, format string, args ...any) {
	if s.violationCounts[rule]++; s.firstViolation == "" {
		s.firstViolation = fmt.Sprintf("%.3f %s: ", s.now, rule) + fmt.Sprintf(format, args...)
	}
}

// New returns a run whose forwarders and planners have just been started. Its nodes are warm.
func New(cfg Config) *Sim {
	s := &Sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), violationCounts: map[string]int{}, keys: node.NewKeys(), floodFactors: map[string]float64{}, clientRequests: map[string]*clientRequest{}, operatorNodes: map[string]bool{}, PeerMessageKinds: map[string]int{}, accounts: map[string]testbed.Account{}}
	for _, a := range cfg.Accounts {
		s.accounts[a.Name] = a
	}
	s.Hist = oracle.NewHistoryWithClock(func() time.Duration { return time.Duration(s.now * float64(time.Second)) })
	if cfg.Planners > 0 {
		s.params = topology.Params{Name: "sim", Forwarders: cfg.Forwarders, Planners: cfg.Planners, Cells: cfg.Cells}
		if err := s.params.Check(); err != nil {
			panic(err)
		}
	}
	for range cfg.Nodes {
		s.addNode(false)
	}
	newClock := func() clock { return clock{s.rng.Float64() * 100, 1 + 0.04*(s.rng.Float64()-0.5)} }
	for n := range cfg.Planners {
		planner := &simPlanner{sim: s, number: n, clock: newClock()}
		s.planners = append(s.planners, planner)
		planner.start()
		s.links = append(s.links, nil)
		for f := range cfg.Forwarders {
			s.links[n] = append(s.links[n], &simLink{sim: s, plannerIndex: n, forwarderIndex: f})
		}
	}
	for n := range cfg.Forwarders {
		forwarder := &simForwarder{sim: s, number: n, clock: newClock()}
		s.forwarders = append(s.forwarders, forwarder)
		forwarder.start()
	}
	for n := range cfg.Planners {
		for f := range cfg.Forwarders {
			s.links[n][f].dial()
		}
	}
	return s
}

// settings returns the settings of the decision module for gateway self, from 0, of the given number of gateways.
func (s *Sim) settings(self, gateways int, peers bool) policy.Settings {
	return policy.Settings{Self: self, Gateways: gateways, Classes: s.cfg.Classes, Plans: s.cfg.Plans, MaxRequestUnits: 6, PeerMessages: peers, PeerMessageRate: peerMessagesPerS,
		LoadShedding: s.cfg.Overload, CancelAllowed: true, RetryAfterAllowed: true, MaxAttempts: testbed.MaxAttempts, MaxRetryAfterS: 1, LoadReportInResponse: true, ResponseSlackS: 0.02, SlowStartMinFraction: testbed.StatedSlowStartMinFraction,
		SlowStartS: testbed.StatedSlowStartS, CollapseMultiple: testbed.StatedFallMultiple, CollapseWindowS: testbed.StatedFallS, MinBatchIntervalS: 0.004, Zone: "a"}
}

// checkLeaders checks fencing: no cell may have two planners that lead it at the same time.
func (s *Sim) checkLeaders() {
	for cell := range s.params.Cells {
		leaders := 0
		for _, planner := range s.planners {
			if !planner.paused && planner.core != nil && planner.core.IsLeader(planner.now(), cell) {
				leaders++
			}
		}
		if leaders > 1 {
			s.addViolation("one leader", "cell %d has %d leaders", cell, leaders)
		}
		s.LeaderObservations += leaders
	}
}

// class returns the class of a name.
func (s *Sim) class(name string) policy.Class {
	for _, c := range s.cfg.Classes {
		if c.Name == name {
			return c
		}
	}
	return policy.Class{}
}

// countPeerMessage counts a message between ingresses by its kind: that of the first record with a question or an answer to one, else that of
// the last record.
func (s *Sim) countPeerMessage(data []byte) {
	_, _, recs, _, ok := peerprotocol.Parse(data, 0)
	kind := "items"
	for _, r := range recs {
		switch {
		case r.FromOwner && r.Requested > 0:
			kind = "answer to a question"
		case r.FromOwner:
			kind = "answer to a report"
		case r.Requested > 0:
			kind = "question"
		case r.LeaseS > 0:
			kind = "word of places"
		default:
			kind = "report"
		}
		if kind == "question" || kind == "answer to a question" {
			break
		}
	}
	if !ok {
		kind = "other"
	}
	s.PeerMessageKinds[kind]++
}
