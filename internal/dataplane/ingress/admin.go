package ingress

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"eiderspread/internal/dataplane/admin"
	"eiderspread/internal/membership/cordontable"
	"eiderspread/internal/membership/discovery"
)

// cordonPollInterval is how often the file of what operators cordon is looked at: the other process of a hot restart may have written it.
const cordonPollInterval = 50 * time.Millisecond

var (
	errCordonAtPlanners = errors.New("this is a forwarder: call any planner of the fleet, which has all of them keep off")
	errNotAccepting     = errors.New("this ingress takes no clients")
)

// serveAdmin restores what was cordoned before this process, and serves operators' calls until ctx ends.
func (in *Ingress) serveAdmin(ctx context.Context) {
	if in.cordonStore == nil {
		go in.admin.Serve()
		return
	}
	if err := in.cordonStore.ReadIfChanged(func(c cordontable.Cordons) { in.cordons.Replace(c) }); err != nil {
		in.log.Error("what operators held is not known: nothing is held", "error", err)
	}
	go in.admin.Serve()
	go in.pollCordons(ctx)
}

// pollCordons applies what another process writes to the file of cordons, until ctx ends.
func (in *Ingress) pollCordons(ctx context.Context) {
	tick := time.NewTicker(cordonPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		err := in.cordonStore.ReadIfChanged(func(c cordontable.Cordons) {
			_ = in.onLoop(ctx, func() error { // fails only as the ingress ends
				in.applyList(in.cordons.Replace(c))
				return nil
			})
		})
		if err != nil {
			in.Post(func(float64) { in.logFault("file of cordoned backends not read", "error", err) })
		}
	}
}

// cordonStorePath is where an ingress keeps what operators cordon: a new process of the same name finds it there.
func cordonStorePath(name string) string {
	return filepath.Join(os.TempDir(), "eiderspread-"+filepath.Base("/"+name)+".held")
}

// adminHandler carries operators' calls out on the loop. Its methods are called by goroutines of the admin server; each returns once the loop has
// done what was asked, or with its context.
type adminHandler struct{ ingress *Ingress }

// Ready implements admin.Handler.
func (h *adminHandler) Ready(context.Context) error {
	if !h.ingress.acceptingClients.Load() {
		return errNotAccepting
	}
	return nil
}

// Drain implements admin.Handler.
func (h *adminHandler) Drain(ctx context.Context) error {
	return h.ingress.onLoop(ctx, func() error { h.ingress.startDrain(); return nil })
}

// Activate implements admin.Handler.
func (h *adminHandler) Activate(ctx context.Context) error {
	return h.ingress.onLoop(ctx, h.ingress.cancelDrain)
}

// Suspend implements admin.Handler.
func (h *adminHandler) Suspend(ctx context.Context, id string) error {
	return h.changeCordon(ctx, "backend suspended", id, h.ingress.cordons.Cordon)
}

// Resume implements admin.Handler.
func (h *adminHandler) Resume(ctx context.Context, id string) error {
	return h.changeCordon(ctx, "backend resumed", id, h.ingress.cordons.Uncordon)
}

// changeCordon carries out a change of what is cordoned, here and in the file that outlives this process, and logs it as message.
func (h *adminHandler) changeCordon(ctx context.Context, message, id string,
	change func(nowMS int64, id string) (discovery.List, error)) error {
	in := h.ingress
	if in.cordonStore == nil {
		return errCordonAtPlanners
	}
	return in.cordonStore.Update(ctx, func(before cordontable.Cordons) (after cordontable.Cordons, err error) {
		err = in.onLoop(ctx, func() error {
			if before != nil {
				in.applyList(in.cordons.Replace(before))
			}
			list, err := change(int64(in.now*1000), id)
			switch {
			case errors.Is(err, cordontable.ErrUnknownBackend):
				return fmt.Errorf("%w: %w", admin.ErrUnknown, err)
			case err != nil:
				return err
			}
			in.applyList(list)
			after = in.cordons.Cordons()
			in.log.Info(message, "id", id, "held", in.cordons.Count())
			return nil
		})
		return after, err
	})
}
