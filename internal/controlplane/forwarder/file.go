package forwarder

import (
	"fmt"
	"net/netip"

	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/dataplane/ingress"
)

// FileConfig is a forwarder's operator's file, checked.
type FileConfig struct {
	topology.Params
	Number       int
	PlannerAddrs []string // addresses by planner's number
	StatusAddr   string
	PlannerNames []string // with TLS: the name that each planner's certificate holds
	TLS          transport.Identity
	Ingress      ingress.Config
	IngressPath  string
}

// ReadFile reads deploy/forwarder.toml and the configuration that it names.
func ReadFile(path string) (FileConfig, error) {
	var f struct {
		topology.File
		PlannersAt []string `toml:"planners_at"`
		Names      []string
	}
	if err := operatorconfig.Decode(path, &f); err != nil {
		return FileConfig{}, err
	}
	out, err := newFileConfig(f.File, f.PlannersAt, f.Names)
	if err != nil {
		return out, fmt.Errorf("%s: %w", path, err)
	}
	return out, nil
}

func newFileConfig(f topology.File, plannerAddrs, plannerNames []string) (FileConfig, error) {
	out := FileConfig{Number: f.Number, PlannerAddrs: plannerAddrs, StatusAddr: f.Status, PlannerNames: plannerNames, TLS: f.Identity(), IngressPath: f.Base}
	var err error
	if out.Params, err = f.Params(); err != nil {
		return out, err
	}
	if f.Number < 0 || f.Number >= f.Forwarders {
		return out, fmt.Errorf("number is %d, want 0 to %d", f.Number, f.Forwarders-1)
	}
	if len(plannerAddrs) != f.Planners {
		return out, fmt.Errorf("planners_at: %d addresses given for %d planners", len(plannerAddrs), f.Planners)
	}
	for i, a := range plannerAddrs {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return out, fmt.Errorf("planners_at: number %d: %w", i, err)
		}
	}
	if out.TLS != (transport.Identity{}) && len(plannerNames) != f.Planners {
		return out, fmt.Errorf("names: %d given for %d planners", len(plannerNames), f.Planners)
	}
	if _, err = out.TLS.Config(); err != nil {
		return out, fmt.Errorf("tls: %w", err)
	}
	if out.Ingress, err = ingress.ReadConfig(f.Base); err != nil {
		return out, err
	}
	out.Ingress.FleetMember = true
	out.Ingress.Settings.PeerMessages = false // forwarders have nothing to tell each other
	return out, nil
}
