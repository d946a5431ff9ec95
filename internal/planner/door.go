package planner

import (
	"context"
	"errors"
	"fmt"

	"eiderspread/internal/console"
	"eiderspread/internal/withhold"
)

const (
	// holdWithin is how long a hold may take until its answer, which is due within a second of the call.
	holdWithin = 0.8
	// doorLeaseMost is the longest lease, in seconds, with which a hold can be said yes to in that time.
	doorLeaseMost = 0.6
)

var errNotReady = errors.New("this planner claims no cells, or is linked to too few forwarders")

// door carries out operators' calls on the server's loop. Each method returns once what was asked for holds, or with an error.
type door struct{ s *Server }

// onLoop runs do on the loop. do sees to it that got is given one value.
func (d *door) onLoop(ctx context.Context, do func(now float64, got chan<- error)) error {
	got := make(chan error, 1)
	select {
	case d.s.events <- func(now float64) { do(now, got) }:
	case <-d.s.done:
		return errNotReady
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-got:
		return err
	case <-d.s.done:
		return errNotReady
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready implements console.Ingress.
func (d *door) Ready(ctx context.Context) error {
	return d.onLoop(ctx, func(_ float64, got chan<- error) {
		if d.s.host.Ready() {
			got <- nil
		} else {
			got <- errNotReady
		}
	})
}

// Suspend implements console.Ingress.
func (d *door) Suspend(ctx context.Context, id string) error { return d.hold(ctx, id, true) }

// Resume implements console.Ingress.
func (d *door) Resume(ctx context.Context, id string) error { return d.hold(ctx, id, false) }

func (d *door) hold(ctx context.Context, id string, held bool) error {
	return d.onLoop(ctx, func(now float64, got chan<- error) {
		err := d.s.host.Hold(now, holdWithin, id, held, func(err error) { got <- err })
		if errors.Is(err, withhold.ErrUnknown) {
			err = fmt.Errorf("%w: %w", console.ErrUnknown, err)
		}
		if err != nil {
			got <- err
		}
	})
}

// Drain implements console.Ingress: the planner gives up its cells and claims none.
func (d *door) Drain(ctx context.Context) error {
	return d.onLoop(ctx, func(now float64, got chan<- error) {
		d.s.host.Leave(now)
		got <- nil
	})
}

// Activate implements console.Ingress.
func (d *door) Activate(ctx context.Context) error {
	return d.onLoop(ctx, func(now float64, got chan<- error) {
		d.s.host.Return(now)
		got <- nil
	})
}
