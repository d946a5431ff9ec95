package held

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
	lockMost    = 400 * time.Millisecond // how long another process's lock is waited for
	lockRetry   = 2 * time.Millisecond
	fileMost    = 1 << 20
)

// file is the form on disk: the sum is of the JSON of the holds.
type file struct {
	Version int             `json:"version"`
	Sum     string          `json:"sum"`
	Holds   json.RawMessage `json:"holds"`
}

// Store keeps holds in a file that several processes of one ingress share. A file is written beside and renamed, so that
// it is whole whenever a process ends. Its methods are safe for concurrent use, and block.
type Store struct {
	path string
	one  chan struct{} // held over a whole change or look, so that none is undone by an older one
	seen os.FileInfo
}

// NewStore returns the store at path; nothing is read yet.
func NewStore(path string) *Store { return &Store{path: path, one: make(chan struct{}, 1)} }

// Change reads what the file holds, has apply turn it into what it shall hold, and writes that. Nothing is written when
// apply returns an error. An unreadable file is passed to apply as no holds. It waits for other changes until ctx ends.
func (s *Store) Change(ctx context.Context, apply func(Holds) (Holds, error)) error {
	select {
	case s.one <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("held: another call is under way: %w", ctx.Err())
	}
	defer func() { <-s.one }()
	unlock, err := s.lock(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	holds, err := s.read()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		holds = nil
	}
	if holds, err = apply(holds); err != nil {
		return err
	}
	return s.write(holds)
}

// Look calls apply with the holds if the file has changed since this store last read or wrote it. An error tells of a
// file that can't be used; it is told once for each state of the file.
func (s *Store) Look(apply func(Holds)) error {
	s.one <- struct{}{}
	defer func() { <-s.one }()
	now, err := os.Stat(s.path)
	if err != nil || s.seen != nil && os.SameFile(now, s.seen) && now.ModTime().Equal(s.seen.ModTime()) {
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		return err
	}
	s.seen = now
	holds, err := s.read()
	if err != nil {
		return err
	}
	apply(holds)
	return nil
}

func (s *Store) lock(ctx context.Context) (unlock func(), err error) {
	f, err := os.OpenFile(s.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	for until := time.Now().Add(lockMost); ; time.Sleep(lockRetry) {
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

func (s *Store) read() (Holds, error) {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return nil, err
	}
	return parse(text)
}

func parse(text []byte) (Holds, error) {
	var f file
	if len(text) > fileMost {
		return nil, fmt.Errorf("held: file of %d bytes", len(text))
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	if f.Version != fileVersion {
		return nil, fmt.Errorf("held: version %d is not known", f.Version)
	}
	if f.Sum != sum(f.Holds) {
		return nil, errors.New("held: the checksum differs")
	}
	holds := Holds{}
	if err := json.Unmarshal(f.Holds, &holds); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	if len(holds) > Most {
		return nil, ErrMany
	}
	return holds, nil
}

func sum(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:])
}

func (s *Store) write(holds Holds) error {
	body, err := json.Marshal(holds)
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	text, err := json.Marshal(file{fileVersion, sum(body), body})
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
	s.seen, err = os.Stat(s.path)
	return err
}
