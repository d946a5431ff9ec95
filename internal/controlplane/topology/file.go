package topology

import (
	"errors"

	"eiderspread/internal/base/mutualtls"
	"eiderspread/internal/base/operatorconfig"
)

// File holds the keys that the configuration files of forwarders and planners have in common. docs/operating-two-levels.md explains each
// key.
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
	IngressPath   string             `toml:"base"`   // path of a configuration file as an ingress has it
	StatusAddr    string             `toml:"status"` // loopback address of the status page; empty: no status page
	TLS           mutualtls.Identity `toml:"tls"`
}

var errIncompleteTLS = errors.New("tls: cert, key and ca must be set together")

const msPerSecond = 1e3

// Params checks the common keys and returns the fleet's parameters, with defaults filled in.
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
		return p, &ParamError{"base", "must name a configuration file"}
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
