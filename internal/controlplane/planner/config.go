package planner

import (
	"fmt"
	"net/netip"

	"eiderspread/internal/base/mutualtls"
	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/observability/trace"
)

// FileConfig is a planner's operators' file, checked.
type FileConfig struct {
	topology.Params
	Number         int // this planner's, from 0
	ListenAddr     string
	StatusAddr     string   // of the status page; empty: none
	AdminAddr      string   // of the operators' HTTP interface; empty: none
	TraceFolder    string   // for traces of decisions; empty: none are written
	TraceMB        int      // bound of each trace file
	ForwarderNames []string // with TLS: the common name of each forwarder's certificate, by number
	TLS            mutualtls.Identity
	Ingress        ingressconfig.Config
}

// operatorFile is deploy/planner.toml.
type operatorFile struct {
	topology.File
	ListenAddr     string          `toml:"listen"`
	AdminAddr      string          `toml:"console"`
	TraceFolder    string          `toml:"trace"`
	TraceMB        int             `toml:"trace_mb"`
	ForwarderNames []string        `toml:"allowed"`
	LoadShedding   loadshed.Config `toml:"overload"`
}

// ReadFile reads deploy/planner.toml and the configuration that it names. An error is one line that begins with a path.
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
	cfg = FileConfig{Number: f.Number, ListenAddr: f.ListenAddr, StatusAddr: f.StatusAddr, TraceFolder: f.TraceFolder, TraceMB: f.TraceMB,
		ForwarderNames: f.ForwarderNames, TLS: f.TLS}
	if cfg.Params, err = f.Params(); err != nil {
		return cfg, err
	}
	if _, err := netip.ParseAddrPort(f.ListenAddr); err != nil {
		return cfg, fmt.Errorf("listen: %w", err)
	}
	if f.Number < 0 || f.Number >= f.Planners {
		return cfg, &topology.ParamError{Key: "number", Problem: fmt.Sprintf("is %d, want 0 to %d", f.Number, f.Planners-1)}
	}
	if f.TLS != (mutualtls.Identity{}) && len(f.ForwarderNames) != f.Forwarders {
		return cfg, fmt.Errorf("allowed: %d names given for %d forwarders", len(f.ForwarderNames), f.Forwarders)
	}
	if _, err := f.TLS.Config(); err != nil {
		return cfg, fmt.Errorf("tls: %w", err)
	}
	if cfg.Ingress, err = ingressconfig.Read(f.IngressPath); err != nil {
		return cfg, err
	}
	if cfg.AdminAddr, err = f.checkAdminAddr(cfg.LeaseS); err != nil {
		return cfg, err
	}
	if err := trace.CheckFolder(f.TraceFolder, f.TraceMB); err != nil {
		return cfg, err
	}
	cfg.Ingress.Settings.LoadShedding = f.LoadShedding
	return cfg, f.LoadShedding.Check()
}

// checkAdminAddr checks the admin address and that a call there can end in time: it waits for a whole lease.
func (f *operatorFile) checkAdminAddr(leaseS float64) (string, error) {
	addr, err := ingressconfig.CheckAdminAddr(f.AdminAddr)
	if err == nil && addr != "" && leaseS > maxLeaseForCordonS {
		err = fmt.Errorf("console: lease_ms must be %.0f at most with it", maxLeaseForCordonS*1e3)
	}
	return addr, err
}
