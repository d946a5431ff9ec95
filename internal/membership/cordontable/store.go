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
	// lockTimeout bounds the wait for another process that has locked the file.
	lockTimeout       = 400 * time.Millisecond
	lockRetryInterval = 2 * time.Millisecond
	maxFileBytes      = 1 << 20
	// fileMode is the mode of the lock file. The cordon file has the same mode by os.CreateTemp: other users can't see operators' actions.
	fileMode = 0o600
)

// ErrUnusableFile is wrapped by the errors for an existing file that no Store has written or that is incomplete.
var ErrUnusableFile = errors.New("unusable cordon file")

// fileContent is the JSON form of the file.
type fileContent struct {
	Version int             `json:"version"`
	Sum     string          `json:"sum"` // SHA-256 of the bytes of holds, in hexadecimal
	Cordons json.RawMessage `json:"holds"`
}

// Store keeps cordons in a file that several processes of one ingress share. It writes a temporary file and renames it, so the file is
// complete whenever a process ends. The methods are safe for concurrent use, and block.
type Store struct {
	path     string
	sem      chan struct{} // one slot, taken for a whole update or read, so that lastSeen is never newer than the content read
	lastSeen os.FileInfo   // file last read or written; guarded by sem
}

// NewStore returns a store for the file at path. It does not access the file yet.
func NewStore(path string) *Store { return &Store{path: path, sem: make(chan struct{}, 1)} }

// Update calls apply with the cordons in the file and writes the cordons that apply returns, unless it returns an error. If the file does
// not exist or can't be used, apply is called with nil. If another call in this process is under way, Update waits for it until ctx ends.
// If another process holds the lock, Update waits for up to lockTimeout.
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

// ReadIfChanged calls apply with the cordons in the file if the file has changed since this store last read or wrote it. A missing file is
// no change. If the content can't be read or used, ReadIfChanged returns the error once for each version of the file.
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

// lock acquires the file lock between the processes.
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

// parseFile decodes and validates the content of the file. Its error wraps ErrUnusableFile or is ErrTooMany.
func parseFile(text []byte) (Cordons, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%w: %d bytes, want at most %d", ErrUnusableFile, len(text), maxFileBytes)
	}
	var content fileContent
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnusableFile, err)
	}
	if content.Version != fileVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrUnusableFile, content.Version, fileVersion)
	}
	if content.Sum != checksum(content.Cordons) {
		return nil, fmt.Errorf("%w: content does not match checksum %q", ErrUnusableFile, content.Sum)
	}
	cordons := Cordons{}
	if err := json.Unmarshal(content.Cordons, &cordons); err != nil {
		return nil, fmt.Errorf("%w: cordons: %w", ErrUnusableFile, err)
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

// replaceFile writes and syncs a temporary file in the same directory, then renames it to path.
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
