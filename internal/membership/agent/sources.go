package agent

import (
	"context"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/membership/merge"
)

// stateNames maps the states of the merged list to those of the discovery protocol.
var stateNames = map[merge.State]string{merge.Up: discovery.InService, merge.Draining: discovery.Terminating, merge.Removed: discovery.Terminated}

// stateByName is the inverse of stateNames.
var stateByName = map[string]merge.State{discovery.InService: merge.Up, discovery.Terminating: merge.Draining, discovery.Terminated: merge.Removed}

// watchDiscovery follows the discovery service until ctx ends.
func (a *Agent) watchDiscovery(ctx context.Context) {
	w := discovery.NewWatcher(a.cfg.Discovery, -1,
		func(list discovery.List) { a.post(func(now float64) { a.applyDiscoveryList(now, list) }) },
		func(message string, fields ...any) { a.log.Warn("discovery: "+message, fields...) })
	w.OnAlive = func() { a.post(func(now float64) { a.publish(a.merger.MarkResumed(now, discoveryName)) }) }
	w.Run(ctx, nil)
}

// applyDiscoveryList applies a full list of the discovery service, or a change of it.
func (a *Agent) applyDiscoveryList(now float64, list discovery.List) {
	var nodes []merge.Node
	for _, e := range list.Endpoints {
		nodes = append(nodes, toNode(e))
	}
	a.unsaved = true // the state includes reports, also those that change no entry
	if list.Full {
		a.publish(a.merger.ReplaceAll(now, discoveryName, nodes))
	} else {
		a.publish(a.merger.Update(now, discoveryName, nodes))
	}
}

// toNode converts an endpoint of the discovery protocol to a report.
func toNode(e discovery.Endpoint) merge.Node {
	return merge.Node{Identity: merge.Identity{ID: e.ID, Addr: e.Addr, StartedMS: e.StartedMS}, State: stateByName[e.State],
		Zone: e.Zone, Cell: e.Cell, Weight: e.Weight}
}

// toEndpoint converts an entry of the merged list to an endpoint of the discovery protocol.
func toEndpoint(e merge.Entry) discovery.Endpoint {
	return discovery.Endpoint{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Cell: e.Cell, State: stateNames[e.State], Weight: e.Weight, StartedMS: e.StartedMS}
}

// etcdSink passes the reports of the etcd source to the loop. It implements etcdsource.Sink.
type etcdSink struct{ agent *Agent }

// ReplaceAll implements etcdsource.Sink.
func (s etcdSink) ReplaceAll(nodes []merge.Node, reason string) {
	s.agent.log.Info("etcd read in full", "nodes", len(nodes), "reason", reason)
	s.agent.post(func(now float64) {
		s.agent.unsaved = true
		s.agent.publish(s.agent.merger.ReplaceAll(now, etcdName, nodes))
	})
}

// Update implements etcdsource.Sink.
func (s etcdSink) Update(nodes []merge.Node) {
	s.agent.post(func(now float64) {
		s.agent.unsaved = true
		s.agent.publish(s.agent.merger.Update(now, etcdName, nodes))
	})
}

// Resumed implements etcdsource.Sink.
func (s etcdSink) Resumed() {
	s.agent.post(func(now float64) { s.agent.publish(s.agent.merger.MarkResumed(now, etcdName)) })
}

// Interrupted implements etcdsource.Sink. It only logs: most interruptions are short, so it does not call merge.Merger.MarkInterrupted.
// Tick marks the source stale once its silence exceeds its StaleAfterS.
func (s etcdSink) Interrupted(err error) { s.agent.log.Warn("etcd watch interrupted", "error", err) }

// InvalidValue implements etcdsource.Sink.
func (s etcdSink) InvalidValue(key, reason string) {
	s.agent.log.Error("invalid value in etcd", "key", key, "reason", reason)
}
