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
	ringSize      = 8192 // records, some 2 MB: a second of a gateway at its limit
	flushInterval = 100 * time.Millisecond
	// DefaultMaxMB bounds a file where the operator's file does not.
	DefaultMaxMB = 256
)

// Recorder writes a gateway's decisions to a file of its own in a folder.
type Recorder struct {
	ring     *Ring
	path     string
	file     *os.File
	writer   *Writer
	maxBytes int64
	flushes  chan chan error
	done     chan struct{}
	log      *slog.Logger
}

// Open makes the file, named for the gateway, its process and its start, and begins to write. It ends with ctx, after what is there by
// then is written; Done tells when.
func Open(ctx context.Context, dir string, mostMB int, h Header, log *slog.Logger) (*Recorder, error) {
	path := filepath.Join(dir, fmt.Sprintf("%s-%d-%d.trace", h.Name, int64(h.StartedAt*1000), os.Getpid()))
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o640)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	w, err := NewWriter(file, h)
	if err != nil {
		file.Close()
		return nil, err
	}
	if mostMB <= 0 {
		mostMB = DefaultMaxMB
	}
	r := &Recorder{ring: NewRing(ringSize), path: path, file: file, writer: w, maxBytes: int64(mostMB) << 20, flushes: make(chan chan error),
		done: make(chan struct{}), log: log}
	go r.run(ctx)
	return r, nil
}

// Start is Open for a program: at SIGUSR1 what is there is written at once.
func Start(ctx context.Context, dir string, mostMB int, h Header, log *slog.Logger) (*Recorder, error) {
	r, err := Open(ctx, dir, mostMB, h, log)
	if err != nil {
		return nil, err
	}
	flush := make(chan os.Signal, 1)
	signal.Notify(flush, syscall.SIGUSR1)
	go func() {
		defer signal.Stop(flush)
		for {
			select {
			case <-flush:
				r.Flush(ctx)
			case <-r.Done():
				return
			}
		}
	}()
	return r, nil
}

// Wait returns when all is written, once the context that the recorder was started with has ended; at once for none.
func (r *Recorder) Wait() {
	if r != nil {
		<-r.done
	}
}

// CheckFolder tells what is wrong with an operator's settings of a trace.
func CheckFolder(dir string, mostMB int) error {
	if mostMB < 0 {
		return errors.New("trace_mb must not be below 0")
	}
	if st, err := os.Stat(dir); dir != "" && (err != nil || !st.IsDir()) {
		return fmt.Errorf("trace: %s is no folder", dir)
	}
	return nil
}

// Put takes a record; it is what the module is given. Of the loop.
func (r *Recorder) Put(d reason.Decision) { r.ring.Put(d) }

// Done is closed when the file is.
func (r *Recorder) Done() <-chan struct{} { return r.done }

// Flush has all that was put so far written. It fails where the trace has ended before its time. Of any goroutine but the loop.
func (r *Recorder) Flush(ctx context.Context) error {
	back := make(chan error, 1)
	select {
	case r.flushes <- back:
		return <-back
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Recorder) run(ctx context.Context) {
	defer close(r.done)
	defer r.file.Close()
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	var list []reason.Decision
	var over error // why nothing is written any more
	write := func() error {
		var lost uint64
		if list, lost = r.ring.Drain(list[:0]); over != nil || len(list) == 0 && lost == 0 {
			return over
		}
		err := r.writer.Write(list, lost)
		if err == nil && r.writer.Size() >= r.maxBytes {
			err = fmt.Errorf("trace: %s is full", r.path)
		}
		if over = err; over != nil {
			r.log.Error("decisions are not traced any more", "error", err)
		}
		return err
	}
	for {
		select {
		case <-ctx.Done():
			write()
			return
		case <-tick.C:
			write()
		case <-r.ring.HalfFull():
			write()
		case back := <-r.flushes:
			back <- write()
		}
	}
}
