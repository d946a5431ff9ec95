package ingress

import (
	"context"

	"eiderspread/internal/roster"
)

type (
	targets = roster.List
	target  = roster.Target
)

// takeList applies a list to the pools and tells the module.
func (in *Ingress) takeList(t targets) {
	in.backends.apply(in, t)
	in.gate.Servers(in.now, t.Policy(), t.Full)
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
				in.log.Info("configuration read again", "discovery", cfg.Discovery)
				select {
				case moves <- cfg.Discovery:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	roster.New(in.cfg.Discovery, in.cfg.Known.Version,
		func(t targets) { in.post(in.clock.Now(), func() { in.takeList(t) }) },
		func(what string, args ...any) { in.post(in.clock.Now(), func() { in.note(what, args...) }) }).Run(ctx, moves)
}
