package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatalf("nothing received within %v", testTimeout)
	}
	return v
}

// startWatcher runs a watcher of the service until the test ends, and returns the lists that the watcher passes on.
func startWatcher(t *testing.T, service http.HandlerFunc, configure func(*Watcher)) <-chan List {
	srv := httptest.NewServer(service)
	lists := make(chan List, 64)
	w := NewWatcher(strings.TrimPrefix(srv.URL, "http://"), 0, func(l List) { lists <- l }, func(string, ...any) {})
	w.watchTimeout = time.Hour
	if configure != nil {
		configure(w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, nil) }()
	t.Cleanup(func() { cancel(); <-done; srv.CloseClientConnections(); srv.Close() })
	return lists
}

func writeFlushed(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text) // the watcher may have disconnected; the test checks what it received
	w.(http.Flusher).Flush()
}

const endpointJSON = `{"id":"%s","addr":"127.0.0.1:1","state":"%s"}`

// Guards against a list that is never read: a watch split into lines rejects an object that spans several lines, on every attempt.
func TestWatcher_ReadsIndentedObjects(t *testing.T) {
	lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, "{\n  \"version\": 5,\n  \"full\": true,\n  \"servers\": [\n    "+fmt.Sprintf(endpointJSON, "x", "in_service")+"\n\n  ]\n}\n\r\n\n")
		writeFlushed(w, "{\n \"version\": 6, \"servers\": [\n"+fmt.Sprintf(endpointJSON, "x", "terminating"))
		writeFlushed(w, "]}")
		<-r.Context().Done()
	}, nil)
	if l := receive(t, lists); l.Version != 5 || !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("first list is %+v, want a full list of version 5 with one endpoint", l)
	}
	if l := receive(t, lists); l.Version != 6 || l.Endpoints[0].State != "terminating" {
		t.Errorf("second list is %+v, want version 6 with a terminating endpoint", l)
	}
}

// Guards against a list that is never read because it takes longer than the time-out for silence: each attempt would end in its middle although
// bytes of it arrive. A watch and a full list are read in the same way.
func TestWatcher_SlowObjectIsNotSilence(t *testing.T) {
	for name, needFull := range map[string]bool{"watch": false, "full list": true} {
		t.Run(name, func(t *testing.T) {
			lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
				pace := time.NewTicker(50 * time.Millisecond)
				defer pace.Stop()
				text := `{"version":5,"full":true,"servers":[` + fmt.Sprintf(endpointJSON, "x", "in_service") + `]}`
				for _, piece := range []byte(text)[:16] {
					writeFlushed(w, string(piece))
					<-pace.C
				}
				writeFlushed(w, text[16:]+"\n")
				if r.URL.RawQuery != "" {
					<-r.Context().Done()
				}
			}, func(w *Watcher) {
				w.needFull = needFull
				w.watchTimeout = 400 * time.Millisecond
			})
			if l := receive(t, lists); l.Version != 5 || !l.Full || len(l.Endpoints) != 1 {
				t.Errorf("got %+v, want a full list of version 5 with one endpoint", l)
			}
		})
	}
}

// Guards against a change that is dropped as a whole because one of its endpoints is invalid: the others count as
// reported.
func TestWatcher_DropsOnlyInvalidEntries(t *testing.T) {
	lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			return // the full list can't be fetched at that moment
		}
		writeFlushed(w, `{"version":5,"servers":[`+fmt.Sprintf(endpointJSON, "odd", "odd")+","+fmt.Sprintf(endpointJSON, "x", "terminating")+"]}\n")
		<-r.Context().Done()
	}, nil)
	if l := receive(t, lists); len(l.Endpoints) != 1 || l.Endpoints[0].ID != "x" || l.Full {
		t.Errorf("got %+v, want a change with the valid endpoint x only", l)
	}
}

// callHeader holds the number of a watcher's request, counted from 1 in the order in which they were sent. Under load they may arrive in another.
const callHeader = "X-Call"

// numberingTransport sets callHeader.
type numberingTransport struct {
	http.RoundTripper
	calls atomic.Int64
}

func (t *numberingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(callHeader, strconv.FormatInt(t.calls.Add(1), 10))
	return t.RoundTripper.RoundTrip(r)
}

// Guards against a request that hangs because it was sent while the service was silent: the changes count as reported once the service
// responds again. It may answer a later request, or the one that hangs.
func TestWatcher_RepeatsRequestsToSilentService(t *testing.T) {
	for name, answers := range map[string]func(call int) bool{
		"a later call is answered":      func(call int) bool { return call > 2 },
		"the call that hangs, in place": func(call int) bool { return call == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			later := make(chan struct{})
			var closeLater sync.Once
			lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
				call, _ := strconv.Atoi(r.Header.Get(callHeader))
				if call >= 3 {
					closeLater.Do(func() { close(later) })
				}
				if call == 1 {
					select {
					case <-later:
					case <-r.Context().Done():
						return
					}
				}
				if answers(call) {
					writeFlushed(w, `{"version":7,"servers":[`+fmt.Sprintf(endpointJSON, "x", "terminating")+"]}\n")
				}
				<-r.Context().Done()
			}, func(w *Watcher) {
				w.answerTimeout = time.Millisecond
				w.client.Transport = &numberingTransport{RoundTripper: w.client.Transport}
			})
			if l := receive(t, lists); l.Version != 7 {
				t.Errorf("got %+v, want version 7", l)
			}
		})
	}
}

// Guards against a long pause after a watch that was alive while the list did not change: the pause and the silence before it would exceed
// the 6 s after which a change counts as reported. The pause grows only after watches that delivered nothing at all, and stays below the
// grace period of a drain.
func TestWatcher_Backoff(t *testing.T) {
	for name, tc := range map[string]struct {
		line string
		last time.Duration
	}{"told something": {`{"version":0,"servers":[]}` + "\n", minBackoff}, "alive": {"\n", minBackoff}, "told nothing": {"", maxBackoff}} {
		t.Run(name, func(t *testing.T) {
			pauses, at := make(chan time.Duration, 64), make(chan time.Time)
			close(at)
			startWatcher(t, func(w http.ResponseWriter, _ *http.Request) { writeFlushed(w, tc.line) }, func(w *Watcher) {
				w.backoffTimer = func(d time.Duration) <-chan time.Time {
					select {
					case pauses <- d:
					default:
					}
					return at
				}
			})
			for i := range 6 {
				if d := receive(t, pauses); i == 5 && d != tc.last || d > maxBackoff {
					t.Errorf("pause %d is %v, want the last one to be %v and all at most %v", i, d, tc.last, maxBackoff)
				}
			}
		})
	}
	if answerTimeout+maxBackoff > 250*time.Millisecond {
		t.Errorf("a service that responds again may get no request for %v, want at most 250ms, the grace period of a drain", answerTimeout+maxBackoff)
	}
}

// Guards against a list that is lost when the address changes twice, first to a silent service: the known list stays until the last service
// has sent its full list. A connection that breaks between that list and the watch costs one pause.
func TestWatcher_ChangesAddressTwice(t *testing.T) {
	requests := make(chan string, 64)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests <- "silent"
		<-r.Context().Done()
	}))
	defer silent.Close()
	first := true
	last := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- "last " + r.URL.RawQuery
		if r.URL.RawQuery == "" {
			writeFlushed(w, `{"version":3,"servers":[`+fmt.Sprintf(endpointJSON, "y", "in_service")+"]}")
			return
		}
		if first { // breaks the connection between the full list and its watch
			first = false
			panic(http.ErrAbortHandler)
		}
		writeFlushed(w, `{"version":4,"servers":[`+fmt.Sprintf(endpointJSON, "y", "terminating")+"]}\n")
		<-r.Context().Done()
	}))
	defer last.Close()
	initial := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, `{"version":50,"full":true,"servers":[`+fmt.Sprintf(endpointJSON, "x", "in_service")+"]}\n")
		<-r.Context().Done()
	}))
	defer initial.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	lists, moves := make(chan List, 64), make(chan string)
	w := NewWatcher(addr(initial), 0, func(l List) { lists <- l }, func(string, ...any) {})
	w.watchTimeout, w.answerTimeout = time.Hour, time.Hour // so that only address changes end a watch
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, moves) }()
	defer func() { cancel(); <-done }()
	if l := receive(t, lists); l.Version != 50 {
		t.Fatalf("first list is %+v, want version 50", l)
	}
	moves <- addr(silent)
	if got := receive(t, requests); got != "silent" {
		t.Fatalf("request went to %q, want %q", got, "silent")
	}
	select {
	case moves <- addr(last):
	case <-time.After(testTimeout):
		t.Fatalf("the watcher did not accept a new address within %v while the current service was silent", testTimeout)
	}
	for i, want := range []string{"last ", "last watch=1&after=3", "last watch=1&after=3"} {
		if got := receive(t, requests); got != want {
			t.Errorf("request %d is %q, want %q", i, got, want)
		}
	}
	if l := receive(t, lists); l.Version != 3 || !l.Full {
		t.Errorf("list after the change of address is %+v, want a full list of version 3", l)
	}
	if l := receive(t, lists); l.Version != 4 || l.Endpoints[0].State != "terminating" {
		t.Errorf("next list is %+v, want version 4 with a terminating endpoint", l)
	}
}

// Guards against a full list that is rejected after a restart of the service, because the service numbers its versions from the start again.
func TestWatcher_AcceptsFullListOfLowerVersion(t *testing.T) {
	lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, `{"version":9,"full":true,"servers":[]}`+"\n"+`{"version":1,"full":true,"servers":[`+fmt.Sprintf(endpointJSON, "x", "terminating")+"]}\n")
		<-r.Context().Done()
	}, nil)
	if l := receive(t, lists); l.Version != 9 {
		t.Errorf("first list is %+v, want version 9", l)
	}
	if l := receive(t, lists); l.Version != 1 || len(l.Endpoints) != 1 {
		t.Errorf("second list is %+v, want version 1 with one endpoint", l)
	}
}
