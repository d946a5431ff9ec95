// Package discovery follows the endpoint list that a discovery service serves over HTTP: first the full list, then its changes as they
// happen. A Watcher passes the lists on and makes no decisions about backends. List and Endpoint are the service's JSON form.
package discovery

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"eiderspread/policy"
)

// The states of an endpoint in the service's JSON form.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// StateByName maps the service's state names to the decision module's states.
var StateByName = map[string]policy.BackendState{InService: policy.Up, Terminating: policy.Draining, Terminated: policy.Removed}

// List is the full endpoint list or a change of it, which has the endpoints that are new, changed or terminated.
type List struct {
	Version    int64      `json:"version"` // grows with each change
	Full       bool       `json:"full"`    // all endpoints; any other endpoint no longer exists
	Endpoints  []Endpoint `json:"servers"`
	SourceAgeS float64    `json:"age_s,omitempty"` // set by a membership agent: the longest silence among its sources, in s
}

// Endpoint is one backend.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // IP address and port; may be empty if the endpoint is terminated
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // a key of StateByName
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time in ms; 0 means long ago
}

// EndpointError is the error for an endpoint that can't be used.
type EndpointError struct {
	ID  string
	Err error
}

// Error implements error.
func (e *EndpointError) Error() string { return fmt.Sprintf("endpoint %q: %v", e.ID, e.Err) }

// Unwrap returns the cause.
func (e *EndpointError) Unwrap() error { return e.Err }

// Parse decodes one JSON object of a watch and validates its endpoints. The error comes from encoding/json or is an *EndpointError.
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

// Backends converts the endpoints to the decision module's form.
func (l List) Backends() []policy.Backend {
	list := make([]policy.Backend, 0, len(l.Endpoints))
	for _, e := range l.Endpoints {
		list = append(list, e.Backend(StateByName[e.State]))
	}
	return list
}

// Backend converts the endpoint to the decision module's form, with the given state.
func (e Endpoint) Backend(state policy.BackendState) policy.Backend {
	return policy.Backend{ID: e.ID, Zone: e.Zone, Cell: e.Cell, State: state, Weight: e.Weight, StartedAt: float64(e.StartedMS) / 1000}
}

func (e Endpoint) validate() error {
	state, known := StateByName[e.State]
	if e.ID == "" || !known {
		return &EndpointError{e.ID, fmt.Errorf("empty ID or unknown state %q", e.State)}
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil && state != policy.Removed {
		return &EndpointError{e.ID, err}
	}
	return nil
}
