package topology

import (
	"fmt"
	"net/netip"

	"eiderspread/internal/controlplane/transport"
)

// File is what the operator's files of forwarders and planners have in common; docs/operating-two-levels.md
// explains each key.
type File struct {
	Fleet      string
	Number     int
	Forwarders int
	Planners   int
	Cells      int
	LeaseMS    float64 `toml:"lease_ms"`
	BeatMS     float64 `toml:"beat_ms"`
	SilenceMS  float64 `toml:"silence_ms"`
	WaitMS     float64 `toml:"wait_ms"`
	FailsafeMS float64 `toml:"failsafe_ms"`
	Base       string  // the configuration that an ingress would have
	Status     string  // where the status is served, on loopback; empty: nowhere
	TLS        struct{ Cert, Key, CA string }
}

// Params translates and checks.
func (f File) Params() (Params, error) {
	p := Params{Name: f.Fleet, Forwarders: f.Forwarders, Planners: f.Planners, Cells: f.Cells, LeaseS: f.LeaseMS / 1e3,
		HeartbeatS: f.BeatMS / 1e3, LinkTimeoutS: f.SilenceMS / 1e3, LeaderWaitS: f.WaitMS / 1e3, FailsafeDelayS: f.FailsafeMS / 1e3}
	if err := p.Check(); err != nil {
		return p, err
	}
	if f.Base == "" {
		return p, fmt.Errorf("base names no configuration")
	}
	if f.Status != "" {
		a, err := netip.ParseAddrPort(f.Status)
		if err != nil {
			return p, fmt.Errorf("status: %w", err)
		}
		if !a.Addr().IsLoopback() {
			return p, fmt.Errorf("status: %s is no loopback address", f.Status)
		}
	}
	if t := f.TLS; (t.Cert == "" || t.Key == "" || t.CA == "") && (t.Cert != "" || t.Key != "" || t.CA != "") {
		return p, fmt.Errorf("tls: cert, key and ca are needed together")
	}
	return p, nil
}

// Identity is the file's part on mutual TLS.
func (f File) Identity() transport.Identity { return transport.Identity(f.TLS) }
