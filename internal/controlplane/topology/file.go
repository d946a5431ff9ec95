package topology

import (
	"errors"

	"eiderspread/internal/base/mutualtls"
	"eiderspread/internal/base/operatorconfig"
)

// File is what the operators' files of forwarders and planners have in common; docs/operating-two-levels.md explains each key.
type File struct {
	Fleet         string             `toml:"fleet"`
	Number        int                `toml:"number"`
	Forwarders    int                `toml:"forwarders"`
	Planners      int                `toml:"planners"`
	Cells         int                `toml:"cells"`
	LeaseMS       float64            `toml:"lease_ms"`
	HeartbeatMS   float64            `toml:"beat_ms"`
	LinkTimeoutMS float64            `toml:"silence_ms"`
	LeaderWaitMS  float64            `toml:"wait_ms"`
	FailsafeMS    float64            `toml:"failsafe_ms"`
	IngressPath   string             `toml:"base"`   // the configuration that an ingress would have
	StatusAddr    string             `toml:"status"` // of the status page, on loopback; empty: none
	TLS           mutualtls.Identity `toml:"tls"`
}

var errIncompleteTLS = errors.New("tls: cert, key and ca are needed together")

const msPerSecond = 1e3

// Params checks the file and returns the fleet's parameters.
func (f File) Params() (Params, error) {
	p := Params{
		Name:           f.Fleet,
		Forwarders:     f.Forwarders,
		Planners:       f.Planners,
		Cells:          f.Cells,
		LeaseS:         f.LeaseMS / msPerSecond,
		HeartbeatS:     f.HeartbeatMS / msPerSecond,
		LinkTimeoutS:   f.LinkTimeoutMS / msPerSecond,
		LeaderWaitS:    f.LeaderWaitMS / msPerSecond,
		FailsafeDelayS: f.FailsafeMS / msPerSecond,
	}
	if err := p.Check(); err != nil {
		return p, err
	}
	if f.IngressPath == "" {
		return p, &ParamError{"base", "names no configuration"}
	}
	if f.StatusAddr != "" {
		if err := operatorconfig.CheckLoopback("status", f.StatusAddr); err != nil {
			return p, err
		}
	}
	if !f.TLS.Complete() {
		return p, errIncompleteTLS
	}
	return p, nil
}
