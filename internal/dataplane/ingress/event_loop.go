package ingress

import (
	"context"
	"fmt"
	"runtime/debug"
)

// eventQueueSize is how many events may wait for the loop; beyond it readers wait.
const eventQueueSize = 1024

// event is something that happened outside the loop, with the time at which it did.
type event struct {
	occurredAt float64
	run        func()
}

// runLoop handles events one at a time until the drain is complete.
func (in *Ingress) runLoop(ctx context.Context) {
	defer close(in.done)
	shutdown := ctx.Done()
	for !in.shutdownComplete() {
		in.armSystemTimer()
		select {
		case e := <-in.events:
			in.handleEvent(e)
		case <-in.systemTimer.C:
			in.systemTimerAt = 0
			in.runExpiredTimers()
		case <-shutdown:
			shutdown = nil
			in.requestShutdown()
		}
	}
}

// post hands the loop an event of another goroutine.
func (in *Ingress) post(at float64, run func()) {
	select {
	case in.events <- event{at, run}:
	case <-in.done:
	}
}

// onLoop runs do on the loop and returns what it returned, or an error when ctx or the loop ends first. do may run all the same then.
func (in *Ingress) onLoop(ctx context.Context, do func() error) error {
	result := make(chan error, 1)
	select {
	case in.events <- event{in.clock.Now(), func() { result <- do() }}:
	case <-in.done:
		return errNotAccepting
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-in.done:
		return errNotAccepting
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleEvent runs one event and the outcomes that it deferred. A panic costs the event, not the process.
func (in *Ingress) handleEvent(e event) {
	in.now = max(in.now, e.occurredAt)
	in.runRecovered(e.run)
	for len(in.deferred) > 0 {
		run := in.deferred[0]
		in.deferred = in.deferred[1:]
		in.runRecovered(run)
	}
	in.deferred = nil
}

func (in *Ingress) runRecovered(run func()) {
	defer func() {
		if p := recover(); p != nil {
			in.logFault("event handler panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	run()
}

// maxFaultLogsPerSecond bounds the log lines on faults of others.
const maxFaultLogsPerSecond = 5

// logLimiter counts the lines of one second.
type logLimiter struct {
	second int64 // Unix
	count  int
}

// logFault logs a fault of another party, unless there were many within this second. Loop only.
func (in *Ingress) logFault(message string, args ...any) {
	if second := int64(in.now); second != in.faultLimiter.second {
		in.faultLimiter = logLimiter{second: second}
	}
	if in.faultLimiter.count++; in.faultLimiter.count <= maxFaultLogsPerSecond {
		in.log.Warn(message, args...)
	}
}
