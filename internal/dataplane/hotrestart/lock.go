package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Lock is a file lock, held by the one process of a name that may send messages to planners. Apart from Release, the lock ends only with
// its process: a process that can't acquire it must send planners nothing, even if the other process seems to have ended. Only one
// goroutine may use a Lock.
type Lock struct {
	path string
	file *os.File // nil while it is not held
}

// NewLock returns the lock of the processes called name, a file in dir, which all of them share. The lock is not held yet.
func NewLock(dir, name string) *Lock { return &Lock{path: filePath(dir, name, ".lock")} }

// TryAcquire acquires the lock, unless this process holds it already. If another process holds it, TryAcquire returns ErrLocked at once.
func (l *Lock) TryAcquire() error {
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
