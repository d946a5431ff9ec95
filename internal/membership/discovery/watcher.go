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
	"slices"
	"time"
)

const (
	// watchTimeout ends a watch that is silent. The service writes every 2 s: two lines are missing by then.
	watchTimeout = 4500 * time.Millisecond
	// answerTimeout is after how long an unanswered call is repeated beside the first. Together with maxBackoff it stays under the shortest
	// grace of a drain, 250 ms: what a service that was silent has to report counts as reported from the moment that it is back.
	answerTimeout = 150 * time.Millisecond
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 100 * time.Millisecond
	dialTimeout   = time.Second
	maxListBytes  = 4 << 20 // of the whole list, or of one object of a watch
)

// Watcher follows a discovery service. One goroutine owns it, but for Age.
type Watcher struct {
	// OnAlive, if set before Run, is called for everything that a watch says, empty lines too.
	OnAlive func()

	onUpdate func(List)                          // gets each list and change, in order
	logFault func(message string, fields ...any) // gets faults, worded for slog
	client   *http.Client
	addr     string
	version  int64 // of the last list or change that was passed on
	needFull bool  // changes may be missing: the next watch begins behind the whole list
	alive    bool  // the present watch, or the last one, has said something
	age      ageTracker

	answerTimeout, watchTimeout time.Duration
	backoffTimer                func(time.Duration) <-chan time.Time
}

// NewWatcher returns a watcher of the service at addr. It goes on behind version; below 0 it begins with the whole list. onUpdate and
// logFault are called by the goroutine of Run.
func NewWatcher(addr string, version int64, onUpdate func(List), logFault func(message string, fields ...any)) *Watcher {
	return &Watcher{onUpdate: onUpdate, logFault: logFault, addr: addr, version: version, needFull: version < 0, age: ageTracker{updatedAt: time.Now()},
		answerTimeout: answerTimeout, watchTimeout: watchTimeout, backoffTimer: time.After,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// Age is how old the list may be. It is safe for concurrent use.
func (w *Watcher) Age() Age { return w.age.age() }

// Run keeps a watch open until ctx ends. An address that comes on moves, which may be nil, is taken at once; as the service there may
// count versions in its own way, the whole list is fetched from it. Until that has come, what was passed on last holds.
func (w *Watcher) Run(ctx context.Context, moves <-chan string) {
	backoff := minBackoff
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		var err error // of the watch; to be read once it has ended
		go func() {
			defer close(ended)
			err = w.watchOnce(watchCtx)
		}()
		select {
		case <-ended:
			cancel()
			if ctx.Err() != nil {
				return
			}
			w.logFault("watch ended", "error", err, "address", w.addr, "version", w.version)
			if w.alive {
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
			cancel()
			<-ended
			w.addr, w.needFull = addr, true
			backoff = minBackoff
		}
		cancel()
	}
}

// watchOnce reads one watch to its end, and before it the whole list if changes may be missing.
func (w *Watcher) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.alive = false
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
	return w.readWatch(body, func() { silence.Reset(w.watchTimeout) })
}

// readWatch passes on what a watch says until it ends; alive is called for each object and empty line.
func (w *Watcher) readWatch(body io.Reader, alive func()) error {
	objects := bufio.NewScanner(body)
	objects.Buffer(nil, maxListBytes)
	objects.Split(new(objectSplitter).split)
	for objects.Scan() {
		alive()
		w.alive = true
		if w.OnAlive != nil {
			w.OnAlive()
		}
		text := objects.Bytes()
		if len(text) == 0 {
			w.age.record(0)
			continue
		}
		if err := w.applyUpdate(text); err != nil {
			w.needFull = true
			return err
		}
	}
	if errors.Is(objects.Err(), bufio.ErrTooLong) {
		w.needFull = true
	}
	return objects.Err()
}

// applyUpdate passes on one object of a watch. Where endpoints of it are invalid, the others are passed on, and the error is an
// *EndpointError.
func (w *Watcher) applyUpdate(text []byte) error {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	if !list.Full && list.Version < w.version {
		return fmt.Errorf("version %d comes after %d", list.Version, w.version)
	}
	w.version = list.Version
	w.age.record(list.SourceAgeS)
	err := list.Validate()
	if err != nil {
		list.Endpoints = w.dropInvalid(list.Endpoints)
		list.Full = false // an invalid endpoint may be one of those that it would remove
	}
	if list.Full || len(list.Endpoints) > 0 {
		w.onUpdate(list)
	}
	return err
}

// fetchFull passes on the whole list.
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

// dropInvalid removes the endpoints that can't be used, so that the others don't wait for them.
func (w *Watcher) dropInvalid(list []Endpoint) []Endpoint {
	return slices.DeleteFunc(list, func(e Endpoint) bool {
		err := e.validate()
		if err != nil {
			w.logFault("invalid endpoint ignored", "error", err)
		}
		return err != nil
	})
}
