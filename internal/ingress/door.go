package ingress

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"eiderspread/internal/console"
	"eiderspread/internal/held"
)

// lookEvery is how often the file of what operators hold is looked at: the other process of an upgrade may have written it.
const lookEvery = 50 * time.Millisecond

var errPlanners = errors.New("this is a forwarder: call any planner of the fleet, which has all of them keep off")

var errNotReady = errors.New("this ingress takes no clients")

// door carries the operators' calls out on the loop. Its methods are called by the console's goroutines; each returns
// once the loop has done what was asked, or with its context.
type door struct{ in *Ingress }

// openDoor takes over what was held before this process, and serves the operators' calls until ctx ends.
func (in *Ingress) openDoor(ctx context.Context) {
	store := in.store
	if store == nil {
		go in.console.Serve()
		return
	}
	if err := store.Look(func(h held.Holds) { in.held.Set(h) }); err != nil {
		in.log.Error("what operators held is not known: nothing is held", "error", err)
	}
	go in.console.Serve()
	go func() {
		tick := time.NewTicker(lookEvery)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			err := store.Look(func(h held.Holds) {
				in.onLoop(ctx, func() error {
					in.applyList(in.held.Set(h))
					return nil
				})
			})
			if err != nil {
				in.Post(func(float64) { in.note("what operators hold can't be read", "error", err) })
			}
		}
	}()
}

// storePath is where an ingress keeps what operators hold: a new process of the same name finds it there.
func storePath(name string) string {
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
func (d *door) Ready(context.Context) error {
	if !d.in.taking.Load() {
		return errNotReady
	}
	return nil
}

// Suspend implements console.Ingress.
func (d *door) Suspend(ctx context.Context, id string) error {
	return d.change(ctx, "suspended", id, d.in.held.Hold)
}

// Resume implements console.Ingress.
func (d *door) Resume(ctx context.Context, id string) error {
	return d.change(ctx, "resumed", id, d.in.held.Release)
}

// change carries out a change of what is held, here and in the file that outlives this process.
func (d *door) change(ctx context.Context, what, id string,
	do func(nowMS int64, id string) (targets, error)) error {
	in := d.in
	if in.store == nil {
		return errPlanners
	}
	return in.store.Change(ctx, func(before held.Holds) (after held.Holds, err error) {
		err = in.onLoop(ctx, func() error {
			if before != nil {
				in.applyList(in.held.Set(before))
			}
			l, err := do(int64(in.now*1000), id)
			switch {
			case errors.Is(err, held.ErrUnknown):
				return fmt.Errorf("%w: %w", console.ErrUnknown, err)
			case err != nil:
				return err
			}
			in.applyList(l)
			after = in.held.Holds()
			in.log.Info("backend "+what, "id", id, "held", in.held.Count())
			return nil
		})
		return after, err
	})
}

// Drain implements console.Ingress.
func (d *door) Drain(ctx context.Context) error {
	return d.in.onLoop(ctx, func() error { d.in.startDrain(); return nil })
}

// Activate implements console.Ingress.
func (d *door) Activate(ctx context.Context) error {
	return d.in.onLoop(ctx, d.in.endDrain)
}
