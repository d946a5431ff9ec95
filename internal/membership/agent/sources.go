package agent

import (
	"context"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/membership/merge"
)

// stateNames maps the merged list's states to the roster's words.
var stateNames = map[merge.State]string{merge.Up: discovery.InService, merge.Draining: discovery.Terminating, merge.Removed: discovery.Terminated}

// stateByName is the inverse of stateNames.
var stateByName = map[string]merge.State{discovery.InService: merge.Up, discovery.Terminating: merge.Draining, discovery.Terminated: merge.Removed}

// watchRoster follows the roster until ctx ends.
func (a *Agent) watchRoster(ctx context.Context) {
	w := discovery.NewWatcher(a.cfg.Roster, -1,
		func(list discovery.List) { a.post(func(now float64) { a.applyRoster(now, list) }) },
		func(message string, fields ...any) { a.log.Warn("roster: "+message, fields...) })
	w.OnAlive = func() { a.post(func(now float64) { a.publish(a.merger.MarkResumed(now, rosterName)) }) }
	w.Run(ctx, nil)
}

// applyRoster takes in the roster's list, or a change of it.
func (a *Agent) applyRoster(now float64, list discovery.List) {
	var nodes []merge.Node
	for _, e := range list.Endpoints {
		nodes = append(nodes, toNode(e))
	}
	a.changed = true // reports are kept as well
	if list.Full {
		a.publish(a.merger.ReplaceAll(now, rosterName, nodes))
	} else {
		a.publish(a.merger.Update(now, rosterName, nodes))
	}
}

// toNode is an endpoint of the roster as a report.
func toNode(e discovery.Endpoint) merge.Node {
	return merge.Node{Identity: merge.Identity{ID: e.ID, Addr: e.Addr, StartedMS: e.StartedMS}, State: stateByName[e.State],
		Zone: e.Zone, Cell: e.Cell, Weight: e.Weight}
}

// toEndpoint is a merged entry in the roster's form.
func toEndpoint(e merge.Entry) discovery.Endpoint {
	return discovery.Endpoint{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Cell: e.Cell, State: stateNames[e.State], Weight: e.Weight, StartedMS: e.StartedMS}
}

// etcdSink passes what the etcd source reports to the loop. It implements etcdsource.Sink.
type etcdSink struct{ agent *Agent }

// ReplaceAll implements etcdsource.Sink.
func (s etcdSink) ReplaceAll(nodes []merge.Node, reason string) {
	s.agent.log.Info("etcd read in full", "nodes", len(nodes), "reason", reason)
	s.agent.post(func(now float64) {
		s.agent.changed = true
		s.agent.publish(s.agent.merger.ReplaceAll(now, etcdName, nodes))
	})
}

// Update implements etcdsource.Sink.
func (s etcdSink) Update(nodes []merge.Node) {
	s.agent.post(func(now float64) {
		s.agent.changed = true
		s.agent.publish(s.agent.merger.Update(now, etcdName, nodes))
	})
}

// Resumed implements etcdsource.Sink.
func (s etcdSink) Resumed() {
	s.agent.post(func(now float64) { s.agent.publish(s.agent.merger.MarkResumed(now, etcdName)) })
}

// Interrupted implements etcdsource.Sink. It only logs: most interruptions are short, so the source is not marked with
// merge.Merger.MarkInterrupted but becomes stale by Tick, once its silence exceeds its StaleAfterS.
func (s etcdSink) Interrupted(err error) { s.agent.log.Warn("etcd watch interrupted", "error", err) }

// InvalidValue implements etcdsource.Sink.
func (s etcdSink) InvalidValue(key, reason string) {
	s.agent.log.Error("invalid value in etcd", "key", key, "reason", reason)
}
