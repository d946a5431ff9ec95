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

// Status is the state of an ingress as its status page reports it.
type Status struct {
	Kind              string           `json:"kind"` // "ingress"
	Name              string           `json:"name"`
	EndpointList      discovery.Age    `json:"list"`               // age of the endpoint list
	EndpointListStale bool             `json:"old"`                // too old to be trusted
	Backends          int              `json:"backends"`           // known backends
	Clients           int              `json:"clients"`            // client connections
	Requests          int              `json:"requests"`           // open requests
	ClosingClients    bool             `json:"leaving"`            // at a shutdown or a hot restart
	Draining          bool             `json:"draining"`           // by operators
	Counters          CounterStatus    `json:"counts"`             // events, by reason
	Guard             GuardStatus      `json:"guard"`              // checks of the send guard, by rule, see policy/attempt_guard.go
	Overload          *loadshed.Status `json:"overload,omitempty"` // nil: load shedding is off
}

// StatusPage is what the status page shows: the status, and what is to be looked at, if there is something.
type StatusPage struct {
	Status
	Retired        map[string]int `json:"retired,omitempty"`         // connections to backends that were closed for their replies, by reason
	NotReplaceable string         `json:"not_replaceable,omitempty"` // why no new process can take over from this one
}

// statusTimeout limits the wait for the loop's answer, and the time in which the headers of an HTTP request must arrive.
const statusTimeout = time.Second

// serveStatus serves the status page over HTTP until ctx ends.
func (in *Ingress) serveStatus(ctx context.Context) error {
	l, err := net.Listen("tcp", in.cfg.OperatorConfig.Status)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(in.handleStatus), ReadHeaderTimeout: statusTimeout}
	go func() { _ = srv.Serve(l) }() // returns when srv is closed
	context.AfterFunc(ctx, func() { srv.Close() })
	return nil
}

func (in *Ingress) handleStatus(w http.ResponseWriter, r *http.Request) {
	result := make(chan StatusPage, 1)
	in.Post(func(float64) { result <- in.statusPage() })
	select {
	case st := <-result:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(st) // fails only if the caller has disconnected
	case <-r.Context().Done():
	case <-time.After(statusTimeout):
	}
}

func (in *Ingress) statusPage() StatusPage {
	page := StatusPage{Status: in.status(), Retired: in.counters.suspectConns()}
	if err := in.successor.notOffered; err != nil {
		page.NotReplaceable = err.Error()
	}
	return page
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
