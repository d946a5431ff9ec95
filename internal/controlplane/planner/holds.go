package planner

import (
	"fmt"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// errIDTooLong refuses what would reach forwarders as another id: a yes to it would bind nobody.
var errIDTooLong = fmt.Errorf("an id of over %d bytes can't be held", transport.MaxNameBytes)

// cordonOverlay is what operators of the fleet hold, laid over the list of servers that the modules are told. The rule that makes a yes bind
// whoever leads is package withhold's.
type cordonOverlay struct {
	core         *Core
	coordinator  *cordon.Coordinator
	cordonedAt   map[string]float64 // when this planner heard that an id is held; bounded by withhold.Most
	uncordonedAt map[string]float64 // and that it was called back
}

func newCordonOverlay(cfg Config, core *Core) cordonOverlay {
	s := cordonOverlay{core: core, cordonedAt: map[string]float64{}, uncordonedAt: map[string]float64{}}
	s.coordinator = cordon.NewCoordinator(cfg.Number, cfg.Forwarders, cfg.Majority(), cfg.LeaseS, cordonOutput{core})
	return s
}

// apply is a server as it stands with the holds. One that was called back may have been restarted meanwhile: until discovery tells a
// start after the hold, it counts as started at the call back.
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

// SetCordoned begins an operator's call: from done(nil) on no request reaches the server, whichever planner leads, or the server is used again.
// done is called by a later Tick, within so many seconds.
func (c *Core) SetCordoned(now, within float64, id string, cordoned bool, done func(error)) error {
	c.advanceTo(now)
	_, listed := c.backends[id]
	if len(id) > transport.MaxNameBytes {
		return errIDTooLong
	}
	if !listed && !c.cordons.coordinator.Registers().Get(id).Cordoned {
		return cordon.ErrUnknownBackend
	}
	return c.cordons.coordinator.SetCordoned(now, within, id, cordoned, done)
}

// Cordoned lists what operators hold, as far as this planner has heard.
func (c *Core) Cordoned() []string { return c.cordons.coordinator.Registers().Cordoned() }

// cordonOutput carries what the calls ask for over the links.
type cordonOutput struct{ core *Core }

// ReadRegister implements withhold.Out.
func (o cordonOutput) ReadRegister(forwarder int, call uint64, id string) {
	o.core.out.SendToForwarder(forwarder, transport.Message{Kind: transport.KindCordonRead, Handle: call, Name: id})
}

// WriteRegister implements withhold.Out.
func (o cordonOutput) WriteRegister(forwarder int, call uint64, id string, state cordon.State) {
	o.core.out.SendToForwarder(forwarder, transport.Message{Kind: transport.KindCordonWrite, Handle: call, Name: id, Epoch: state.Version, Flag: state.Cordoned})
}

// RegisterChanged implements withhold.Out: the modules learn of it at once.
func (o cordonOutput) RegisterChanged(id string, state cordon.State) {
	core, s := o.core, &o.core.cordons
	switch _, cordoned := s.cordonedAt[id]; {
	case state.Cordoned:
		if _, uncordoned := s.uncordonedAt[id]; uncordoned || !cordoned {
			s.cordonedAt[id] = core.now
			delete(s.uncordonedAt, id)
		}
	case cordoned:
		s.uncordonedAt[id] = core.now
	}
	core.out.Log("hold", "server", id, "held", state.Cordoned, "version", state.Version)
	if backend, listed := core.backends[id]; listed {
		core.updateModules([]policy.Backend{s.apply(backend)}, false)
	}
}
