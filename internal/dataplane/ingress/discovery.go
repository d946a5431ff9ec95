package ingress

import (
	"context"
	"time"

	"eiderspread/internal/membership/discovery"
)

type (
	targets = discovery.List
	target  = discovery.Endpoint
)

// applyDiscoveryList applies a list that was told at a time to the pools and tells the module.
func (in *Ingress) applyDiscoveryList(t targets, notifiedAt float64) {
	if in.cordons != nil {
		t = in.cordons.ApplyList(t)
	}
	in.applyListAt(t, notifiedAt)
}

// applyList takes a list as it stands with what operators hold.
func (in *Ingress) applyList(t targets) { in.applyListAt(t, in.now) }

func (in *Ingress) applyListAt(t targets, notifiedAt float64) {
	if len(t.Endpoints) == 0 && !t.Full {
		return
	}
	in.backends.applyList(in, t, notifiedAt)
	in.decider.UpdateBackends(in.now, t.Backends(), t.Full)
}

// watchDiscovery follows discovery for as long as ctx lasts, from each configuration that was read again on at
// the address that it names.
func (in *Ingress) watchDiscovery(ctx context.Context, reread <-chan Config) {
	moves := make(chan string)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case cfg := <-reread:
				if err := in.onLoop(ctx, func() error { return in.applySettings(cfg) }); err != nil {
					in.log.Error("configuration not taken over", "error", err)
					continue
				}
				in.log.Info("configuration read again", "discovery", cfg.Discovery)
				select {
				case moves <- cfg.Discovery:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	in.watcher.Run(ctx, moves)
}

// newWatcher makes the watcher of discovery; watchDiscovery's goroutine owns it but for its age.
func (in *Ingress) newWatcher() *discovery.Watcher {
	return discovery.NewWatcher(in.cfg.Discovery, in.cfg.InitialEndpoints.Version,
		func(t targets) {
			at := in.clock.Now()
			in.post(at, func() { in.applyDiscoveryList(t, at) })
		},
		func(message string, args ...any) { in.post(in.clock.Now(), func() { in.logFault(message, args...) }) })
}

// EndpointListAge implements Host.
func (in *Ingress) EndpointListAge() discovery.Age { return in.watcher.Age() }

// listAgeInterval is how often the age of the list of backends is looked at, for the log alone.
const listAgeInterval = 5 * time.Second

// logListAge says so in the log, once each way, when the list of backends is too old to be trusted. The ingress goes on with it.
func (in *Ingress) logListAge(age discovery.Age) {
	switch {
	case age.Stale() && !in.endpointListStale:
		in.endpointListStale = true
		in.log.Error("the list of backends is old", "heard_s", age.SinceUpdateS, "told_s", age.ReportedAgeS)
	case !age.Stale() && in.endpointListStale:
		in.endpointListStale = false
		in.log.Info("the list of backends is fresh again")
	}
}
