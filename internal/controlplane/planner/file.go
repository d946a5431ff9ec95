package planner

import (
	"fmt"
	"net/netip"

	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/observability/trace"
)

// FileConfig is a planner's operator's file, checked.
type FileConfig struct {
	topology.Params
	Number         int
	ListenAddr     string
	StatusAddr     string
	AdminAddr      string   // where operators call; empty: nowhere
	TraceFolder    string   // folder for traces of decisions; empty: none are written
	TraceMB        int      // bounds each file
	ForwarderNames []string // with TLS: the common name of each forwarder's certificate, by its number
	TLS            transport.Identity
	Ingress        ingress.Config
}

// ReadFile reads deploy/planner.toml and the configuration that it names.
func ReadFile(path string) (FileConfig, error) {
	var f struct {
		topology.File
		Listen   string
		Console  string
		Trace    string
		TraceMB  int `toml:"trace_mb"`
		Allowed  []string
		Overload loadshed.Config
	}
	if err := operatorconfig.Decode(path, &f); err != nil {
		return FileConfig{}, err
	}
	out, err := newFileConfig(f.File, f.Listen, f.Allowed)
	if err == nil {
		err = out.setAdminAddr(f.Console)
	}
	if out.TraceFolder, out.TraceMB = f.Trace, f.TraceMB; err == nil {
		err = trace.CheckFolder(f.Trace, f.TraceMB)
	}
	if out.Ingress.Settings.LoadShedding = f.Overload; err == nil {
		err = f.Overload.Check()
	}
	if err != nil {
		return out, fmt.Errorf("%s: %w", path, err)
	}
	return out, nil
}

func newFileConfig(f topology.File, listenAddr string, forwarderNames []string) (FileConfig, error) {
	out := FileConfig{Number: f.Number, ListenAddr: listenAddr, StatusAddr: f.Status, ForwarderNames: forwarderNames, TLS: f.Identity()}
	var err error
	if out.Params, err = f.Params(); err != nil {
		return out, err
	}
	if _, err := netip.ParseAddrPort(listenAddr); err != nil {
		return out, fmt.Errorf("listen: %w", err)
	}
	if f.Number < 0 || f.Number >= f.Planners {
		return out, fmt.Errorf("number is %d, want 0 to %d", f.Number, f.Planners-1)
	}
	if out.TLS != (transport.Identity{}) && len(forwarderNames) != f.Forwarders {
		return out, fmt.Errorf("allowed: %d names given for %d forwarders", len(forwarderNames), f.Forwarders)
	}
	if _, err = out.TLS.Config(); err != nil {
		return out, fmt.Errorf("tls: %w", err)
	}
	out.Ingress, err = ingress.ReadConfig(f.Base)
	return out, err
}

// setAdminAddr takes the address of the operators' door. A hold is said yes to when all leads that began before it have ended: the longest
// lease has to fit into a call.
func (f *FileConfig) setAdminAddr(addr string) (err error) {
	if f.AdminAddr, err = ingress.CheckAdminAddr(addr); err == nil && addr != "" && f.LeaseS > maxLeaseForCordonS {
		err = fmt.Errorf("console: lease_ms must be %.0f at most with it", maxLeaseForCordonS*1e3)
	}
	return err
}
