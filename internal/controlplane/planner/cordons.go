package planner

import (
	"fmt"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// errIDTooLong rejects a backend id that the transport would truncate. The cordon would then apply to another backend, or to none.
var errIDTooLong = fmt.Errorf("a backend id of more than %d bytes can't be cordoned", transport.MaxNameBytes)

// cordonOverlay applies the operators' cordons to the backends that the modules see. Package cordon ensures that a cordon holds whichever
// planner leads.
type cordonOverlay struct {
	coordinator  *cordon.Coordinator
	cordonedAt   map[string]float64 // by backend: when this planner learned of its cordon; at most cordon.MaxRegisters
	uncordonedAt map[string]float64 // by backend: when this planner learned that the cordon was lifted
}

func newCordonOverlay(cfg Config, core *Core) cordonOverlay {
	return cordonOverlay{
		coordinator:  cordon.NewCoordinator(cfg.Number, cfg.Forwarders, cfg.Majority(), cfg.LeaseS, cordonOutput{core}),
		cordonedAt:   map[string]float64{},
		uncordonedAt: map[string]float64{},
	}
}

// apply returns a backend as the modules see it: draining while it is cordoned. The backend may have been restarted while it was
// cordoned, so once uncordoned it counts as started at that moment, until discovery reports a start after the cordon. cordontable.Table
// has the same rule for an ingress without planners; it works on discovery's endpoint list, in milliseconds, and keeps no entry for a
// terminated backend.
func (o *cordonOverlay) apply(backend policy.Backend) policy.Backend {
	cordonedAt, known := o.cordonedAt[backend.ID]
	uncordonedAt, uncordoned := o.uncordonedAt[backend.ID]
	switch {
	case !known:
	case !uncordoned && backend.State == policy.Up:
		backend.State = policy.Draining
	case uncordoned && backend.StartedAt <= cordonedAt:
		backend.StartedAt = uncordonedAt
	}
	return backend
}

// update records the current state of a backend's cordon register.
func (o *cordonOverlay) update(now float64, id string, cordoned bool) {
	_, known := o.cordonedAt[id]
	_, uncordoned := o.uncordonedAt[id]
	switch {
	case cordoned && (!known || uncordoned):
		o.cordonedAt[id] = now
		delete(o.uncordonedAt, id)
	case !cordoned && known:
		o.uncordonedAt[id] = now
	}
}

// SetCordoned starts an operator's call to cordon or uncordon a backend. A later Tick calls done within timeoutS seconds: with nil as
// soon as the new state holds whichever planner leads, else with an error of package cordon. If SetCordoned itself returns an error, done
// is not called.
func (c *Core) SetCordoned(now, timeoutS float64, id string, cordoned bool, done func(error)) error {
	c.advanceTo(now)
	if len(id) > transport.MaxNameBytes {
		return errIDTooLong
	}
	if _, listed := c.backends[id]; !listed && !c.cordons.coordinator.Registers().Get(id).Cordoned {
		return cordon.ErrUnknownBackend
	}
	return c.cordons.coordinator.SetCordoned(now, timeoutS, id, cordoned, done)
}

// Cordoned returns the ids of the backends that this planner knows to be cordoned, sorted.
func (c *Core) Cordoned() []string { return c.cordons.coordinator.Registers().Cordoned() }

// cordonOutput implements cordon.Output with messages to forwarders.
type cordonOutput struct{ core *Core }

// ReadRegister implements cordon.Output.
func (o cordonOutput) ReadRegister(forwarder int, operationID uint64, id string) {
	o.core.out.SendToForwarder(forwarder, transport.Message{Kind: transport.KindCordonRead, Handle: operationID, Name: id})
}

// WriteRegister implements cordon.Output.
func (o cordonOutput) WriteRegister(forwarder int, operationID uint64, id string, state cordon.State) {
	o.core.out.SendToForwarder(forwarder, transport.Message{Kind: transport.KindCordonWrite, Handle: operationID, Name: id,
		Epoch: state.Version, Flag: state.Cordoned})
}

// RegisterChanged implements cordon.Output. It passes the change to the modules at once.
func (o cordonOutput) RegisterChanged(id string, state cordon.State) {
	core := o.core
	core.cordons.update(core.now, id, state.Cordoned)
	core.out.Log("cordon register changed", "backend", id, "cordoned", state.Cordoned, "version", state.Version)
	if backend, listed := core.backends[id]; listed {
		core.updateModules([]policy.Backend{core.cordons.apply(backend)}, false)
	}
}
