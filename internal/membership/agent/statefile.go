package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"eiderspread/internal/membership/merge"
)

// savedState is the content of the state file. It preserves the reports, such as a drain, of a source that is unreachable when the agent
// restarts.
type savedState struct {
	Version int64          `json:"version"` // version of the served list
	Merged  merge.Snapshot `json:"known"`
}

// loadState reads a state file. If the file does not exist, the state is empty.
func loadState(path string) (savedState, error) {
	var state savedState
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return state, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	if err != nil {
		return state, fmt.Errorf("state: %s: %w", path, err)
	}
	return state, nil
}

// writePauseFactor is the ratio of the pause after a write to the duration of the write, so that a long list, which takes longer to write,
// is written less often.
const writePauseFactor = 20

// stateWriter writes a state file. One goroutine runs run; one other goroutine calls idle and replace and sends on next.
type stateWriter struct {
	path     string
	next     chan savedState // capacity 1: the state to write next
	pausing  atomic.Bool     // a write or the pause after it is in progress
	logError func(err error)
}

func newStateWriter(path string, logError func(error)) *stateWriter {
	return &stateWriter{path: path, next: make(chan savedState, 1), logError: logError}
}

// idle reports whether a state sent on next would be written immediately.
func (w *stateWriter) idle() bool { return !w.pausing.Load() && len(w.next) == 0 }

// replace sends a state on next, in place of one that is still queued.
func (w *stateWriter) replace(state savedState) {
	select {
	case <-w.next:
	default:
	}
	w.next <- state
}

// run writes queued states until end is closed; then it writes the last queued state, if any, and returns.
func (w *stateWriter) run(end <-chan struct{}) {
	for {
		select {
		case state := <-w.next:
			start := time.Now()
			w.pausing.Store(true)
			w.write(state)
			select {
			case <-time.After(writePauseFactor * time.Since(start)):
			case <-end:
			}
			w.pausing.Store(false)
		case <-end:
			select {
			case state := <-w.next:
				w.write(state)
			default:
			}
			return
		}
	}
}

func (w *stateWriter) write(state savedState) {
	if err := writeState(w.path, state); err != nil {
		w.logError(err)
	}
}

// writeState replaces a state file atomically, by renaming a synced temporary file: if the process is killed at any point, the file has
// either the old or the new content.
func writeState(path string, state savedState) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
