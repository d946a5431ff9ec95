package forward

import (
	"fmt"
	"net/netip"

	"eiderspread/internal/fleet"
	"eiderspread/internal/ingress"
	"eiderspread/internal/link"
	"eiderspread/internal/operator"
)

// File is a forwarder's operator's file, checked.
type File struct {
	fleet.Params
	Number     int
	PlannersAt []string // addresses by planner's number
	Status     string
	Names      []string // with TLS: the name that each planner's certificate holds
	TLS        link.Identity
	Base       ingress.Config
	BasePath   string
}

// ReadFile reads deploy/forwarder.toml and the configuration that it names.
func ReadFile(path string) (File, error) {
	var f struct {
		fleet.File
		PlannersAt []string `toml:"planners_at"`
		Names      []string
	}
	if err := operator.Decode(path, &f); err != nil {
		return File{}, err
	}
	out, err := check(f.File, f.PlannersAt, f.Names)
	if err != nil {
		return out, fmt.Errorf("%s: %w", path, err)
	}
	return out, nil
}

func check(f fleet.File, at, names []string) (File, error) {
	out := File{Number: f.Number, PlannersAt: at, Status: f.Status, Names: names, TLS: f.Identity(), BasePath: f.Base}
	var err error
	if out.Params, err = f.Params(); err != nil {
		return out, err
	}
	if f.Number < 0 || f.Number >= f.Forwarders {
		return out, fmt.Errorf("number is %d, want 0 to %d", f.Number, f.Forwarders-1)
	}
	if len(at) != f.Planners {
		return out, fmt.Errorf("planners_at: %d addresses given for %d planners", len(at), f.Planners)
	}
	for i, a := range at {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return out, fmt.Errorf("planners_at: number %d: %w", i, err)
		}
	}
	if out.TLS != (link.Identity{}) && len(names) != f.Planners {
		return out, fmt.Errorf("names: %d given for %d planners", len(names), f.Planners)
	}
	if _, err = out.TLS.Config(); err != nil {
		return out, fmt.Errorf("tls: %w", err)
	}
	if out.Base, err = ingress.ReadConfig(f.Base); err != nil {
		return out, err
	}
	out.Base.Member = true
	out.Base.Settings.Peers = false // forwarders have nothing to tell each other
	return out, nil
}
