// Package roster follows the list of backends that discovery tells (PROTOCOL, "Discovery"). It decides nothing
// about them: a Watcher hands on what it reads, whole or as a change, to whoever owns the list.
package roster

import (
	"bufio"
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
	// An agent answers at once. One that does not is silent, as what is behind it is, and what it gets when it comes back counts as told
	// from that moment on: it is asked again so often beside a call that may hang for good. With backoffMost it stays under the least grace
	// of a drain, 250 ms.
	answerMost   = 150 * time.Millisecond
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 100 * time.Millisecond
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
var States = map[string]policy.BackendState{"in_service": policy.Up, "terminating": policy.Draining,
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
func (t List) Policy() []policy.Backend {
	list := make([]policy.Backend, 0, len(t.Servers))
	for _, s := range t.Servers {
		list = append(list, s.Policy(States[s.State]))
	}
	return list
}

// Policy is the entry as the decision module has it, in a state.
func (s Target) Policy(state policy.BackendState) policy.Backend {
	return policy.Backend{ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: state, Weight: s.Weight, StartedAt: float64(s.StartedMS) / 1000}
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
	heard   bool  // the watch that is or was last open has told something
	age     age

	answerMost, silence time.Duration
	after               func(time.Duration) <-chan time.Time // the pause before the next watch
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
		answerMost: answerMost, silence: watchSilence, after: time.After,
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
		go func() { ended <- w.watch(round) }()
		select {
		case err := <-ended:
			stop()
			if ctx.Err() != nil {
				return
			}
			w.note("watch ended", "error", err, "address", w.addr, "version", w.version)
			if w.heard { // also where nothing changed: a watch that lived is no reason to wait
				backoff = backoffFirst
			}
			select {
			case <-ctx.Done():
			case addr := <-moves:
				w.addr, w.whole = addr, true
			case <-w.after(backoff):
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

// call is one call of discovery that is out, and what it came to.
type call struct {
	ctx  context.Context
	stop context.CancelFunc
	resp *http.Response
	err  error
}

// begin makes a call; it comes back on answers, unless done is closed before that.
func (w *Watcher) begin(ctx context.Context, url string, answers chan<- *call, done <-chan struct{}) *call {
	c := &call{}
	c.ctx, c.stop = context.WithCancel(ctx)
	go func() {
		req, err := http.NewRequestWithContext(c.ctx, http.MethodGet, url, nil)
		if c.err = err; err == nil {
			c.resp, c.err = w.http.Do(req)
		}
		select {
		case answers <- c:
		case <-done:
			c.end()
		}
	}()
	return c
}

func (c *call) end() {
	c.stop()
	if c.err == nil {
		c.resp.Body.Close()
	}
}

// get asks discovery; the answer's body is the caller's to close, and ends with ctx. While no answer begins, the call is made again
// and again beside the first, which stays: a silent agent may answer either when it is back.
func (w *Watcher) get(ctx context.Context, query string) (io.ReadCloser, error) {
	url := "http://" + w.addr + "/api/targets" + query
	answers, done := make(chan *call), make(chan struct{})
	defer close(done)
	first, again := w.begin(ctx, url, answers, done), (*call)(nil)
	tick := time.NewTicker(w.answerMost)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if again != nil {
				again.stop()
			}
			again = w.begin(ctx, url, answers, done)
		case c := <-answers:
			if c != first && c != again { // one of those that were given up
				c.end()
				continue
			}
			for _, other := range []*call{first, again} {
				if other != nil && other != c {
					other.stop()
				}
			}
			if c.err == nil && c.resp.StatusCode != http.StatusOK {
				c.resp.Body.Close()
				c.err = fmt.Errorf("discovery answered %s", c.resp.Status)
			}
			if c.err != nil {
				c.stop()
				return nil, c.err
			}
			return c.resp.Body, nil
		}
	}
}

// watch reads one watch to its end, ahead of it the whole list if changes may be missing.
func (w *Watcher) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.heard = false
	silence := time.AfterFunc(w.silence, cancel)
	defer silence.Stop()
	if w.whole {
		if err := w.list(ctx); err != nil {
			return fmt.Errorf("whole list: %w", err)
		}
		silence.Reset(w.silence)
	}
	body, err := w.get(ctx, fmt.Sprintf("?watch=1&after=%d", w.version))
	if err != nil {
		return err
	}
	defer body.Close()
	silence.Reset(w.silence)
	objects := bufio.NewScanner(body)
	objects.Buffer(nil, maxListLine)
	objects.Split(new(splitter).split)
	for objects.Scan() {
		silence.Reset(w.silence)
		w.heard = true
		if w.Alive != nil {
			w.Alive()
		}
		text := objects.Bytes()
		if len(text) == 0 {
			w.age.note(0)
			continue
		}
		if err := w.change(text); err != nil { // what it told is lost
			w.whole = true
			return err
		}
	}
	if errors.Is(objects.Err(), bufio.ErrTooLong) {
		w.whole = true
	}
	return objects.Err()
}

// change takes in what a watch tells, without those entries that can't be used; for these it returns an error.
func (w *Watcher) change(text []byte) error {
	var t List
	err := json.Unmarshal(text, &t)
	if err == nil && !t.Full && t.Version < w.version {
		err = fmt.Errorf("version %d comes after %d", t.Version, w.version)
	}
	if err != nil {
		return err
	}
	w.version = t.Version
	w.age.note(t.AgeS)
	err = t.Check()
	if err != nil {
		t.Servers = w.usable(t.Servers)
		t.Full = false // the whole list tells who is gone
	}
	if t.Full || len(t.Servers) > 0 {
		w.take(t)
	}
	return err
}

// usable leaves out the entries that can't be used: the rest must not wait for them.
func (w *Watcher) usable(list []Target) []Target {
	return slices.DeleteFunc(list, func(e Target) bool {
		err := e.check()
		if err != nil {
			w.note("entry of the list left out", "error", err)
		}
		return err != nil
	})
}

// list takes in the whole list.
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
	t.Servers = w.usable(t.Servers)
	w.whole = false
	w.version = t.Version
	w.age.note(t.AgeS)
	w.take(t)
	return nil
}
