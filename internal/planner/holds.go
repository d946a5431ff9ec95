package planner

import (
	"fmt"

	"eiderspread/internal/link"
	"eiderspread/internal/withhold"
	"eiderspread/policy"
)

// errLongID refuses what would reach forwarders as another id: a yes to it would bind nobody.
var errLongID = fmt.Errorf("an id of over %d bytes can't be held", link.MaxText)

// holds is what operators of the fleet hold, laid over the list of servers that the modules are told. The rule that makes a yes bind
// whoever leads is package withhold's.
type holds struct {
	h      *Host
	caller *withhold.Caller
	since  map[string]float64 // when this planner heard that an id is held; bounded by withhold.Most
	back   map[string]float64 // and that it was called back
}

func newHolds(cfg Config, h *Host) holds {
	s := holds{h: h, since: map[string]float64{}, back: map[string]float64{}}
	s.caller = withhold.NewCaller(cfg.Number, cfg.Forwarders, cfg.Majority(), cfg.LeaseS, callOut{h})
	return s
}

// overlay is a server as it stands with the holds. One that was called back may have been restarted meanwhile: until discovery tells a
// start after the hold, it counts as started at the call back.
func (s *holds) overlay(e policy.Server) policy.Server {
	since, some := s.since[e.ID]
	back, called := s.back[e.ID]
	switch {
	case !some:
	case !called && e.State == policy.Up:
		e.State = policy.Draining
	case called && e.SinceS <= since:
		e.SinceS = back
	}
	return e
}

// Hold begins an operator's call: from done(nil) on no request reaches the server, whichever planner leads, or the server is used again.
// done is called by a later Tick, within so many seconds.
func (h *Host) Hold(now, within float64, id string, held bool, done func(error)) error {
	h.at(now)
	_, listed := h.servers[id]
	if len(id) > link.MaxText {
		return errLongID
	}
	if !listed && !h.holds.caller.Words().Get(id).Held {
		return withhold.ErrUnknown
	}
	return h.holds.caller.Call(now, within, id, held, done)
}

// Held lists what operators hold, as far as this planner has heard.
func (h *Host) Held() []string { return h.holds.caller.Words().Held() }

// callOut carries what the calls ask for over the links.
type callOut struct{ h *Host }

// Ask implements withhold.Out.
func (o callOut) Ask(f int, call uint64, id string) {
	o.h.out.Link(f, link.Msg{Kind: link.HoldAsk, Handle: call, Name: id})
}

// Tell implements withhold.Out.
func (o callOut) Tell(f int, call uint64, id string, x withhold.Word) {
	o.h.out.Link(f, link.Msg{Kind: link.Hold, Handle: call, Name: id, Epoch: x.Version, Flag: x.Held})
}

// Heard implements withhold.Out: the modules learn of it at once.
func (o callOut) Heard(id string, x withhold.Word) {
	h, s := o.h, &o.h.holds
	switch _, held := s.since[id]; {
	case x.Held:
		if _, called := s.back[id]; called || !held {
			s.since[id] = h.now
			delete(s.back, id)
		}
	case held:
		s.back[id] = h.now
	}
	h.out.Log("hold", "server", id, "held", x.Held, "version", x.Version)
	if e, listed := h.servers[id]; listed {
		h.tellServers([]policy.Server{s.overlay(e)}, false)
	}
}
