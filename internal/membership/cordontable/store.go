package cordontable

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	fileVersion = 1
	// lockTimeout is how long another process's lock on the file is waited for.
	lockTimeout       = 400 * time.Millisecond
	lockRetryInterval = 2 * time.Millisecond
	maxFileBytes      = 1 << 20
	// fileMode keeps what operators did from other users.
	fileMode = 0o600
)

// ErrUnusableFile is wrapped by the errors of a file that is there and that no Store has written, or not completely.
var ErrUnusableFile = errors.New("the file can't be used")

// fileContent is the form on disk.
type fileContent struct {
	Version int             `json:"version"`
	Sum     string          `json:"sum"` // SHA-256 of the bytes of holds, in hexadecimal
	Cordons json.RawMessage `json:"holds"`
}

// Store keeps cordons in a file that several processes of one ingress share. The file is written beside its place and renamed, so that it is
// complete whenever a process ends. The methods are safe for concurrent use, and block.
type Store struct {
	path     string
	sem      chan struct{} // of one slot, held over a whole update or read: no file is taken for newer than it is
	lastSeen os.FileInfo   // of the file that was last read or written; guarded by sem
}

// NewStore returns the store at path; nothing is read yet.
func NewStore(path string) *Store { return &Store{path: path, sem: make(chan struct{}, 1)} }

// Update reads the cordons in the file, has apply return what they shall be, and writes that, unless apply returns an error. To apply, an
// unusable file holds none. Update waits for other updates of this process until ctx ends, and for other processes for lockTimeout.
func (s *Store) Update(ctx context.Context, apply func(Cordons) (Cordons, error)) error {
	select {
	case s.sem <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("held: another call is under way: %w", ctx.Err())
	}
	defer func() { <-s.sem }()
	unlock, err := s.lock(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	cordons, err := s.read()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		cordons = nil
	}
	if cordons, err = apply(cordons); err != nil {
		return err
	}
	return s.write(cordons)
}

// ReadIfChanged calls apply with the cordons in the file if it has changed since this store last read or wrote it. An error is about a file
// that can't be read or used; it is returned once for each state of the file.
func (s *Store) ReadIfChanged(apply func(Cordons)) error {
	s.sem <- struct{}{}
	defer func() { <-s.sem }()
	info, err := os.Stat(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil || s.lastSeen != nil && os.SameFile(info, s.lastSeen) && info.ModTime().Equal(s.lastSeen.ModTime()) {
		return err
	}
	s.lastSeen = info
	cordons, err := s.read()
	if err != nil {
		return err
	}
	apply(cordons)
	return nil
}

// lock takes the lock that the processes share.
func (s *Store) lock(ctx context.Context) (unlock func(), err error) {
	f, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { f.Close() }, nil
		}
		retry := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
		if !retry || time.Now().After(deadline) || ctx.Err() != nil {
			f.Close()
			return nil, fmt.Errorf("held: lock: %w", err)
		}
	}
}

func (s *Store) read() (Cordons, error) {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return nil, err
	}
	return parseFile(text)
}

// parseFile reads the form on disk. An error wraps ErrUnusableFile or is ErrTooMany.
func parseFile(text []byte) (Cordons, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("held: %w: %d bytes", ErrUnusableFile, len(text))
	}
	var content fileContent
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, fmt.Errorf("held: %w: %w", ErrUnusableFile, err)
	}
	if content.Version != fileVersion {
		return nil, fmt.Errorf("held: %w: version %d is not known", ErrUnusableFile, content.Version)
	}
	if content.Sum != checksum(content.Cordons) {
		return nil, fmt.Errorf("held: %w: the checksum differs", ErrUnusableFile)
	}
	cordons := Cordons{}
	if err := json.Unmarshal(content.Cordons, &cordons); err != nil {
		return nil, fmt.Errorf("held: %w: %w", ErrUnusableFile, err)
	}
	if len(cordons) > MaxCordons {
		return nil, ErrTooMany
	}
	return cordons, nil
}

func checksum(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

func (s *Store) write(cordons Cordons) error {
	body, err := json.Marshal(cordons)
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	text, err := json.Marshal(fileContent{Version: fileVersion, Sum: checksum(body), Cordons: body})
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	if err := replaceFile(s.path, text); err != nil {
		return fmt.Errorf("held: %w", err)
	}
	s.lastSeen, err = os.Stat(s.path)
	return err
}

// replaceFile writes a file beside path, and renames it once it is on disk.
func replaceFile(path string, text []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(text)
	if err = errors.Join(err, tmp.Sync(), tmp.Close()); err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}
