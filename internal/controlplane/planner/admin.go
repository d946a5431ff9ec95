package planner

import (
	"context"
	"errors"
	"fmt"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/dataplane/admin"
)

const (
	// cordonTimeoutS is how long a call to cordon may take, in seconds: an operator is answered within a second.
	cordonTimeoutS = 0.8
	// maxLeaseForCordonS is the longest lease, in seconds, with which such a call can succeed in that time: it waits for older leads to end.
	maxLeaseForCordonS = 0.6
)

var errNotReady = errors.New("this planner claims no cells, or is linked to too few forwarders")

// adminAPI implements admin.Handler on the server's loop. Each method returns nil once what was asked for holds.
type adminAPI struct{ server *Server }

// runOnLoop has the loop run do, which must see to it that result is sent one value, and returns that value.
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

// Drain implements admin.Handler: the planner gives up its cells and claims none.
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
