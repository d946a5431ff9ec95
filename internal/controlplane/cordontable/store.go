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
	fileVersion       = 1
	lockTimeout       = 400 * time.Millisecond // how long another process's lock is waited for
	lockRetryInterval = 2 * time.Millisecond
	maxFileBytes      = 1 << 20
)

// fileContent is the form on disk: the sum is of the JSON of the holds.
type fileContent struct {
	Version int             `json:"version"`
	Sum     string          `json:"sum"`
	Cordons json.RawMessage `json:"holds"`
}

// Store keeps holds in a file that several processes of one ingress share. A file is written beside and renamed, so that
// it is whole whenever a process ends. Its methods are safe for concurrent use, and block.
type Store struct {
	path     string
	sem      chan struct{} // held over a whole change or look, so that none is undone by an older one
	lastSeen os.FileInfo
}

// NewStore returns the store at path; nothing is read yet.
func NewStore(path string) *Store { return &Store{path: path, sem: make(chan struct{}, 1)} }

// Update reads what the file holds, has apply turn it into what it shall hold, and writes that. Nothing is written when
// apply returns an error. An unreadable file is passed to apply as no holds. It waits for other changes until ctx ends.
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

// ReadIfChanged calls apply with the holds if the file has changed since this store last read or wrote it. An error tells of a
// file that can't be used; it is told once for each state of the file.
func (s *Store) ReadIfChanged(apply func(Cordons)) error {
	s.sem <- struct{}{}
	defer func() { <-s.sem }()
	now, err := os.Stat(s.path)
	if err != nil || s.lastSeen != nil && os.SameFile(now, s.lastSeen) && now.ModTime().Equal(s.lastSeen.ModTime()) {
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		return err
	}
	s.lastSeen = now
	cordons, err := s.read()
	if err != nil {
		return err
	}
	apply(cordons)
	return nil
}

func (s *Store) lock(ctx context.Context) (unlock func(), err error) {
	f, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	for until := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { f.Close() }, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) || time.Now().After(until) || ctx.Err() != nil {
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

func parseFile(text []byte) (Cordons, error) {
	var f fileContent
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("held: file of %d bytes", len(text))
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	if f.Version != fileVersion {
		return nil, fmt.Errorf("held: version %d is not known", f.Version)
	}
	if f.Sum != checksum(f.Cordons) {
		return nil, errors.New("held: the checksum differs")
	}
	cordons := Cordons{}
	if err := json.Unmarshal(f.Cordons, &cordons); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	if len(cordons) > MaxCordons {
		return nil, ErrTooMany
	}
	return cordons, nil
}

func checksum(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:])
}

func (s *Store) write(cordons Cordons) error {
	body, err := json.Marshal(cordons)
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	text, err := json.Marshal(fileContent{fileVersion, checksum(body), body})
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	tmp, err := os.CreateTemp(filepath.Dir(s.path), filepath.Base(s.path)+".new-*")
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(text)
	if err = errors.Join(err, tmp.Sync(), tmp.Close()); err == nil {
		err = os.Rename(tmp.Name(), s.path)
	}
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	s.lastSeen, err = os.Stat(s.path)
	return err
}
