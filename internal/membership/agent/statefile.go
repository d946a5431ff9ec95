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

// savedState is what the state file holds. It keeps what a source that is out of reach at the agent's start had reported, such as a drain.
type savedState struct {
	Version int64          `json:"version"` // of the list that was served
	Merged  merge.Snapshot `json:"known"`
}

// loadState reads a state file. One that does not exist is an empty state.
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

// writePauseFactor is how many times as long as a write took the writer pauses after it: a long list is written less often.
const writePauseFactor = 20

// stateWriter writes a state file. Its goroutine is run's; one other goroutine calls idle, sends on next and calls replace.
type stateWriter struct {
	path     string
	next     chan savedState // of one place: what is to be written next
	pausing  atomic.Bool     // a write is under way, or the pause after it
	logError func(err error)
}

func newStateWriter(path string, logError func(error)) *stateWriter {
	return &stateWriter{path: path, next: make(chan savedState, 1), logError: logError}
}

// idle reports whether a state that is sent on next now would be written at once.
func (w *stateWriter) idle() bool { return !w.pausing.Load() && len(w.next) == 0 }

// replace puts a state in the place of one that waits.
func (w *stateWriter) replace(state savedState) {
	select {
	case <-w.next:
	default:
	}
	w.next <- state
}

// run writes states until end is closed, and then the one that waits.
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

// writeState replaces a state file in one step: whenever the process is killed, the file is the old one or the new one.
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
