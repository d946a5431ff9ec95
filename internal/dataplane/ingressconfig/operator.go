package ingressconfig

import (
	"fmt"

	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/observability/trace"
)

// Operator is the operator's file of an ingress (deploy/ingress.toml is an example): options that the platform's configuration does not
// have. All of them are off by default.
type Operator struct {
	Status   string          `toml:"status"`   // loopback address at which the status is served; empty: not served
	Trace    string          `toml:"trace"`    // folder for decision traces; empty: none are written
	TraceMB  int             `toml:"trace_mb"` // maximum size of each trace file; 0: trace.DefaultMaxMB
	Overload loadshed.Config `toml:"overload"` // load shedding, coordinated across the fleet
}

// ReadOperator reads and checks the operator's file. An error names the file and the key.
func ReadOperator(path string) (Operator, error) {
	var o Operator
	if err := operatorconfig.Decode(path, &o); err != nil {
		return o, err
	}
	if o.Status != "" {
		if err := operatorconfig.CheckLoopback("status", o.Status); err != nil {
			return o, fmt.Errorf("%s: %w", path, err)
		}
	}
	if err := trace.CheckSettings(o.Trace, o.TraceMB); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	if err := o.Overload.Check(); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}
