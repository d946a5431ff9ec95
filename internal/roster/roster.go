// Package roster follows the list of backends that discovery tells (PROTOCOL, "Discovery"). It decides nothing
// about them: a Watcher hands on what it reads, whole or as a change, to whoever owns the list.
package roster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"eiderspread/policy"
)

const (
	// A watch sends a line every 2 s. After two that are missing the connection is taken for dead;
	// the agent answers at once, so a needless reconnect costs little.
	watchSilence = 4500 * time.Millisecond
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 2 * time.Second
	maxListLine  = 4 << 20
)

// List is a list of backends, or a change of it, as discovery words it.
type List struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
	AgeS    float64  `json:"age_s,omitempty"` // how old the word was of the source that has been silent the longest; an agent tells it
}

// Target is one backend of a List. StartedMS is Unix time in milliseconds, 0 for long ago.
type Target struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// States translates discovery's words.
var States = map[string]policy.State{"in_service": policy.Up, "terminating": policy.Draining,
	"terminated": policy.Removed}

// Parse reads one line of a watch and checks every entry of it.
func Parse(line []byte) (List, error) {
	var t List
	if err := json.Unmarshal(line, &t); err != nil {
		return t, err
	}
	return t, t.Check()
}

// Check tells what is wrong with the first bad entry.
func (t List) Check() error {
	for _, s := range t.Servers {
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// Policy is the list in the module's words.
func (t List) Policy() []policy.Server {
	list := make([]policy.Server, 0, len(t.Servers))
	for _, s := range t.Servers {
		list = append(list, policy.Server{ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: States[s.State],
			Weight: s.Weight, SinceS: float64(s.StartedMS) / 1000})
	}
	return list
}

func (s Target) check() error {
	state, known := States[s.State]
	if s.ID == "" || !known {
		return fmt.Errorf("entry %q: unknown state %q", s.ID, s.State)
	}
	if _, err := netip.ParseAddrPort(s.Addr); err != nil && state != policy.Removed {
		return fmt.Errorf("entry %q: %w", s.ID, err)
	}
	return nil
}

// Watcher follows discovery. One goroutine owns it at a time.
type Watcher struct {
	take    func(List)                     // gets each list and change, in order
	note    func(what string, args ...any) // gets faults worth logging
	Alive   func()                         // if set before Run: told of each line of a watch, empty ones too
	http    *http.Client
	addr    string
	version int64 // the last that was taken in
	whole   bool  // changes may be missing: only the whole list tells
	age     age
}

// Age is how old a watcher's word is, in seconds: since the last line of a watch, and how old that line was by its own account.
type Age struct {
	HeardS float64 `json:"heard_s"`
	ToldS  float64 `json:"told_s"`
}

// Old tells that nothing of what a list says should be trusted to be of now.
func (a Age) Old() bool { return a.HeardS+a.ToldS > oldS }

// oldS is some five times what a roster or an agent may be silent for.
const oldS = 10

// age is written by the watcher and read by anybody.
type age struct {
	mu    sync.Mutex
	heard time.Time
	told  float64
}

func (a *age) note(told float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard, a.told = time.Now(), told
}

// Age is safe for concurrent use.
func (w *Watcher) Age() Age {
	w.age.mu.Lock()
	defer w.age.mu.Unlock()
	return Age{time.Since(w.age.heard).Seconds(), w.age.told}
}

// New makes a watcher of discovery at addr that goes on behind a version, or with one below 0 from the whole list on.
func New(addr string, version int64, take func(List), note func(string, ...any)) *Watcher {
	return &Watcher{take: take, note: note, addr: addr, version: version, whole: version < 0, age: age{heard: time.Now()},
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Run keeps a watch open for as long as ctx lasts, and moves it at once to an address that comes on moves,
// which may be nil. An agent at another address may count its versions in its own way, so the whole list is
// asked for there. What is known stays until that has come.
func (w *Watcher) Run(ctx context.Context, moves <-chan string) {
	backoff := backoffFirst
	for ctx.Err() == nil {
		round, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		before := w.version
		go func() { ended <- w.watch(round) }()
		select {
		case err := <-ended:
			stop()
			if ctx.Err() != nil {
				return
			}
			w.note("watch ended", "error", err, "address", w.addr, "version", w.version)
			if w.version != before {
				backoff = backoffFirst
			}
			select {
			case <-ctx.Done():
			case addr := <-moves:
				w.addr, w.whole = addr, true
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, backoffMost)
		case addr := <-moves:
			stop()
			<-ended
			w.addr, w.whole = addr, true
			backoff = backoffFirst
		}
		stop()
	}
}

// get asks discovery; the answer's body is the caller's to close.
func (w *Watcher) get(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.addr+"/api/targets"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}

// watch reads one watch to its end, ahead of it the whole list if changes may be missing.
func (w *Watcher) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	if w.whole {
		if err := w.list(ctx); err != nil {
			return fmt.Errorf("whole list: %w", err)
		}
		silence.Reset(watchSilence)
	}
	body, err := w.get(ctx, fmt.Sprintf("?watch=1&after=%d", w.version))
	if err != nil {
		return err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxListLine)
	for lines.Scan() {
		silence.Reset(watchSilence)
		if w.Alive != nil {
			w.Alive()
		}
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			w.age.note(0)
			continue
		}
		t, err := Parse(line)
		if err == nil && !t.Full && t.Version < w.version {
			err = fmt.Errorf("version %d comes after %d", t.Version, w.version)
		}
		if err != nil { // what it told is lost
			w.whole = true
			return err
		}
		w.version = t.Version
		w.age.note(t.AgeS)
		if t.Full || len(t.Servers) > 0 {
			w.take(t)
		}
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		w.whole = true
	}
	return lines.Err()
}

// list takes in the whole list. An entry that can't be used is left out: the rest must not wait for it.
func (w *Watcher) list(ctx context.Context) error {
	body, err := w.get(ctx, "")
	if err != nil {
		return err
	}
	defer body.Close()
	var t List
	if err := json.NewDecoder(io.LimitReader(body, maxListLine)).Decode(&t); err != nil {
		return err
	}
	t.Full = true
	t.Servers = slices.DeleteFunc(t.Servers, func(e Target) bool {
		err := e.check()
		if err != nil {
			w.note("entry of the list left out", "error", err)
		}
		return err != nil
	})
	w.whole = false
	w.version = t.Version
	w.age.note(t.AgeS)
	w.take(t)
	return nil
}
