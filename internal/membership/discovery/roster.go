// Package roster follows the list of backends that discovery tells (PROTOCOL, "Discovery"). It decides nothing
// about them: a Watcher hands on what it reads, whole or as a change, to whoever owns the list.
package discovery

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
	watchTimeout = 4500 * time.Millisecond
	// An agent answers at once. One that does not is silent, as what is behind it is, and what it gets when it comes back counts as told
	// from that moment on: it is asked again so often beside a call that may hang for good. With maxBackoff it stays under the least grace
	// of a drain, 250 ms.
	answerTimeout = 150 * time.Millisecond
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 100 * time.Millisecond
	maxListBytes  = 4 << 20
)

// List is a list of backends, or a change of it, as discovery words it.
type List struct {
	Version    int64      `json:"version"`
	Full       bool       `json:"full"`
	Endpoints  []Endpoint `json:"servers"`
	SourceAgeS float64    `json:"age_s,omitempty"` // how old the word was of the source that has been silent the longest; an agent tells it
}

// Endpoint is one backend of a List. StartedMS is Unix time in milliseconds, 0 for long ago.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// StateByName translates discovery's words.
var StateByName = map[string]policy.BackendState{"in_service": policy.Up, "terminating": policy.Draining,
	"terminated": policy.Removed}

// Parse reads one line of a watch and checks every entry of it.
func Parse(line []byte) (List, error) {
	var list List
	if err := json.Unmarshal(line, &list); err != nil {
		return list, err
	}
	return list, list.Validate()
}

// Validate tells what is wrong with the first bad entry.
func (t List) Validate() error {
	for _, s := range t.Endpoints {
		if err := s.validate(); err != nil {
			return err
		}
	}
	return nil
}

// Backends is the list in the module's words.
func (t List) Backends() []policy.Backend {
	list := make([]policy.Backend, 0, len(t.Endpoints))
	for _, s := range t.Endpoints {
		list = append(list, s.Backend(StateByName[s.State]))
	}
	return list
}

// Backend is the entry as the decision module has it, in a state.
func (s Endpoint) Backend(state policy.BackendState) policy.Backend {
	return policy.Backend{ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: state, Weight: s.Weight, StartedAt: float64(s.StartedMS) / 1000}
}

func (s Endpoint) validate() error {
	state, known := StateByName[s.State]
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
	onUpdate    func(List)                     // gets each list and change, in order
	logFault    func(what string, args ...any) // gets faults worth logging
	OnAlive     func()                         // if set before Run: told of each line of a watch, empty ones too
	client      *http.Client
	addr        string
	version     int64 // the last that was taken in
	needFull    bool  // changes may be missing: only the whole list tells
	receivedAny bool  // the watch that is or was last open has told something
	age         ageTracker

	answerTimeout, watchTimeout time.Duration
	backoffTimer                func(time.Duration) <-chan time.Time // the pause before the next watch
}

// Age is how old a watcher's word is, in seconds: since the last line of a watch, and how old that line was by its own account.
type Age struct {
	SinceUpdateS float64 `json:"heard_s"`
	ReportedAgeS float64 `json:"told_s"`
}

// Stale tells that nothing of what a list says should be trusted to be of now.
func (a Age) Stale() bool { return a.SinceUpdateS+a.ReportedAgeS > staleAfterS }

// staleAfterS is some five times what a roster or an agent may be silent for.
const staleAfterS = 10

// ageTracker is written by the watcher and read by anybody.
type ageTracker struct {
	mu           sync.Mutex
	updatedAt    time.Time
	reportedAgeS float64
}

func (a *ageTracker) record(told float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updatedAt, a.reportedAgeS = time.Now(), told
}

// Age is safe for concurrent use.
func (w *Watcher) Age() Age {
	w.age.mu.Lock()
	defer w.age.mu.Unlock()
	return Age{time.Since(w.age.updatedAt).Seconds(), w.age.reportedAgeS}
}

// NewWatcher makes a watcher of discovery at addr that goes on behind a version, or with one below 0 from the whole list on.
func NewWatcher(addr string, version int64, take func(List), note func(string, ...any)) *Watcher {
	return &Watcher{onUpdate: take, logFault: note, addr: addr, version: version, needFull: version < 0, age: ageTracker{updatedAt: time.Now()},
		answerTimeout: answerTimeout, watchTimeout: watchTimeout, backoffTimer: time.After,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Run keeps a watch open for as long as ctx lasts, and moves it at once to an address that comes on moves,
// which may be nil. An agent at another address may count its versions in its own way, so the whole list is
// asked for there. What is known stays until that has come.
func (w *Watcher) Run(ctx context.Context, moves <-chan string) {
	backoff := minBackoff
	for ctx.Err() == nil {
		round, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- w.watchOnce(round) }()
		select {
		case err := <-ended:
			stop()
			if ctx.Err() != nil {
				return
			}
			w.logFault("watch ended", "error", err, "address", w.addr, "version", w.version)
			if w.receivedAny { // also where nothing changed: a watch that lived is no reason to wait
				backoff = minBackoff
			}
			select {
			case <-ctx.Done():
			case addr := <-moves:
				w.addr, w.needFull = addr, true
			case <-w.backoffTimer(backoff):
			}
			backoff = min(2*backoff, maxBackoff)
		case addr := <-moves:
			stop()
			<-ended
			w.addr, w.needFull = addr, true
			backoff = minBackoff
		}
		stop()
	}
}

// apiCall is one call of discovery that is out, and what it came to.
type apiCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	resp   *http.Response
	err    error
}

// startCall makes a call; it comes back on answers, unless done is closed before that.
func (w *Watcher) startCall(ctx context.Context, url string, answers chan<- *apiCall, done <-chan struct{}) *apiCall {
	c := &apiCall{}
	c.ctx, c.cancel = context.WithCancel(ctx)
	go func() {
		req, err := http.NewRequestWithContext(c.ctx, http.MethodGet, url, nil)
		if c.err = err; err == nil {
			c.resp, c.err = w.client.Do(req)
		}
		select {
		case answers <- c:
		case <-done:
			c.discard()
		}
	}()
	return c
}

func (c *apiCall) discard() {
	c.cancel()
	if c.err == nil {
		c.resp.Body.Close()
	}
}

// fetch asks discovery; the answer's body is the caller's to close, and ends with ctx. While no answer begins, the call is made again
// and again beside the first, which stays: a silent agent may answer either when it is back.
func (w *Watcher) fetch(ctx context.Context, query string) (io.ReadCloser, error) {
	url := "http://" + w.addr + "/api/targets" + query
	answers, done := make(chan *apiCall), make(chan struct{})
	defer close(done)
	first, again := w.startCall(ctx, url, answers, done), (*apiCall)(nil)
	tick := time.NewTicker(w.answerTimeout)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if again != nil {
				again.cancel()
			}
			again = w.startCall(ctx, url, answers, done)
		case c := <-answers:
			if c != first && c != again { // one of those that were given up
				c.discard()
				continue
			}
			for _, other := range []*apiCall{first, again} {
				if other != nil && other != c {
					other.cancel()
				}
			}
			if c.err == nil && c.resp.StatusCode != http.StatusOK {
				c.resp.Body.Close()
				c.err = fmt.Errorf("discovery answered %s", c.resp.Status)
			}
			if c.err != nil {
				c.cancel()
				return nil, c.err
			}
			return c.resp.Body, nil
		}
	}
}

// watchOnce reads one watch to its end, ahead of it the whole list if changes may be missing.
func (w *Watcher) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.receivedAny = false
	silence := time.AfterFunc(w.watchTimeout, cancel)
	defer silence.Stop()
	if w.needFull {
		if err := w.fetchFull(ctx); err != nil {
			return fmt.Errorf("whole list: %w", err)
		}
		silence.Reset(w.watchTimeout)
	}
	body, err := w.fetch(ctx, fmt.Sprintf("?watch=1&after=%d", w.version))
	if err != nil {
		return err
	}
	defer body.Close()
	silence.Reset(w.watchTimeout)
	objects := bufio.NewScanner(body)
	objects.Buffer(nil, maxListBytes)
	objects.Split(new(objectSplitter).split)
	for objects.Scan() {
		silence.Reset(w.watchTimeout)
		w.receivedAny = true
		if w.OnAlive != nil {
			w.OnAlive()
		}
		text := objects.Bytes()
		if len(text) == 0 {
			w.age.record(0)
			continue
		}
		if err := w.applyUpdate(text); err != nil { // what it told is lost
			w.needFull = true
			return err
		}
	}
	if errors.Is(objects.Err(), bufio.ErrTooLong) {
		w.needFull = true
	}
	return objects.Err()
}

// applyUpdate takes in what a watch tells, without those entries that can't be used; for these it returns an error.
func (w *Watcher) applyUpdate(text []byte) error {
	var list List
	err := json.Unmarshal(text, &list)
	if err == nil && !list.Full && list.Version < w.version {
		err = fmt.Errorf("version %d comes after %d", list.Version, w.version)
	}
	if err != nil {
		return err
	}
	w.version = list.Version
	w.age.record(list.SourceAgeS)
	err = list.Validate()
	if err != nil {
		list.Endpoints = w.dropInvalid(list.Endpoints)
		list.Full = false // the whole list tells who is gone
	}
	if list.Full || len(list.Endpoints) > 0 {
		w.onUpdate(list)
	}
	return err
}

// dropInvalid leaves out the entries that can't be used: the rest must not wait for them.
func (w *Watcher) dropInvalid(list []Endpoint) []Endpoint {
	return slices.DeleteFunc(list, func(e Endpoint) bool {
		err := e.validate()
		if err != nil {
			w.logFault("entry of the list left out", "error", err)
		}
		return err != nil
	})
}

// fetchFull takes in the whole list.
func (w *Watcher) fetchFull(ctx context.Context) error {
	body, err := w.fetch(ctx, "")
	if err != nil {
		return err
	}
	defer body.Close()
	var list List
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&list); err != nil {
		return err
	}
	list.Full = true
	list.Endpoints = w.dropInvalid(list.Endpoints)
	w.needFull = false
	w.version = list.Version
	w.age.record(list.SourceAgeS)
	w.onUpdate(list)
	return nil
}
