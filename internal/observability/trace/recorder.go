// Package trace records a gateway's decisions and their reasons in a file, and reads such files. The event loop puts
// decisions into a ring and never waits for the disk: while the ring is full, decisions are dropped and counted.
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
	ringSize      = 8192 // decisions, about 2 MB: what a gateway at its limit decides in a second
	flushInterval = 100 * time.Millisecond
	// DefaultMaxMB bounds a file, in megabytes, if the operators' file does not.
	DefaultMaxMB = 256
)

// Recorder writes a gateway's decisions to a file of its own.
type Recorder struct {
	ring     *Ring
	path     string
	file     *os.File
	writer   *Writer
	maxBytes int64
	flushes  chan chan error // requests of Flush; each gets the result of one write
	done     chan struct{}
	log      *slog.Logger

	buffer  []reason.Decision // scratch space of write
	stopped error             // why nothing is written any more
}

// Open creates a file in dir, named for the gateway, its start and the process, and starts to write. At maxMB megabytes
// (0: DefaultMaxMB) recording stops. When ctx ends, the recorder writes what it has, closes the file and then Done.
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

// Start is Open for a program: in addition, SIGUSR1 has all decisions so far written at once.
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
				_ = r.Flush(ctx) // the recorder has logged a failure itself
			case <-r.Done():
				return
			}
		}
	}()
	return r, nil
}

// CheckFolder returns an error if an operators' file asks for a trace that can't be written: dir is no folder, or maxMB is
// below 0. An empty dir stands for no trace.
func CheckFolder(dir string, maxMB int) error {
	if maxMB < 0 {
		return errors.New("trace_mb must not be below 0")
	}
	if dir == "" {
		return nil
	}
	if st, err := os.Stat(dir); err != nil || !st.IsDir() {
		return fmt.Errorf("trace: %s is no folder", dir)
	}
	return nil
}

// Put records a decision. It is called by the event loop alone and does not wait for the disk.
func (r *Recorder) Put(d reason.Decision) { r.ring.Put(d) }

// Done returns a channel that is closed when the file is.
func (r *Recorder) Done() <-chan struct{} { return r.done }

// Wait waits until Done is closed; it returns at once for a nil recorder.
func (r *Recorder) Wait() {
	if r != nil {
		<-r.done
	}
}

// Flush has all decisions so far written. It fails if recording has stopped early, as the file is full or can't be
// written. It must not be called by the event loop.
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
	defer func() { _ = r.file.Close() }() // each write was checked
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
			result <- r.stopped
		}
	}
}

// write writes what is in the ring. After a failure, which it logs, it only empties the ring.
func (r *Recorder) write() {
	var lost uint64
	if r.buffer, lost = r.ring.Drain(r.buffer[:0]); r.stopped != nil || len(r.buffer) == 0 && lost == 0 {
		return
	}
	r.stopped = r.writer.Write(r.buffer, lost)
	if r.stopped == nil && r.writer.Size() >= r.maxBytes {
		r.stopped = fmt.Errorf("trace: %s is full", r.path)
	}
	if r.stopped != nil {
		r.log.Error("decisions are not traced any more", "error", r.stopped)
	}
}
