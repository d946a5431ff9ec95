package planner

import (
	"context"
	"errors"
	"fmt"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/dataplane/admin"
)

const (
	// cordonTimeoutS is how long a hold may take until its answer, which is due within a second of the call.
	cordonTimeoutS = 0.8
	// maxLeaseForCordonS is the longest lease, in seconds, with which a hold can be said yes to in that time.
	maxLeaseForCordonS = 0.6
)

var errNotReady = errors.New("this planner claims no cells, or is linked to too few forwarders")

// adminAPI carries out operators' calls on the server's loop. Each method returns once what was asked for holds, or with an error.
type adminAPI struct{ server *Server }

// runOnLoop runs do on the loop. do sees to it that got is given one value.
func (a *adminAPI) runOnLoop(ctx context.Context, do func(now float64, result chan<- error)) error {
	result := make(chan error, 1)
	select {
	case a.server.events <- func(now float64) { do(now, result) }:
	case <-a.server.done:
		return errNotReady
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-a.server.done:
		return errNotReady
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready implements console.Ingress.
func (a *adminAPI) Ready(ctx context.Context) error {
	return a.runOnLoop(ctx, func(_ float64, result chan<- error) {
		if a.server.core.Ready() {
			result <- nil
		} else {
			result <- errNotReady
		}
	})
}

// Suspend implements console.Ingress.
func (a *adminAPI) Suspend(ctx context.Context, id string) error { return a.setCordoned(ctx, id, true) }

// Resume implements console.Ingress.
func (a *adminAPI) Resume(ctx context.Context, id string) error { return a.setCordoned(ctx, id, false) }

func (a *adminAPI) setCordoned(ctx context.Context, id string, cordoned bool) error {
	return a.runOnLoop(ctx, func(now float64, result chan<- error) {
		err := a.server.core.SetCordoned(now, cordonTimeoutS, id, cordoned, func(err error) { result <- err })
		if errors.Is(err, cordon.ErrUnknownBackend) {
			err = fmt.Errorf("%w: %w", admin.ErrUnknown, err)
		}
		if err != nil {
			result <- err
		}
	})
}

// Drain implements console.Ingress: the planner gives up its cells and claims none.
func (a *adminAPI) Drain(ctx context.Context) error {
	return a.runOnLoop(ctx, func(now float64, result chan<- error) {
		a.server.core.Drain(now)
		result <- nil
	})
}

// Activate implements console.Ingress.
func (a *adminAPI) Activate(ctx context.Context) error {
	return a.runOnLoop(ctx, func(now float64, result chan<- error) {
		a.server.core.Activate(now)
		result <- nil
	})
}
