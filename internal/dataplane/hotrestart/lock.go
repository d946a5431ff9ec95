package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// ErrLocked tells that another process has the lock.
var ErrLocked = errors.New("takeover: another process of this name has the lock")

// Lock is held by the one process of a name that speaks for it to others. The kernel takes it from a process that ends, and from no other
// one: a process that cannot have it must keep quiet, whatever it believes of the other.
type Lock struct {
	path string
	file *os.File // nil while it is not held
}

// NewLock is the lock of a name, in a folder that all its processes have. It is not held yet.
func NewLock(dir, name string) *Lock {
	return &Lock{path: filepath.Join(dir, "eiderspread-"+filepath.Base("/"+name)+".lock")}
}

// Take takes it, or fails at once with ErrLocked.
func (l *Lock) Take() error {
	if l.file != nil {
		return nil
	}
	f, err := os.OpenFile(l.path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("takeover: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return ErrLocked
		}
		return fmt.Errorf("takeover: %s: %w", l.path, err)
	}
	l.file = f
	return nil
}

// Release lets go of it. The file stays.
func (l *Lock) Release() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
}
