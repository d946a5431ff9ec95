package forwarder

import (
	"fmt"
	"net/netip"

	"eiderspread/internal/base/mutualtls"
	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/dataplane/ingressconfig"
)

// FileConfig is the checked content of a forwarder's operators' file.
type FileConfig struct {
	topology.Params
	Number       int      // this forwarder's number, from 0
	PlannerAddrs []string // by planner number
	PlannerNames []string // by planner number: the name in the planner's certificate; used only with TLS
	StatusAddr   string   // address of the status page; empty: no status page
	TLS          mutualtls.Identity
	Ingress      ingressconfig.Config
	IngressPath  string // the file that Ingress was read from
}

// operatorFile is the form of deploy/forwarder.toml.
type operatorFile struct {
	topology.File
	PlannerAddrs []string `toml:"planners_at"`
	PlannerNames []string `toml:"names"`
}

// ReadFile reads and checks a file of the form of deploy/forwarder.toml and the ingress configuration that the file names. An error is one
// line that begins with a path.
func ReadFile(path string) (FileConfig, error) {
	var f operatorFile
	if err := operatorconfig.Decode(path, &f); err != nil {
		return FileConfig{}, err
	}
	cfg, err := f.check()
	if err != nil {
		return cfg, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

func (f *operatorFile) check() (cfg FileConfig, err error) {
	cfg = FileConfig{Number: f.Number, PlannerAddrs: f.PlannerAddrs, PlannerNames: f.PlannerNames, StatusAddr: f.StatusAddr, TLS: f.TLS,
		IngressPath: f.IngressPath}
	if cfg.Params, err = f.Params(); err != nil {
		return cfg, err
	}
	if f.Number < 0 || f.Number >= f.Forwarders {
		return cfg, &topology.ParamError{Key: "number", Problem: fmt.Sprintf("is %d, want 0 to %d", f.Number, f.Forwarders-1)}
	}
	if len(f.PlannerAddrs) != f.Planners {
		return cfg, fmt.Errorf("planners_at: %d addresses, want %d, one for each planner", len(f.PlannerAddrs), f.Planners)
	}
	for planner, addr := range f.PlannerAddrs {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return cfg, fmt.Errorf("planners_at: address of planner %d: %w", planner, err)
		}
	}
	if f.TLS != (mutualtls.Identity{}) && len(f.PlannerNames) != f.Planners {
		return cfg, fmt.Errorf("names: %d names, want %d, one for each planner", len(f.PlannerNames), f.Planners)
	}
	if _, err := f.TLS.Config(); err != nil {
		return cfg, fmt.Errorf("tls: %w", err)
	}
	if cfg.Ingress, err = ingressconfig.Read(f.IngressPath); err != nil {
		return cfg, err
	}
	cfg.Ingress.FleetMember = true
	cfg.Ingress.Settings.PeerMessages = false // forwarders do not exchange peer messages
	return cfg, nil
}
