package ingress

import (
	"context"
	"time"

	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/membership/discovery"
)

// listAgeInterval is the time between two checks of the endpoint list's age, which only affect the log.
const listAgeInterval = 5 * time.Second

// applyDiscoveryList applies a list that discovery sent at notifiedAt, after it has applied the operators' cordons to the list.
func (in *Ingress) applyDiscoveryList(list discovery.List, notifiedAt float64) {
	if in.cordons != nil {
		list = in.cordons.ApplyList(list)
	}
	in.applyListAt(list, notifiedAt)
}

// applyList applies a list that changes now because operators changed cordons.
func (in *Ingress) applyList(list discovery.List) { in.applyListAt(list, in.now) }

// applyListAt applies a list to the backend pool and passes it to the decider.
func (in *Ingress) applyListAt(list discovery.List, notifiedAt float64) {
	if len(list.Endpoints) == 0 && !list.Full {
		return
	}
	in.backends.applyList(in, list, notifiedAt)
	in.decider.UpdateBackends(in.now, list.Backends(), list.Full)
}

// watchDiscovery watches discovery until ctx ends. Each configuration received on reread is applied, and its discovery address is
// used from then on.
func (in *Ingress) watchDiscovery(ctx context.Context, reread <-chan ingressconfig.Config) {
	addrs := make(chan string)
	go in.applyConfigs(ctx, reread, addrs)
	in.watcher.Run(ctx, addrs)
}

// applyConfigs applies the settings of each configuration received on reread that can change in a running ingress, and then sends
// its discovery address to addrs. It returns when ctx ends.
func (in *Ingress) applyConfigs(ctx context.Context, reread <-chan ingressconfig.Config, addrs chan<- string) {
	for {
		select {
		case <-ctx.Done():
			return
		case cfg := <-reread:
			if err := in.onLoop(ctx, func() error { return in.applySettings(cfg) }); err != nil {
				in.log.Error("configuration not reloaded", "error", err)
				continue
			}
			in.log.Info("configuration reloaded", "discovery", cfg.Discovery)
			select {
			case addrs <- cfg.Discovery:
			case <-ctx.Done():
				return
			}
		}
	}
}

// newWatcher returns a watcher of discovery. The goroutine of watchDiscovery owns it, except for its Age, which any goroutine may read.
func (in *Ingress) newWatcher() *discovery.Watcher {
	return discovery.NewWatcher(in.cfg.Discovery, in.cfg.InitialEndpoints.Version,
		func(list discovery.List) {
			at := in.clock.Now()
			in.post(at, func() { in.applyDiscoveryList(list, at) })
		},
		func(message string, args ...any) { in.post(in.clock.Now(), func() { in.logFault(message, args...) }) })
}

// EndpointListAge implements Host.
func (in *Ingress) EndpointListAge() discovery.Age { return in.watcher.Age() }

// logListAge logs when the endpoint list becomes stale, which means too old to be trusted, and when it is up to date again, once for each
// change. The ingress keeps using a stale list.
func (in *Ingress) logListAge(age discovery.Age) {
	switch {
	case age.Stale() && !in.endpointListStale:
		in.endpointListStale = true
		in.log.Error("endpoint list is stale", "heard_s", age.SinceUpdateS, "told_s", age.ReportedAgeS)
	case !age.Stale() && in.endpointListStale:
		in.endpointListStale = false
		in.log.Info("endpoint list is up to date again")
	}
}
