package ingressconfig

import (
	"fmt"

	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/observability/trace"
)

// Operator is the operator's file of an ingress, deploy/ingress.toml: what the platform's configuration does not know. All of it is off
// unless asked for.
type Operator struct {
	Status   string          `toml:"status"`   // where the status is served, on loopback; empty: nowhere
	Trace    string          `toml:"trace"`    // folder for traces of decisions; empty: none are written
	TraceMB  int             `toml:"trace_mb"` // bounds each file; 0: trace.DefaultMostMB
	Overload loadshed.Config `toml:"overload"` // how the fleet sheds load as one
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
	if err := trace.CheckFolder(o.Trace, o.TraceMB); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	if err := o.Overload.Check(); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}
