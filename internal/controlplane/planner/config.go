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

// FileConfig is the validated content of a planner's configuration file.
type FileConfig struct {
	topology.Params
	Number         int      // this planner's number, from 0
	ListenAddr     string   // for links from forwarders
	StatusAddr     string   // of the status page; empty: none
	AdminAddr      string   // of the operators' HTTP API; empty: none
	TraceFolder    string   // for decision traces; empty: decisions are not traced
	TraceMB        int      // size limit of each trace file, in megabytes
	ForwarderNames []string // with TLS: the common name in each forwarder's certificate, by forwarder number
	TLS            mutualtls.Identity
	Ingress        ingressconfig.Config
}

// operatorFile is the layout of a planner's configuration file, such as deploy/planner.toml.
type operatorFile struct {
	topology.File
	ListenAddr     string          `toml:"listen"`
	AdminAddr      string          `toml:"console"`
	TraceFolder    string          `toml:"trace"`
	TraceMB        int             `toml:"trace_mb"`
	ForwarderNames []string        `toml:"allowed"`
	LoadShedding   loadshed.Config `toml:"overload"`
}

// ReadFile reads and validates a planner's configuration file and the ingress configuration that it names. An error is one line that
// begins with a path.
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
		return cfg, fmt.Errorf("allowed: %d names, want %d, one for each forwarder", len(f.ForwarderNames), f.Forwarders)
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
	if err := trace.CheckSettings(f.TraceFolder, f.TraceMB); err != nil {
		return cfg, err
	}
	cfg.Ingress.Settings.LoadShedding = f.LoadShedding
	return cfg, f.LoadShedding.Check()
}

// checkAdminAddr checks the admin address, and that the lease is short enough for a cordon call, which waits for a whole lease, to succeed
// before its timeout.
func (f *operatorFile) checkAdminAddr(leaseS float64) (string, error) {
	addr, err := ingressconfig.CheckAdminAddr(f.AdminAddr)
	if err == nil && addr != "" && leaseS > maxLeaseForCordonS {
		err = fmt.Errorf("console: lease_ms is %.6g, must be at most %.0f when console is set", leaseS*1e3, maxLeaseForCordonS*1e3)
	}
	return addr, err
}
