package ingress

import (
	"context"
	"time"

	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/membership/discovery"
)

// listAgeInterval is how often the age of the endpoint list is looked at, for the log alone.
const listAgeInterval = 5 * time.Second

// applyDiscoveryList applies a list that discovery sent at notifiedAt, with what operators cordon laid over it.
func (in *Ingress) applyDiscoveryList(list discovery.List, notifiedAt float64) {
	if in.cordons != nil {
		list = in.cordons.ApplyList(list)
	}
	in.applyListAt(list, notifiedAt)
}

// applyList applies a list that changes now, by operators.
func (in *Ingress) applyList(list discovery.List) { in.applyListAt(list, in.now) }

// applyListAt applies a list to the pools, and notifies the decider.
func (in *Ingress) applyListAt(list discovery.List, notifiedAt float64) {
	if len(list.Endpoints) == 0 && !list.Full {
		return
	}
	in.backends.applyList(in, list, notifiedAt)
	in.decider.UpdateBackends(in.now, list.Backends(), list.Full)
}

// watchDiscovery follows discovery until ctx ends, from each configuration that comes on reread on at the address that it names.
func (in *Ingress) watchDiscovery(ctx context.Context, reread <-chan ingressconfig.Config) {
	addrs := make(chan string)
	go in.takeConfigs(ctx, reread, addrs)
	in.watcher.Run(ctx, addrs)
}

// takeConfigs takes over what a running ingress can of each configuration, and hands on the address of discovery, until ctx ends.
func (in *Ingress) takeConfigs(ctx context.Context, reread <-chan ingressconfig.Config, addrs chan<- string) {
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
			case addrs <- cfg.Discovery:
			case <-ctx.Done():
				return
			}
		}
	}
}

// newWatcher makes the watcher of discovery; watchDiscovery's goroutine owns it but for its age.
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

// logListAge logs, once each way, when the endpoint list gets too old to be trusted. The ingress goes on with it.
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
