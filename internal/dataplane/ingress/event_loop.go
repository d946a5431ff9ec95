package ingress

import (
	"context"
	"fmt"
	"runtime/debug"
)

// eventQueueSize is the capacity of the event queue. Goroutines that post events block while the queue is full.
const eventQueueSize = 1024

// event is an event that occurred outside the loop, and the function with which the loop handles it.
type event struct {
	occurredAt float64
	run        func()
}

// runLoop handles events one at a time until the shutdown is complete.
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

// post queues an event of another goroutine for the loop. It blocks while the queue is full, and drops the event if the loop has ended.
func (in *Ingress) post(at float64, run func()) {
	select {
	case in.events <- event{at, run}:
	case <-in.done:
	}
}

// onLoop runs do on the loop and returns its result. If ctx or the loop ends first, onLoop returns an error, and do may still run.
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

// handleEvent runs one event and the outcomes that it deferred. A panic ends only the function that panicked, not the process.
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

// maxFaultLogsPerSecond limits the log lines about faults of other parties.
const maxFaultLogsPerSecond = 5

// logLimiter counts the log lines of the current second.
type logLimiter struct {
	second int64 // Unix time
	count  int
}

// allow counts a log line at now, and reports whether it may be written.
func (l *logLimiter) allow(now float64) bool {
	if second := int64(now); second != l.second {
		*l = logLimiter{second: second}
	}
	l.count++
	return l.count <= maxFaultLogsPerSecond
}

// logFault logs a fault of another party, up to maxFaultLogsPerSecond lines a second. Loop only.
func (in *Ingress) logFault(message string, args ...any) {
	if in.faultLimiter.allow(in.now) {
		in.log.Warn(message, args...)
	}
}
