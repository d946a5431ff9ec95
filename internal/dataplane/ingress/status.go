package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/observability/trace"
)

// OperatorConfig is the operator's file of an ingress, deploy/ingress.toml: what the platform's configuration does not know. All
// of it is off unless asked for.
type OperatorConfig struct {
	Status   string          // where the status is served, on loopback; empty: nowhere
	Trace    string          // folder for traces of decisions; empty: none are written
	TraceMB  int             `toml:"trace_mb"` // bounds each file; 0: trace.DefaultMostMB
	Overload loadshed.Config // how the fleet sheds as one
}

// ReadOperatorConfig reads and checks the operator's file.
func ReadOperatorConfig(path string) (OperatorConfig, error) {
	var o OperatorConfig
	if err := operatorconfig.Decode(path, &o); err != nil {
		return o, err
	}
	if o.Status != "" {
		if err := operatorconfig.CheckLoopback("status", o.Status); err != nil {
			return o, fmt.Errorf("%s: %w", path, err)
		}
	}
	if err := trace.CheckFolder(o.Trace, o.TraceMB); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	if err := o.Overload.Check(); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

// Status is what an ingress tells people.
type Status struct {
	Kind              string           `json:"kind"`
	Name              string           `json:"name"`
	EndpointList      discovery.Age    `json:"list"`     // how old the list of backends is
	EndpointListStale bool             `json:"old"`      // too old to be trusted
	Backends          int              `json:"backends"` // that are known
	Clients           int              `json:"clients"`  // connections
	Requests          int              `json:"requests"` // open
	ClosingClients    bool             `json:"leaving"`
	Draining          bool             `json:"draining"`           // operators have sent its clients away
	Counters          CounterStatus    `json:"counts"`             // of what it did, and why
	Guard             GuardStatus      `json:"guard"`              // of rules, see policy/guard.go
	Overload          *loadshed.Status `json:"overload,omitempty"` // nil: off
}

// serveStatus serves the status until ctx ends.
func (in *Ingress) serveStatus(ctx context.Context) error {
	l, err := net.Listen("tcp", in.cfg.OperatorConfig.Status)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(in.handleStatus), ReadHeaderTimeout: time.Second}
	go srv.Serve(l)
	context.AfterFunc(ctx, func() { srv.Close() })
	return nil
}

// SheddingDecider is a Decider that sheds load by itself, and can tell how much.
type SheddingDecider interface {
	Shedder() *loadshed.Shedder // nil where load is not shed
}

func (in *Ingress) handleStatus(w http.ResponseWriter, r *http.Request) {
	got := make(chan Status, 1)
	in.Post(func(float64) {
		age := in.EndpointListAge()
		var load *loadshed.Status
		if g, ok := in.decider.(SheddingDecider); ok {
			load = g.Shedder().Status(in.now)
		}
		got <- Status{Overload: load, Kind: "ingress", Name: in.cfg.Name, EndpointList: age, EndpointListStale: age.Stale(), Backends: len(in.backends.byID), Clients: in.clients.open(),
			Requests: len(in.requests), ClosingClients: in.closingClients, Draining: in.drain.Active(), Counters: in.counters.status(), Guard: in.guardCounts.status()}
	})
	select {
	case st := <-got:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(st)
	case <-r.Context().Done():
	case <-time.After(time.Second):
	}
}
