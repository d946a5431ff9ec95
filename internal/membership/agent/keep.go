package agent

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"eiderspread/internal/membership/merge"
)

// savedState is what an agent keeps in its file across restarts: without it a drain that etcd told is forgotten by an agent that
// comes back while etcd is out of reach.
type savedState struct {
	Version int64          `json:"version"`
	Merged  merge.Snapshot `json:"known"`
}

// loadState reads the file; one that is not there is none.
func loadState(path string) (m savedState, err error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return m, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	if err != nil {
		return m, fmt.Errorf("state: %s: %w", path, err)
	}
	return m, nil
}

// writePauseFactor times as long as a write took, nothing is written after it: the file of a long list is written less often.
const writePauseFactor = 20

// stateWriter writes the file. One goroutine, one memory that waits; a newer one takes its place.
type stateWriter struct {
	path     string
	next     chan savedState // of one place
	logError func(err error)
	pausing  atomic.Bool // it has written, and waits for its time
}

// ready tells whether a memory would be written at once; the loop alone asks, and hands one over only then.
func (w *stateWriter) ready() bool { return !w.pausing.Load() && len(w.next) == 0 }

// run writes until done is closed, and what waits then.
func (w *stateWriter) run(done <-chan struct{}) {
	for {
		select {
		case m := <-w.next:
			began := time.Now()
			w.pausing.Store(true)
			if err := w.write(m); err != nil {
				w.logError(err)
			}
			select {
			case <-time.After(writePauseFactor * time.Since(began)):
			case <-done:
			}
			w.pausing.Store(false)
		case <-done:
			select {
			case m := <-w.next:
				if err := w.write(m); err != nil {
					w.logError(err)
				}
			default:
			}
			return
		}
	}
}

// write puts a memory in the place of the file's in one step, so that a kill leaves one or the other.
func (w *stateWriter) write(m savedState) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(w.path), filepath.Base(w.path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), w.path)
}
