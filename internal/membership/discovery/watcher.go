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
	// watchTimeout is the silence after which a watch is closed. The service writes at least every 2 s, so two lines are missing by then.
	watchTimeout = 4500 * time.Millisecond
	// answerTimeout is the time after which an unanswered request is repeated, with the first one still open. Together with maxBackoff it is
	// below the shortest grace period of a drain, 250 ms, because the changes that a silent service has to report count as reported from
	// the moment that it responds again.
	answerTimeout = 150 * time.Millisecond
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = 100 * time.Millisecond
	dialTimeout   = time.Second
	maxListBytes  = 4 << 20 // of the full list, or of one object of a watch
)

// Watcher follows a discovery service. It belongs to the goroutine of Run, except for Age.
type Watcher struct {
	// OnAlive, if set before Run, is called for each object and each empty line of a watch.
	OnAlive func()

	onUpdate func(List)                          // receives each full list and change, in order
	logFault func(message string, fields ...any) // receives faults as a message and slog attributes
	client   *http.Client
	addr     string
	version  int64 // of the last list or change that was received
	needFull bool  // changes may be missing: fetch the full list before the next watch
	alive    bool  // the current or last watch has delivered an object or an empty line
	age      ageTracker

	answerTimeout, watchTimeout time.Duration
	backoffTimer                func(time.Duration) <-chan time.Time
}

// NewWatcher returns a watcher of the service at addr. It requests the changes after version or, if version is negative, first the full
// list. onUpdate and logFault are called by the goroutine of Run.
func NewWatcher(addr string, version int64, onUpdate func(List), logFault func(message string, fields ...any)) *Watcher {
	return &Watcher{onUpdate: onUpdate, logFault: logFault, addr: addr, version: version, needFull: version < 0, age: ageTracker{updatedAt: time.Now()},
		answerTimeout: answerTimeout, watchTimeout: watchTimeout, backoffTimer: time.After,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// Age returns the age that the list may have. It is safe for concurrent use.
func (w *Watcher) Age() Age { return w.age.age() }

// Run keeps a watch open until ctx ends. It switches to an address received on moves, which may be nil, at once. The service at the new
// address may number versions differently, so Run fetches the full list from it. Until that list arrives, the lists passed on before stay
// valid.
func (w *Watcher) Run(ctx context.Context, moves <-chan string) {
	backoff := minBackoff
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		var err error // of the watch; set once ended is closed
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

// watchOnce reads one watch to its end. If changes may be missing, it fetches the full list first.
func (w *Watcher) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.alive = false
	silence := time.AfterFunc(w.watchTimeout, cancel)
	defer silence.Stop()
	heard := func() { silence.Reset(w.watchTimeout) }
	if w.needFull {
		if err := w.fetchFull(ctx, heard); err != nil {
			return fmt.Errorf("fetch full list: %w", err)
		}
		heard()
	}
	body, err := w.fetch(ctx, fmt.Sprintf("?watch=1&after=%d", w.version))
	if err != nil {
		return err
	}
	defer body.Close()
	heard()
	return w.readWatch(&observedReader{body, heard})
}

// observedReader calls onRead after each read that returns bytes. A long object may take its time, as long as bytes of it arrive.
type observedReader struct {
	io.Reader
	onRead func()
}

// Read implements io.Reader.
func (r *observedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.onRead()
	}
	return n, err
}

// readWatch passes on the lists of a watch until the watch ends.
func (w *Watcher) readWatch(body io.Reader) error {
	objects := bufio.NewScanner(body)
	objects.Buffer(nil, maxListBytes)
	objects.Split(new(objectSplitter).split)
	for objects.Scan() {
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

// applyUpdate decodes one object of a watch and passes it on. If some of its endpoints are invalid, applyUpdate passes on the others and
// returns an *EndpointError.
func (w *Watcher) applyUpdate(text []byte) error {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	if !list.Full && list.Version < w.version {
		return fmt.Errorf("received version %d, want at least %d", list.Version, w.version)
	}
	w.version = list.Version
	w.age.record(list.SourceAgeS)
	err := list.Validate()
	if err != nil {
		list.Endpoints = w.dropInvalid(list.Endpoints)
		list.Full = false // a full list would remove the endpoints that were dropped as invalid
	}
	if list.Full || len(list.Endpoints) > 0 {
		w.onUpdate(list)
	}
	return err
}

// fetchFull fetches the full list and passes it on. It calls heard when bytes arrive.
func (w *Watcher) fetchFull(ctx context.Context, heard func()) error {
	body, err := w.fetch(ctx, "")
	if err != nil {
		return err
	}
	defer body.Close()
	var list List
	if err := json.NewDecoder(io.LimitReader(&observedReader{body, heard}, maxListBytes)).Decode(&list); err != nil {
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

// dropInvalid removes the endpoints that can't be used and logs them, so that one invalid endpoint does not hold back the others.
func (w *Watcher) dropInvalid(list []Endpoint) []Endpoint {
	return slices.DeleteFunc(list, func(e Endpoint) bool {
		err := e.validate()
		if err != nil {
			w.logFault("invalid endpoint ignored", "error", err)
		}
		return err != nil
	})
}
