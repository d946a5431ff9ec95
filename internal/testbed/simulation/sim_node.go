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

// simNode is a node with one ID over all its restarts.
type simNode struct {
	sim          *Sim
	id           string
	model        *node.Model // nil while it is down
	incarnation  int
	startedAt    float64                // true time; 0: long before the run
	cut          [2]bool                // network cut from forwarders of even and of odd numbers
	openAttempts map[uint64]*simAttempt // by handle
	lastHandle   uint64
	listed       bool    // running and not draining
	wakeAt       float64 // true time of the next call of the model; infinite: none is scheduled
}

// addNode adds a node and starts it.
func (s *Sim) addNode(cold bool) *simNode {
	s.lastNodeNumber++
	n := &simNode{sim: s, id: fmt.Sprint("z", s.lastNodeNumber)}
	s.nodes = append(s.nodes, n)
	n.start(cold)
	return n
}

// start starts the node: cold, or warm, as one that has been running for long.
func (n *simNode) start(cold bool) {
	s := n.sim
	startedAt, historyStart := -1e6, -1e6*time.Second
	if n.startedAt = 0; cold {
		startedAt, historyStart = s.now, s.Hist.Now()
		n.startedAt = s.now
	}
	cfg := s.cfg.Node
	cfg.Zone = testbed.ZoneOf(n.id, s.cfg.Zones)
	n.incarnation = s.Hist.AddIncarnation(oracle.Incarnation{Node: n.id, StartedAt: historyStart, Capacity: float64(cfg.Cores) * cfg.Speed, WarmUpFrom: cfg.SlowStartMinFraction, WarmUpS: cfg.SlowStartS})
	n.openAttempts, n.wakeAt, n.listed = map[uint64]*simAttempt{}, math.Inf(1), true
	n.model = node.New(cfg, s.keys, s.rng.Uint64(), startedAt, n)
	n.model.SetConditions(s.cfg.NodeConditions)
	n.notify(policy.Up)
}

// stop ends the node as a crash does. how names the cause in the history.
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

// withModel calls f with the model, if the node is up, and schedules the time at which the model has to advance next.
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

// Began implements node.Observer.
func (n *simNode) Began(_ float64, a *node.Attempt, work float64, repeat bool) {
	n.sim.Hist.AttemptStarted(n.openAttempts[a.Handle].record, work, repeat)
}

// Answer implements node.Observer.
func (n *simNode) Answer(_ float64, a *node.Attempt, f node.Fate, load float64) {
	attempt := n.openAttempts[a.Handle]
	status := policy.Error
	switch f {
	case node.Served, node.Late, node.Copy, node.AbsurdLoad:
		status = policy.OK
		n.sim.Hist.AttemptAnswered(attempt.record)
	case node.Full:
		status = policy.Rejected
	case node.ResetUnrun, node.ResetRan, node.ResetMid:
		status = policy.Reset
	}
	attempt.load = &policy.Load{InFlight: -1, Queue: -1, Utilization: load, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}
	if n.isCut(attempt.forwarder.number) {
		return
	}
	n.sim.after(n.sim.networkDelay(), func() { attempt.forwarder.finish(attempt, status) })
}

// Ended implements node.Observer.
func (n *simNode) Ended(_ float64, a *node.Attempt, how string) {
	attempt := n.openAttempts[a.Handle]
	if attempt == nil {
		return
	}
	delete(n.openAttempts, a.Handle)
	n.sim.Hist.AttemptEnded(attempt.record, how)
	if how == "down" {
		n.sim.after(n.sim.networkDelay(), func() { attempt.forwarder.finish(attempt, policy.Reset) })
	}
}

// Collapsed implements node.Observer.
func (n *simNode) Collapsed(float64) {
	s := n.sim
	s.Hist.IncarnationCrashed(n.incarnation)
	s.Hist.AddFault("node " + n.id + " collapsed: too much work while cold")
	n.listed = false
	s.after(2, func() { n.notify(policy.Removed) })
}

// isCut reports whether the network between forwarder f and the node is cut.
func (n *simNode) isCut(f int) bool { return n.cut[f%2] }

// networkDelay draws the delay of a message: 0.2 to 2.2 ms, in seconds.
func (s *Sim) networkDelay() float64 { return 0.0002 + 0.002*s.rng.Float64() }

// notify reports a state of the node to all forwarders and planners through discovery, to each after a delay of its own.
func (n *simNode) notify(state policy.BackendState) {
	s := n.sim
	for _, forwarder := range s.forwarders {
		s.after(s.discoveryDelayS+0.05*s.rng.Float64(), func() { forwarder.handleEndpoint(n, state) })
	}
	for _, planner := range s.planners {
		s.after(s.discoveryDelayS+0.05*s.rng.Float64(), func() {
			if core := planner.core; core != nil {
				planner.runEvent(func() {
					if planner.core == core {
						core.UpdateBackends(planner.now(), []policy.Backend{n.backend(planner.clock, state)}, false)
					}
				})
			}
		})
	}
}

var stateNames = map[policy.BackendState]string{policy.Up: "in_service", policy.Draining: "terminating", policy.Removed: "terminated"}

// backend returns the node as an entry of the endpoint list, with times by clock c.
func (n *simNode) backend(c clock, state policy.BackendState) policy.Backend {
	e := policy.Backend{ID: n.id, Zone: testbed.ZoneOf(n.id, n.sim.cfg.Zones), State: state, Weight: 1}
	if n.startedAt > 0 {
		e.StartedAt = c.at(n.startedAt)
	}
	return e
}

// backends returns the endpoint list, with times by clock c. Nodes that are down or draining are not in it.
func (s *Sim) backends(c clock) (list []policy.Backend) {
	for _, n := range s.nodes {
		if n.listed {
			list = append(list, n.backend(c, policy.Up))
		}
	}
	return list
}

// node returns the node with an ID, nil if there is none.
func (s *Sim) node(id string) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// idOrEmpty returns the ID of the node, "" for nil.
func (n *simNode) idOrEmpty() string {
	if n == nil {
		return ""
	}
	return n.id
}
