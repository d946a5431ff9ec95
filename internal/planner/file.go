package planner

import (
	"fmt"
	"net/netip"

	"eiderspread/internal/fleet"
	"eiderspread/internal/ingress"
	"eiderspread/internal/link"
	"eiderspread/internal/operator"
	"eiderspread/internal/overload"
	"eiderspread/internal/trace"
)

// File is a planner's operator's file, checked.
type File struct {
	fleet.Params
	Number  int
	Listen  string
	Status  string
	Console string   // where operators call; empty: nowhere
	Trace   string   // folder for traces of decisions; empty: none are written
	TraceMB int      // bounds each file
	Allowed []string // with TLS: the common name of each forwarder's certificate, by its number
	TLS     link.Identity
	Base    ingress.Config
}

// ReadFile reads deploy/planner.toml and the configuration that it names.
func ReadFile(path string) (File, error) {
	var f struct {
		fleet.File
		Listen   string
		Console  string
		Trace    string
		TraceMB  int `toml:"trace_mb"`
		Allowed  []string
		Overload overload.Config
	}
	if err := operator.Decode(path, &f); err != nil {
		return File{}, err
	}
	out, err := check(f.File, f.Listen, f.Allowed)
	if err == nil {
		err = out.door(f.Console)
	}
	if out.Trace, out.TraceMB = f.Trace, f.TraceMB; err == nil {
		err = trace.CheckFolder(f.Trace, f.TraceMB)
	}
	if out.Base.Settings.Overload = f.Overload; err == nil {
		err = f.Overload.Check()
	}
	if err != nil {
		return out, fmt.Errorf("%s: %w", path, err)
	}
	return out, nil
}

func check(f fleet.File, listen string, allowed []string) (File, error) {
	out := File{Number: f.Number, Listen: listen, Status: f.Status, Allowed: allowed, TLS: f.Identity()}
	var err error
	if out.Params, err = f.Params(); err != nil {
		return out, err
	}
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return out, fmt.Errorf("listen: %w", err)
	}
	if f.Number < 0 || f.Number >= f.Planners {
		return out, fmt.Errorf("number is %d, want 0 to %d", f.Number, f.Planners-1)
	}
	if out.TLS != (link.Identity{}) && len(allowed) != f.Forwarders {
		return out, fmt.Errorf("allowed: %d names given for %d forwarders", len(allowed), f.Forwarders)
	}
	if _, err = out.TLS.Config(); err != nil {
		return out, fmt.Errorf("tls: %w", err)
	}
	out.Base, err = ingress.ReadConfig(f.Base)
	return out, err
}

// door takes the address of the operators' door. A hold is said yes to when all leads that began before it have ended: the longest
// lease has to fit into a call.
func (f *File) door(addr string) (err error) {
	if f.Console, err = ingress.ConsoleAddr(addr); err == nil && addr != "" && f.LeaseS > doorLeaseMost {
		err = fmt.Errorf("console: lease_ms must be %.0f at most with it", doorLeaseMost*1e3)
	}
	return err
}
