package planner

import (
	"context"
	"errors"
	"fmt"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/dataplane/admin"
)

const (
	// cordonTimeoutS is the timeout of a call that cordons or uncordons a backend, in seconds. It lets an operator get the answer within a
	// second.
	cordonTimeoutS = 0.8
	// maxLeaseForCordonS is the longest lease, in seconds, with which such a call can succeed before its timeout: the call waits until older
	// leases have expired.
	maxLeaseForCordonS = 0.6
)

var errNotReady = errors.New("this planner claims no cells, or is linked to too few forwarders")

// adminAPI implements admin.Handler. Its methods run on the server's event loop and return nil once the requested state is in effect.
type adminAPI struct{ server *Server }

// runOnLoop runs fn on the event loop and returns the value that is sent to result. fn must arrange for exactly one value to be sent.
func (a *adminAPI) runOnLoop(ctx context.Context, fn func(now float64, result chan<- error)) error {
	result := make(chan error, 1)
	select {
	case a.server.events <- func(now float64) { fn(now, result) }:
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

// Ready implements admin.Handler.
func (a *adminAPI) Ready(ctx context.Context) error {
	return a.runOnLoop(ctx, func(_ float64, result chan<- error) {
		if a.server.core.Ready() {
			result <- nil
		} else {
			result <- errNotReady
		}
	})
}

// Suspend implements admin.Handler: it cordons a backend in the whole fleet.
func (a *adminAPI) Suspend(ctx context.Context, id string) error { return a.setCordoned(ctx, id, true) }

// Resume implements admin.Handler.
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

// Drain implements admin.Handler: the planner releases its cells and claims none.
func (a *adminAPI) Drain(ctx context.Context) error {
	return a.runOnLoop(ctx, func(now float64, result chan<- error) {
		a.server.core.Drain(now)
		result <- nil
	})
}

// Activate implements admin.Handler.
func (a *adminAPI) Activate(ctx context.Context) error {
	return a.runOnLoop(ctx, func(now float64, result chan<- error) {
		a.server.core.Activate(now)
		result <- nil
	})
}
