// Package discovery follows the list of backends that a discovery service serves over HTTP: the whole list, then changes of it as they
// happen. It decides nothing about backends; a Watcher passes on what it reads. List and Endpoint are the service's JSON form.
package discovery

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"eiderspread/policy"
)

// The states of an endpoint in the service's words.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// StateByName maps the service's words to the decision module's states.
var StateByName = map[string]policy.BackendState{InService: policy.Up, Terminating: policy.Draining, Terminated: policy.Removed}

// List is the whole endpoint list, or a change of it: endpoints that are new, changed or terminated.
type List struct {
	Version    int64      `json:"version"` // grows with each change
	Full       bool       `json:"full"`    // all endpoints; those that it lacks are gone
	Endpoints  []Endpoint `json:"servers"`
	SourceAgeS float64    `json:"age_s,omitempty"` // of an agent: for how long its source that has been silent the longest is, s
}

// Endpoint is one backend.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // IP address and port; of a terminated one it may be empty
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // a key of StateByName
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time in ms; 0: long ago
}

// EndpointError is an endpoint that can't be used, and why.
type EndpointError struct {
	ID  string
	Err error
}

// Error implements error.
func (e *EndpointError) Error() string { return fmt.Sprintf("entry %q: %v", e.ID, e.Err) }

// Unwrap returns the cause.
func (e *EndpointError) Unwrap() error { return e.Err }

// Parse reads one JSON object of a watch and validates its endpoints. The error is json's or an *EndpointError.
func Parse(text []byte) (List, error) {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return list, err
	}
	return list, list.Validate()
}

// Validate returns an *EndpointError for the first endpoint that can't be used.
func (l List) Validate() error {
	for _, e := range l.Endpoints {
		if err := e.validate(); err != nil {
			return err
		}
	}
	return nil
}

// Backends are the endpoints as the decision module has them.
func (l List) Backends() []policy.Backend {
	list := make([]policy.Backend, 0, len(l.Endpoints))
	for _, e := range l.Endpoints {
		list = append(list, e.Backend(StateByName[e.State]))
	}
	return list
}

// Backend is the endpoint as the decision module has it, in the given state.
func (e Endpoint) Backend(state policy.BackendState) policy.Backend {
	return policy.Backend{ID: e.ID, Zone: e.Zone, Cell: e.Cell, State: state, Weight: e.Weight, StartedAt: float64(e.StartedMS) / 1000}
}

func (e Endpoint) validate() error {
	state, known := StateByName[e.State]
	if e.ID == "" || !known {
		return &EndpointError{e.ID, fmt.Errorf("unknown state %q", e.State)}
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil && state != policy.Removed {
		return &EndpointError{e.ID, err}
	}
	return nil
}
