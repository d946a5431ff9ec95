package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/membership/discovery"
)

// Status is what an ingress reports to people.
type Status struct {
	Kind              string           `json:"kind"` // "ingress"
	Name              string           `json:"name"`
	EndpointList      discovery.Age    `json:"list"`               // how old the list of backends is
	EndpointListStale bool             `json:"old"`                // too old to be trusted
	Backends          int              `json:"backends"`           // that are known
	Clients           int              `json:"clients"`            // connections
	Requests          int              `json:"requests"`           // open
	ClosingClients    bool             `json:"leaving"`            // at a shutdown or a hot restart
	Draining          bool             `json:"draining"`           // by operators
	Counters          CounterStatus    `json:"counts"`             // of what it did, and why
	Guard             GuardStatus      `json:"guard"`              // of rules, see policy/attempt_guard.go
	Overload          *loadshed.Status `json:"overload,omitempty"` // nil: off
}

// statusTimeout bounds an answer, and the reading of its call.
const statusTimeout = time.Second

// serveStatus serves the status until ctx ends.
func (in *Ingress) serveStatus(ctx context.Context) error {
	l, err := net.Listen("tcp", in.cfg.OperatorConfig.Status)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(in.handleStatus), ReadHeaderTimeout: statusTimeout}
	go func() { _ = srv.Serve(l) }() // returns with Close
	context.AfterFunc(ctx, func() { srv.Close() })
	return nil
}

func (in *Ingress) handleStatus(w http.ResponseWriter, r *http.Request) {
	result := make(chan Status, 1)
	in.Post(func(float64) { result <- in.status() })
	select {
	case st := <-result:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(st) // an error is the caller's disconnect
	case <-r.Context().Done():
	case <-time.After(statusTimeout):
	}
}

func (in *Ingress) status() Status {
	age := in.EndpointListAge()
	var overload *loadshed.Status
	if d, ok := in.decider.(SheddingDecider); ok {
		overload = d.Shedder().Status(in.now)
	}
	return Status{Kind: "ingress", Name: in.cfg.Name, EndpointList: age, EndpointListStale: age.Stale(), Backends: len(in.backends.byID),
		Clients: in.clients.open(), Requests: len(in.requests), ClosingClients: in.shutdown.closingClients, Draining: in.drain.Active(),
		Counters: in.counters.status(), Guard: in.guardCounts.status(), Overload: overload}
}
