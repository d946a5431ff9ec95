// Package trace records a gateway's decisions and their reasons in a file, and reads such files. The event loop puts
// decisions into a ring buffer and never waits for the disk: while the ring is full, decisions are dropped and counted.
package trace

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"eiderspread/internal/decision/reason"
)

const (
	ringSize      = 8192 // decisions, about 2 MB; a gateway at its limit makes about as many in a second
	flushInterval = 100 * time.Millisecond
	// DefaultMaxMB is the size limit of a trace file in megabytes (2^20 bytes) if the operator's file sets none.
	DefaultMaxMB = 256
)

// Recorder writes the decisions of one gateway to one trace file.
type Recorder struct {
	ring     *Ring
	path     string
	file     *os.File
	writer   *Writer
	maxBytes int64
	flushes  chan chan error // each is a call of Flush that waits for a write; stopCause as it is after the write is sent to its channel
	done     chan struct{}
	log      *slog.Logger

	buffer    []reason.Decision // reused by write
	stopCause error             // why the recorder stopped writing; nil while it writes
}

// Open creates a trace file in dir and returns a Recorder that writes to it. The file name consists of the gateway's name, its
// start time in Unix milliseconds and the process id. Recording stops when the file reaches maxMB megabytes (2^20 bytes each;
// 0 or less: DefaultMaxMB). When ctx ends, the recorder writes the decisions in the ring, closes the file and then the channel
// of Done.
func Open(ctx context.Context, dir string, maxMB int, h Header, log *slog.Logger) (*Recorder, error) {
	path := filepath.Join(dir, fmt.Sprintf("%s-%d-%d.trace", h.Name, int64(h.StartedAt*1000), os.Getpid()))
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o640)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	writer, err := NewWriter(file, h)
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	if maxMB <= 0 {
		maxMB = DefaultMaxMB
	}
	r := &Recorder{ring: NewRing(ringSize), path: path, file: file, writer: writer, maxBytes: int64(maxMB) << 20,
		flushes: make(chan chan error), done: make(chan struct{}), log: log}
	go r.run(ctx)
	return r, nil
}

// Start is like Open, and in addition flushes the recorder each time the process receives SIGUSR1.
func Start(ctx context.Context, dir string, maxMB int, h Header, log *slog.Logger) (*Recorder, error) {
	r, err := Open(ctx, dir, maxMB, h, log)
	if err != nil {
		return nil, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				_ = r.Flush(ctx) // write has logged a failure
			case <-r.Done():
				return
			}
		}
	}()
	return r, nil
}

// CheckSettings checks the trace settings of an operator's file. It returns an error if maxMB is below 0 or dir is not an
// existing folder. An empty dir means that no trace is written.
func CheckSettings(dir string, maxMB int) error {
	if maxMB < 0 {
		return fmt.Errorf("trace_mb is %d, must not be below 0", maxMB)
	}
	if dir == "" {
		return nil
	}
	if st, err := os.Stat(dir); err != nil || !st.IsDir() {
		return fmt.Errorf("trace: %s is not an existing folder", dir)
	}
	return nil
}

// Put adds a decision to the ring without waiting for the disk. Only the event loop calls it.
func (r *Recorder) Put(d reason.Decision) { r.ring.Put(d) }

// Done returns a channel that is closed after the file is closed.
func (r *Recorder) Done() <-chan struct{} { return r.done }

// Wait blocks until the file is closed. It returns at once for a nil recorder.
func (r *Recorder) Wait() {
	if r != nil {
		<-r.done
	}
}

// Flush waits until the recorder has written all decisions put so far. It returns an error if recording has stopped because
// the file reached its size limit or a write failed, or if ctx ends first; it returns nil after Done. The event loop must not
// call it, because it waits for the disk.
func (r *Recorder) Flush(ctx context.Context) error {
	result := make(chan error, 1)
	select {
	case r.flushes <- result:
		return <-result
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Recorder) run(ctx context.Context) {
	defer close(r.done)
	defer func() { _ = r.file.Close() }() // the errors of all writes were checked
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.write()
			return
		case <-ticker.C:
			r.write()
		case <-r.ring.HalfFull():
			r.write()
		case result := <-r.flushes:
			r.write()
			result <- r.stopCause
		}
	}
}

// write moves the decisions from the ring to the file. When a write fails or the file reaches its size limit, write logs it
// and sets stopCause; from then on it only empties the ring.
func (r *Recorder) write() {
	var lost uint64
	if r.buffer, lost = r.ring.Drain(r.buffer[:0]); r.stopCause != nil || len(r.buffer) == 0 && lost == 0 {
		return
	}
	r.stopCause = r.writer.Write(r.buffer, lost)
	if r.stopCause == nil && r.writer.Size() >= r.maxBytes {
		r.stopCause = fmt.Errorf("trace: %s reached its size limit of %d bytes", r.path, r.maxBytes)
	}
	if r.stopCause != nil {
		r.log.Error("decision trace stopped", "error", r.stopCause)
	}
}
