package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

func get[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("nothing came")
	}
	return v
}

// follow runs a watcher against an agent to the end of the test and returns the lists that it hands on.
func follow(t *testing.T, agent http.HandlerFunc, change func(*Watcher)) <-chan List {
	srv := httptest.NewServer(agent)
	lists := make(chan List, 64)
	w := NewWatcher(strings.TrimPrefix(srv.URL, "http://"), 0, func(l List) { lists <- l }, func(string, ...any) {})
	w.watchTimeout = time.Hour
	if change != nil {
		change(w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, nil) }()
	t.Cleanup(func() { cancel(); <-done; srv.CloseClientConnections(); srv.Close() })
	return lists
}

func writeFlushed(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text) // the watcher may have gone; its test says so
	w.(http.Flusher).Flush()
}

const entry = `{"id":"%s","addr":"127.0.0.1:1","state":"%s"}`

// Guards against a list that is never read: a watch cut by lines takes an object over several for an error, for ever.
func TestWatcher_ReadsIndentedObjects(t *testing.T) {
	lists := follow(t, func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, "{\n  \"version\": 5,\n  \"full\": true,\n  \"servers\": [\n    "+fmt.Sprintf(entry, "x", "in_service")+"\n\n  ]\n}\n\r\n\n")
		writeFlushed(w, "{\n \"version\": 6, \"servers\": [\n"+fmt.Sprintf(entry, "x", "terminating"))
		writeFlushed(w, "]}")
		<-r.Context().Done()
	}, nil)
	if l := get(t, lists); l.Version != 5 || !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("got %+v", l)
	}
	if l := get(t, lists); l.Version != 6 || l.Endpoints[0].State != "terminating" {
		t.Errorf("got %+v", l)
	}
}

// Guards against a change of which nothing is taken for one entry that can't be read: the rest counts as told.
func TestWatcher_DropsOnlyInvalidEntries(t *testing.T) {
	lists := follow(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			return // the whole list can't be had just then
		}
		writeFlushed(w, `{"version":5,"servers":[`+fmt.Sprintf(entry, "odd", "odd")+","+fmt.Sprintf(entry, "x", "terminating")+"]}\n")
		<-r.Context().Done()
	}, nil)
	if l := get(t, lists); len(l.Endpoints) != 1 || l.Endpoints[0].ID != "x" || l.Full {
		t.Errorf("got %+v", l)
	}
}

// Guards against a call that hangs, as it was made while the agent was silent: what that gets at its return counts as told. It may answer a
// call made later, or the one that hangs.
func TestWatcher_RepeatsCallsToSilentAgent(t *testing.T) {
	for name, serves := range map[string]func(call int) bool{
		"a later call is answered":      func(call int) bool { return call > 2 },
		"the call that hangs, in place": func(call int) bool { return call == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			n, later := make(chan int, 1), make(chan struct{})
			n <- 0
			lists := follow(t, func(w http.ResponseWriter, r *http.Request) {
				call := 1 + <-n
				if n <- call; call == 3 {
					close(later)
				}
				if call == 1 {
					select {
					case <-later:
					case <-r.Context().Done():
						return
					}
				}
				if serves(call) {
					writeFlushed(w, `{"version":7,"servers":[`+fmt.Sprintf(entry, "x", "terminating")+"]}\n")
				}
				<-r.Context().Done()
			}, func(w *Watcher) { w.answerTimeout = time.Millisecond })
			if l := get(t, lists); l.Version != 7 {
				t.Errorf("got %+v", l)
			}
		})
	}
}

// Guards against a long pause after a watch that lived on a list that did not change: beside its silence that is more than the 6 s at which
// a change counts as told. Only what tells nothing at all waits longer, and never so long that a drain's grace passes.
func TestWatcher_Backoff(t *testing.T) {
	for name, tc := range map[string]struct {
		line string
		last time.Duration
	}{"told something": {`{"version":0,"servers":[]}` + "\n", minBackoff}, "alive": {"\n", minBackoff}, "told nothing": {"", maxBackoff}} {
		t.Run(name, func(t *testing.T) {
			pauses, at := make(chan time.Duration, 64), make(chan time.Time)
			close(at)
			follow(t, func(w http.ResponseWriter, _ *http.Request) { writeFlushed(w, tc.line) }, func(w *Watcher) {
				w.backoffTimer = func(d time.Duration) <-chan time.Time {
					select {
					case pauses <- d:
					default:
					}
					return at
				}
			})
			for i := range 6 {
				if d := get(t, pauses); i == 5 && d != tc.last || d > maxBackoff {
					t.Errorf("pause %d is %v, want %v", i, d, tc.last)
				}
			}
		})
	}
	if answerTimeout+maxBackoff > 250*time.Millisecond {
		t.Error("an agent that is back may go unasked for longer than a drain's grace")
	}
}

// Guards a move, two in a row, to an address that is silent and on from there: what is known stays until the last has told the whole list, and
// what comes between that list and the watch behind it costs one pause.
func TestWatcher_ChangesAddressTwice(t *testing.T) {
	asked := make(chan string, 64)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked <- "silent"
		<-r.Context().Done()
	}))
	defer silent.Close()
	first := true
	last := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- "last " + r.URL.RawQuery
		if r.URL.RawQuery == "" {
			writeFlushed(w, `{"version":3,"servers":[`+fmt.Sprintf(entry, "y", "in_service")+"]}")
			return
		}
		if first { // reset between the list and its watch
			first = false
			panic(http.ErrAbortHandler)
		}
		writeFlushed(w, `{"version":4,"servers":[`+fmt.Sprintf(entry, "y", "terminating")+"]}\n")
		<-r.Context().Done()
	}))
	defer last.Close()
	began := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, `{"version":50,"full":true,"servers":[`+fmt.Sprintf(entry, "x", "in_service")+"]}\n")
		<-r.Context().Done()
	}))
	defer began.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	lists, moves := make(chan List, 64), make(chan string)
	w := NewWatcher(addr(began), 0, func(l List) { lists <- l }, func(string, ...any) {})
	w.watchTimeout, w.answerTimeout = time.Hour, time.Hour // by the moves alone
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx, moves) }()
	defer func() { cancel(); <-done }()
	if l := get(t, lists); l.Version != 50 {
		t.Fatalf("got %+v", l)
	}
	moves <- addr(silent)
	if got := get(t, asked); got != "silent" {
		t.Fatal(got)
	}
	select {
	case moves <- addr(last):
	case <-time.After(testTimeout):
		t.Fatal("no move from an address that is silent")
	}
	for i, want := range []string{"last ", "last watch=1&after=3", "last watch=1&after=3"} {
		if got := get(t, asked); got != want {
			t.Errorf("call %d is %q, want %q", i, got, want)
		}
	}
	if l := get(t, lists); l.Version != 3 || !l.Full {
		t.Errorf("got %+v", l)
	}
	if l := get(t, lists); l.Version != 4 || l.Endpoints[0].State != "terminating" {
		t.Errorf("got %+v", l)
	}
}

// Guards an agent that starts anew and counts from the beginning: its whole list is taken, whatever was known.
func TestWatcher_AcceptsFullListOfLowerVersion(t *testing.T) {
	lists := follow(t, func(w http.ResponseWriter, r *http.Request) {
		writeFlushed(w, `{"version":9,"full":true,"servers":[]}`+"\n"+`{"version":1,"full":true,"servers":[`+fmt.Sprintf(entry, "x", "terminating")+"]}\n")
		<-r.Context().Done()
	}, nil)
	if l := get(t, lists); l.Version != 9 {
		t.Errorf("got %+v", l)
	}
	if l := get(t, lists); l.Version != 1 || len(l.Endpoints) != 1 {
		t.Errorf("got %+v", l)
	}
}
