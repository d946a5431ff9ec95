package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Lock is held by the one process of a name that speaks to planners. The kernel releases it when its process ends, and on no other
// occasion: a process that can't take it must stay quiet, whatever it believes of the other one. It belongs to one goroutine.
type Lock struct {
	path string
	file *os.File // nil while it is not held
}

// NewLock is the lock of the processes called name, as a file in dir, which all of them share. It is not held yet.
func NewLock(dir, name string) *Lock { return &Lock{path: filePath(dir, name, ".lock")} }

// Take takes the lock, if it isn't held already. Where another process holds it, Take fails at once with ErrLocked.
func (l *Lock) Take() error {
	if l.file != nil {
		return nil
	}
	f, err := os.OpenFile(l.path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return ErrLocked
		}
		return fmt.Errorf("hot restart: lock %s: %w", l.path, err)
	}
	l.file = f
	return nil
}

// Release releases the lock, if it is held. The file stays.
func (l *Lock) Release() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
}
