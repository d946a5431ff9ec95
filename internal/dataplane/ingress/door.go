package ingress

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"eiderspread/internal/controlplane/cordontable"
	"eiderspread/internal/dataplane/admin"
)

// cordonPollInterval is how often the file of what operators hold is looked at: the other process of an upgrade may have written it.
const cordonPollInterval = 50 * time.Millisecond

var errCordonAtPlanners = errors.New("this is a forwarder: call any planner of the fleet, which has all of them keep off")

var errNotReady = errors.New("this ingress takes no clients")

// adminHandler carries the operators' calls out on the loop. Its methods are called by the console's goroutines; each returns
// once the loop has done what was asked, or with its context.
type adminHandler struct{ ingress *Ingress }

// serveAdmin takes over what was held before this process, and serves the operators' calls until ctx ends.
func (in *Ingress) serveAdmin(ctx context.Context) {
	store := in.cordonStore
	if store == nil {
		go in.admin.Serve()
		return
	}
	if err := store.ReadIfChanged(func(h cordontable.Cordons) { in.cordons.Replace(h) }); err != nil {
		in.log.Error("what operators held is not known: nothing is held", "error", err)
	}
	go in.admin.Serve()
	go func() {
		tick := time.NewTicker(cordonPollInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			err := store.ReadIfChanged(func(h cordontable.Cordons) {
				in.onLoop(ctx, func() error {
					in.applyList(in.cordons.Replace(h))
					return nil
				})
			})
			if err != nil {
				in.Post(func(float64) { in.logFault("what operators hold can't be read", "error", err) })
			}
		}
	}()
}

// cordonStorePath is where an ingress keeps what operators hold: a new process of the same name finds it there.
func cordonStorePath(name string) string {
	return filepath.Join(os.TempDir(), "eiderspread-"+filepath.Base("/"+name)+".held")
}

// onLoop runs do on the loop and returns what it returned.
func (in *Ingress) onLoop(ctx context.Context, do func() error) error {
	got := make(chan error, 1)
	select {
	case in.events <- event{in.clock.Now(), func() { got <- do() }}:
	case <-in.done:
		return errNotReady
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-got:
		return err
	case <-in.done:
		return errNotReady
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready implements console.Ingress.
func (d *adminHandler) Ready(context.Context) error {
	if !d.ingress.acceptingClients.Load() {
		return errNotReady
	}
	return nil
}

// Suspend implements console.Ingress.
func (d *adminHandler) Suspend(ctx context.Context, id string) error {
	return d.changeCordon(ctx, "suspended", id, d.ingress.cordons.Cordon)
}

// Resume implements console.Ingress.
func (d *adminHandler) Resume(ctx context.Context, id string) error {
	return d.changeCordon(ctx, "resumed", id, d.ingress.cordons.Uncordon)
}

// changeCordon carries out a change of what is held, here and in the file that outlives this process.
func (d *adminHandler) changeCordon(ctx context.Context, message, id string,
	do func(nowMS int64, id string) (targets, error)) error {
	in := d.ingress
	if in.cordonStore == nil {
		return errCordonAtPlanners
	}
	return in.cordonStore.Update(ctx, func(before cordontable.Cordons) (after cordontable.Cordons, err error) {
		err = in.onLoop(ctx, func() error {
			if before != nil {
				in.applyList(in.cordons.Replace(before))
			}
			l, err := do(int64(in.now*1000), id)
			switch {
			case errors.Is(err, cordontable.ErrUnknownBackend):
				return fmt.Errorf("%w: %w", admin.ErrUnknown, err)
			case err != nil:
				return err
			}
			in.applyList(l)
			after = in.cordons.Cordons()
			in.log.Info("backend "+message, "id", id, "held", in.cordons.Count())
			return nil
		})
		return after, err
	})
}

// Drain implements console.Ingress.
func (d *adminHandler) Drain(ctx context.Context) error {
	return d.ingress.onLoop(ctx, func() error { d.ingress.startDrain(); return nil })
}

// Activate implements console.Ingress.
func (d *adminHandler) Activate(ctx context.Context) error {
	return d.ingress.onLoop(ctx, d.ingress.cancelDrain)
}
