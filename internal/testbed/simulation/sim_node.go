package simulation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// simNode is one node under its id, through all its lives.
type simNode struct {
	sim          *Sim
	id           string
	model        *node.Model // nil while it is down
	incarnation  int
	startedAt    float64 // true time; 0: long ago
	cut          [2]bool // from forwarders of even and of odd numbers
	openAttempts map[uint64]*simAttempt
	lastHandle   uint64
	listed       bool // runs, and does not drain
	wakeAt       float64
}

func (s *Sim) addNode(cold bool) *simNode {
	s.nextNode++
	n := &simNode{sim: s, id: fmt.Sprint("z", s.nextNode)}
	s.nodes = append(s.nodes, n)
	n.start(cold)
	return n
}

func (n *simNode) start(cold bool) {
	s := n.sim
	born, started := -1e6, -1e6*time.Second
	if n.startedAt = 0; cold {
		born, started = s.now, s.Hist.Now()
		n.startedAt = s.now
	}
	cfg := s.cfg.Node
	cfg.Zone = testbed.ZoneOf(n.id, s.cfg.Zones)
	n.incarnation = s.Hist.AddIncarnation(oracle.Incarnation{Node: n.id, StartedAt: started, Capacity: float64(cfg.Cores) * cfg.Speed, WarmUpFrom: cfg.SlowStartMinFraction, WarmUpS: cfg.SlowStartS})
	n.openAttempts, n.wakeAt, n.listed = map[uint64]*simAttempt{}, math.Inf(1), true
	n.model = node.New(cfg, s.keys, s.rng.Uint64(), born, n)
	n.model.SetConditions(s.cfg.NodeConditions)
	n.notify(policy.Up)
}

// stop ends the node as a crash would.
func (n *simNode) stop(how string) {
	if n.model == nil {
		return
	}
	n.model, n.listed = nil, false
	for _, h := range slices.Sorted(maps.Keys(n.openAttempts)) {
		attempt := n.openAttempts[h]
		delete(n.openAttempts, h)
		n.sim.Hist.AttemptEnded(attempt.record, how)
		n.sim.after(n.sim.networkDelay(), func() { attempt.forwarder.finish(attempt, policy.Reset) })
	}
}

// withModel runs something on the model and sees to it that it is woken in time.
func (n *simNode) withModel(f func(m *node.Model)) {
	if n.model == nil {
		return
	}
	m := n.model
	f(m)
	if n.model != m {
		return
	}
	if next := m.Next(); next < n.wakeAt {
		n.wakeAt = next
		n.sim.after(max(next-n.sim.now, 0), func() {
			if n.model == m && n.wakeAt <= n.sim.now {
				n.wakeAt = math.Inf(1)
				n.withModel(func(m *node.Model) { m.Advance(n.sim.now) })
			}
		})
	}
}

// Began implements node.Out.
func (n *simNode) Began(_ float64, a *node.Attempt, work float64, repeat bool) {
	n.sim.Hist.AttemptStarted(n.openAttempts[a.Handle].record, work, repeat)
}

// Answer implements node.Out.
func (n *simNode) Answer(_ float64, a *node.Attempt, f node.Fate, load float64) {
	x := n.openAttempts[a.Handle]
	status := policy.Error
	switch f {
	case node.Served, node.Late, node.Copy, node.AbsurdLoad:
		status = policy.OK
		n.sim.Hist.AttemptAnswered(x.record)
	case node.Full:
		status = policy.Rejected
	case node.ResetUnrun, node.ResetRan, node.ResetMid:
		status = policy.Reset
	}
	x.load = &policy.Load{InFlight: -1, Queue: -1, Utilization: load, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}
	if n.isCut(x.forwarder.number) {
		return
	}
	n.sim.after(n.sim.networkDelay(), func() { x.forwarder.finish(x, status) })
}

// Ended implements node.Out.
func (n *simNode) Ended(_ float64, a *node.Attempt, how string) {
	x := n.openAttempts[a.Handle]
	if x == nil {
		return
	}
	delete(n.openAttempts, a.Handle)
	n.sim.Hist.AttemptEnded(x.record, how)
	if how == "down" {
		n.sim.after(n.sim.networkDelay(), func() { x.forwarder.finish(x, policy.Reset) })
	}
}

// Fell implements node.Out.
func (n *simNode) Fell(float64) {
	s := n.sim
	s.Hist.IncarnationCrashed(n.incarnation)
	s.Hist.AddFault("node " + n.id + " fell over")
	n.listed = false
	s.after(2, func() { n.notify(policy.Removed) })
}

func (n *simNode) isCut(f int) bool { return n.cut[f%2] }

// networkDelay is how long a message takes.
func (s *Sim) networkDelay() float64 { return 0.0002 + 0.002*s.rng.Float64() }

// notify has the roster tell all parties of a node, each at a time of its own.
func (n *simNode) notify(state policy.BackendState) {
	s := n.sim
	for _, forwarder := range s.forwarders {
		s.after(s.discoveryDelayS+0.05*s.rng.Float64(), func() { forwarder.handleEndpoint(n, state) })
	}
	for _, planner := range s.planners {
		s.after(s.discoveryDelayS+0.05*s.rng.Float64(), func() {
			if host := planner.core; host != nil {
				planner.runEvent(func() {
					if planner.core == host {
						host.UpdateBackends(planner.now(), []policy.Backend{n.backend(planner.clock, state)}, false)
					}
				})
			}
		})
	}
}

var stateNames = map[policy.BackendState]string{policy.Up: "in_service", policy.Draining: "terminating", policy.Removed: "terminated"}

// backend is a node as a party sees it: times by its own clock.
func (n *simNode) backend(c clock, state policy.BackendState) policy.Backend {
	e := policy.Backend{ID: n.id, Zone: testbed.ZoneOf(n.id, n.sim.cfg.Zones), State: state, Weight: 1}
	if n.startedAt > 0 {
		e.StartedAt = c.at(n.startedAt)
	}
	return e
}

// backends is the whole backends by a clock, those that drain not in it.
func (s *Sim) backends(c clock) (list []policy.Backend) {
	for _, n := range s.nodes {
		if n.listed {
			list = append(list, n.backend(c, policy.Up))
		}
	}
	return list
}

func (s *Sim) node(id string) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (n *simNode) idOrEmpty() string {
	if n == nil {
		return ""
	}
	return n.id
}
