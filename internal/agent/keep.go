package agent

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"eiderspread/internal/member"
)

// memory is what an agent keeps in its file across restarts: without it a drain that etcd told is forgotten by an agent that
// comes back while etcd is out of reach.
type memory struct {
	Version int64         `json:"version"`
	Known   member.Memory `json:"known"`
}

// recall reads the file; one that is not there is none.
func recall(path string) (m memory, err error) {
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

// keepShare times as long as a write took, nothing is written after it: the file of a long list is written less often.
const keepShare = 20

// keeper writes the file. One goroutine, one memory that waits; a newer one takes its place.
type keeper struct {
	path string
	next chan memory // of one place
	note func(err error)
	rest atomic.Bool // it has written, and waits for its time
}

// ready tells whether a memory would be written at once; the loop alone asks, and hands one over only then.
func (k *keeper) ready() bool { return !k.rest.Load() && len(k.next) == 0 }

// run writes until done is closed, and what waits then.
func (k *keeper) run(done <-chan struct{}) {
	for {
		select {
		case m := <-k.next:
			began := time.Now()
			k.rest.Store(true)
			if err := k.write(m); err != nil {
				k.note(err)
			}
			select {
			case <-time.After(keepShare * time.Since(began)):
			case <-done:
			}
			k.rest.Store(false)
		case <-done:
			select {
			case m := <-k.next:
				if err := k.write(m); err != nil {
					k.note(err)
				}
			default:
			}
			return
		}
	}
}

// write puts a memory in the place of the file's in one step, so that a kill leaves one or the other.
func (k *keeper) write(m memory) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(k.path), filepath.Base(k.path)+".*")
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
	return os.Rename(f.Name(), k.path)
}
