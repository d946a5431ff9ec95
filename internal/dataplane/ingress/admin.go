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

// cordonPollInterval is how often the cordon file is checked for changes that the other process of a hot restart has made.
const cordonPollInterval = 50 * time.Millisecond

var (
	errCordonAtPlanners = errors.New("this is a forwarder: call suspend or resume at any planner of the fleet")
	errNotAccepting     = errors.New("this ingress takes no clients")
)

// serveAdmin restores the cordons in the cordon file, starts the admin server, and follows changes of the file until ctx ends.
func (in *Ingress) serveAdmin(ctx context.Context) {
	if in.cordonStore == nil {
		go in.admin.Serve()
		return
	}
	if err := in.cordonStore.ReadIfChanged(func(c cordontable.Cordons) { in.cordons.Replace(c) }); err != nil {
		in.log.Error("cordon file not read at startup, no backend is cordoned", "error", err)
	}
	go in.admin.Serve()
	go in.pollCordons(ctx)
}

// pollCordons applies the changes that another process makes to the cordon file, until ctx ends.
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
			_ = in.onLoop(ctx, func() error { // fails only while the ingress ends
				in.applyList(in.cordons.Replace(c))
				return nil
			})
		})
		if err != nil {
			in.Post(func(float64) { in.logFault("cordon file not read", "error", err) })
		}
	}
}

// cordonStorePath returns the path of the cordon file of an ingress. It depends on the name, so that a new process of the same name finds
// it.
func cordonStorePath(name string) string {
	return filepath.Join(os.TempDir(), "eiderspread-"+filepath.Base("/"+name)+".held")
}

// adminHandler carries out operators' calls on the loop. Goroutines of the admin server call its methods; each method returns once the
// loop has carried out the call, or when its context or the loop ends.
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
	return h.ingress.onLoop(ctx, h.ingress.startDrain)
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

// changeCordon applies change to the cordons of this process and to the cordon file, which outlives the process, and logs it as message.
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
