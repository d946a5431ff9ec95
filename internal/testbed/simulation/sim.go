// Package simulation runs whole fleets in virtual time: the decision parts as they are (the module, forwarders' cores, planners'
// hosts) with clocks that differ and drift, the testbed's own backends, faults and oracle, and a seeded schedule. One seed
// is one run, to the letter, and a run takes a fraction of its time. What sockets do to a fleet it does not show.
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

// Config is one run.
type Config struct {
	Zones                              int // see lab.FleetConfig
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
	MinOccasions                       map[string]int // see audit.Rules
	PeerLoss                           float64        // of messages between ingresses, at all times; 0 stands for 3%
	Exact                              bool           // see lab.FleetConfig
	QuotaSlack                         float64        // of the rule on quotas; 0: lab.QuotaSlack in two levels, not judged in one
	ConcurrencyFactor                  float64        // of the rule on caps; 0: 2 in two levels, not judged in one
	Seed                               uint64
	Overload                           loadshed.Config // of ingresses
	MeasureOverload                    bool            // see lab.FleetConfig
	Peak                               oracle.Peak
	LoadSheddingBounds                 oracle.LoadSheddingBounds
	Trace                              func(decider int, d reason.Decision) // told of each decision of an ingress, in two levels of a planner, if not nil; true times
}

// Sim is the world. True time is t; each party has its own clock.
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
	nextNode            int
	nextID              int
	peerPartition       testbed.PacketConditions // of datagrams between ingresses of different halves
	packetConditions    testbed.PacketConditions // of all
	misreportingIngress int                      // an ingress that lies of overload, from 1; 0: none
	discoveryDelayS     float64                  // how late the roster tells
	floodFactors        map[string]float64
	accounts            map[string]testbed.Account
	clientRequests      map[string]*clientRequest // by first try; as many as the run has
	violationCounts     map[string]int
	firstViolation      string
	LeaderObservations  int             // moments at which a cell was found led: that fencing was looked at
	operatorNodes       map[string]bool // nodes on which operators are at work
	PeerMessages        int             // between ingresses that came, and of these, beyond what one takes in
	DroppedPeerMessages int
	Handshakes          int            // connections to nodes that were opened
	PeerMessageKinds    map[string]int // of messages sent between ingresses
	Cordoned            int            // nodes that operators took out with a yes
}

func (s *Sim) addViolation(rule, format string, args ...any) {
	if s.violationCounts[rule]++; s.firstViolation == "" {
		s.firstViolation = fmt.Sprintf("%.3f %s: ", s.now, rule) + fmt.Sprintf(format, args...)
	}
}

// New makes a fleet that has just been started.
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
	clocks := func() clock { return clock{s.rng.Float64() * 100, 1 + 0.04*(s.rng.Float64()-0.5)} }
	for n := range cfg.Planners {
		planner := &simPlanner{sim: s, number: n, clock: clocks()}
		s.planners = append(s.planners, planner)
		planner.start()
		s.links = append(s.links, nil)
		for f := range cfg.Forwarders {
			s.links[n] = append(s.links[n], &simLink{sim: s, plannerIndex: n, forwarderIndex: f})
		}
	}
	for n := range cfg.Forwarders {
		forwarder := &simForwarder{sim: s, number: n, clock: clocks()}
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

// settings are the module's, for gateway me of so many.
func (s *Sim) settings(me, gateways int, peers bool) policy.Settings {
	return policy.Settings{Self: me, Gateways: gateways, Classes: s.cfg.Classes, Plans: s.cfg.Plans, MaxRequestUnits: 6, PeerMessages: peers, PeerMessageRate: peerMessagesPerS,
		LoadShedding: s.cfg.Overload, CancelAllowed: true, RetryAfterAllowed: true, MaxAttempts: testbed.MaxAttempts, MaxRetryAfterS: 1, LoadReportInResponse: true, ResponseSlackS: 0.02, SlowStartMinFraction: testbed.StatedSlowStartMinFraction,
		SlowStartS: testbed.StatedSlowStartS, CollapseMultiple: testbed.StatedMultiple, CollapseWindowS: testbed.StatedFallS, MinBatchIntervalS: 0.004, Zone: "a"}
}

// checkLeaders is the heart of fencing: no cell has two planners that may decide now.
func (s *Sim) checkLeaders() {
	for c := range s.params.Cells {
		n := 0
		for _, planner := range s.planners {
			if !planner.paused && planner.core != nil && planner.core.IsLeader(planner.now(), c) {
				n++
			}
		}
		if n > 1 {
			s.addViolation("one leader", "cell %d has %d", c, n)
		}
		s.LeaderObservations += n
	}
}

// What follows carries actions out, whichever process decided on them.

func (s *Sim) class(name string) policy.Class {
	for _, c := range s.cfg.Classes {
		if c.Name == name {
			return c
		}
	}
	return policy.Class{}
}

// countPeerMessage counts what messages between ingresses are for, by the first record that says most.
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
