package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"eiderspread/internal/roster"
)

// Roster is a stand-in discovery. Each party asks at an address of its own, so that it is known who was told what
// and when.
type Roster struct {
	hist *History

	mu      sync.Mutex
	version int64
	list    map[string]roster.Target
	changes []roster.List
	changed chan struct{} // closed and replaced with each change
	servers []*http.Server
}

// NewRoster returns a roster without nodes.
func NewRoster(hist *History) *Roster {
	return &Roster{hist: hist, version: 1, list: map[string]roster.Target{}, changed: make(chan struct{})}
}

// Set says how a node stands from now on.
func (r *Roster) Set(t roster.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	if t.State == "terminated" {
		delete(r.list, t.ID)
	} else {
		r.list[t.ID] = t
	}
	r.changes = append(r.changes, roster.List{Version: r.version, Servers: []roster.Target{t}})
	close(r.changed)
	r.changed = make(chan struct{})
}

// All is the whole list.
func (r *Roster) All() roster.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := roster.List{Version: r.version, Full: true}
	for _, t := range r.list {
		l.Servers = append(l.Servers, t)
	}
	return l
}

// For opens the address at which a party asks.
func (r *Roster) For(party string) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(party, w, q) })}
	r.mu.Lock()
	r.servers = append(r.servers, srv)
	r.mu.Unlock()
	go srv.Serve(l)
	return l.Addr().String(), nil
}

// Close ends all that For opened.
func (r *Roster) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.Close()
	}
}

func (r *Roster) serve(party string, w http.ResponseWriter, q *http.Request) {
	if q.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(r.All())
		return
	}
	var after int64
	fmt.Sscan(q.URL.Query().Get("after"), &after)
	out := json.NewEncoder(w)
	for {
		r.mu.Lock()
		var due []roster.List
		for _, c := range r.changes {
			if c.Version > after {
				due = append(due, c)
			}
		}
		changed := r.changed
		r.mu.Unlock()
		for _, c := range due {
			if out.Encode(c) != nil {
				return
			}
			after = c.Version
			w.(http.Flusher).Flush()
			for _, t := range c.Servers {
				r.hist.told(party, t.ID, t.State)
			}
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
			w.(http.Flusher).Flush()
		case <-q.Context().Done():
			return
		}
	}
}
