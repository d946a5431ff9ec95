package testbed

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/testbed/oracle"
)

// Discovery is a stand-in discovery. Each party asks at an address of its own, so that it is known who was told what
// and when, and so that parties can be told late, or of addresses of their own.
type Discovery struct {
	hist *oracle.History
	// AddrFor, if set before the first party asks, gives the address under which a party sees a node.
	AddrFor func(party string, t discovery.Endpoint) string

	mu      sync.Mutex
	version int64
	list    map[string]discovery.Endpoint
	changes []change
	changed chan struct{} // closed and replaced with each change
	late    time.Duration
	silent  bool
	breaks  chan struct{} // closed and replaced to end all watches
	servers []*http.Server
}

type change struct {
	discovery.List
	notBefore time.Time // told no earlier
}

// NewDiscovery returns a roster without nodes.
func NewDiscovery(hist *oracle.History) *Discovery {
	return &Discovery{hist: hist, version: 1, list: map[string]discovery.Endpoint{}, changed: make(chan struct{}), breaks: make(chan struct{})}
}

// Set says how a node stands from now on.
func (r *Discovery) Set(t discovery.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	if t.State == "terminated" {
		delete(r.list, t.ID)
	} else {
		r.list[t.ID] = t
	}
	r.changes = append(r.changes, change{discovery.List{Version: r.version, Endpoints: []discovery.Endpoint{t}}, time.Now().Add(r.late)})
	r.wake()
}

func (r *Discovery) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Late has changes from now on told so much later.
func (r *Discovery) Late(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = d
}

// Silent has the roster say nothing more, not even that it is there, until it is taken back.
func (r *Discovery) Silent(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
	r.wake()
}

// Break ends all watches and forgets the changes: whoever comes back is told the whole list.
func (r *Discovery) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = nil
	close(r.breaks)
	r.breaks = make(chan struct{})
}

// All is the whole list as a party sees it.
func (r *Discovery) All(party string) discovery.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := discovery.List{Version: r.version, Full: true}
	for _, t := range r.list {
		l.Endpoints = append(l.Endpoints, r.seen(party, t))
	}
	return l
}

func (r *Discovery) seen(party string, t discovery.Endpoint) discovery.Endpoint {
	if r.AddrFor != nil {
		t.Addr = r.AddrFor(party, t)
	}
	return t
}

// For opens the address at which a party asks.
func (r *Discovery) For(party string) (addr string, err error) {
	l, err := net.Listen("tcp", ownAddr(0))
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(party, w, q) })}
	r.mu.Lock()
	r.servers = append(r.servers, srv)
	r.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

// Close ends all that For opened.
func (r *Discovery) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.Close()
	}
}

// dueChanges is what a watch that has heard all up to after is to be told now, and how long until there may be more. The first of
// a watch for which changes are missing is the whole list.
func (r *Discovery) dueChanges(party string, after int64) (list []discovery.List, wait time.Duration, changed, breaks <-chan struct{}, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait, changed, breaks, silent = 2*time.Second, r.changed, r.breaks, r.silent
	if silent {
		return
	}
	known := r.version
	if len(r.changes) > 0 {
		known = r.changes[0].Version - 1
	}
	if after < known {
		l := discovery.List{Version: r.version, Full: true}
		for _, t := range r.list {
			l.Endpoints = append(l.Endpoints, r.seen(party, t))
		}
		return []discovery.List{l}, wait, changed, breaks, silent
	}
	for _, c := range r.changes {
		if c.Version <= after {
			continue
		}
		if left := time.Until(c.notBefore); left > 0 {
			wait = min(wait, left)
			break
		}
		l := c.List
		l.Endpoints = []discovery.Endpoint{r.seen(party, l.Endpoints[0])}
		list = append(list, l)
	}
	return
}

func (r *Discovery) serve(party string, w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	if q.URL.Query().Get("watch") == "" {
		if silent {
			<-q.Context().Done()
			return
		}
		l := r.All(party)
		RecordUp(r.hist, party, l)
		_ = json.NewEncoder(w).Encode(l)
		RecordAbsent(r.hist, party, l)
		return
	}
	var after int64
	_, _ = fmt.Sscan(q.URL.Query().Get("after"), &after)
	out := json.NewEncoder(w)
	for {
		due, wait, changed, breaks, silent := r.dueChanges(party, after)
		for _, l := range due {
			RecordUp(r.hist, party, l)
			if out.Encode(l) != nil {
				return
			}
			after = l.Version
			w.(http.Flusher).Flush()
			RecordAbsent(r.hist, party, l)
		}
		select {
		case <-changed:
		case <-breaks:
			return
		case <-time.After(wait):
			if !silent && wait == 2*time.Second {
				fmt.Fprint(w, "\n")
				w.(http.Flusher).Flush()
			}
		case <-q.Context().Done():
			return
		}
	}
}

// RecordUp records what is about to be written of nodes that are up: a party may send as soon as it can have read it.
func RecordUp(hist *oracle.History, party string, l discovery.List) {
	for _, t := range l.Endpoints {
		if t.State == "in_service" {
			hist.NodeStartNotified(party, t.ID, t.State, t.StartedMS)
		}
	}
}

// RecordAbsent records what was written of nodes that are not. Of a whole list, what it does not hold is gone.
func RecordAbsent(hist *oracle.History, party string, l discovery.List) {
	listed := map[string]bool{}
	for _, t := range l.Endpoints {
		listed[t.ID] = true
		if t.State != "in_service" {
			hist.NodeStartNotified(party, t.ID, t.State, t.StartedMS)
		}
	}
	if l.Full {
		for id, start := range hist.KnownNodes(party) {
			if !listed[id] {
				hist.NodeStartNotified(party, id, "terminated", start)
			}
		}
	}
}
