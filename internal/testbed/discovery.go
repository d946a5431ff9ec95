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

// Discovery is a stand-in for the discovery service. Each party, that is, each client of discovery, queries it at an address of its own.
// So the stand-in can record which party was sent which list at what time, and give each party its own addresses of the nodes. It can also
// send changes late.
type Discovery struct {
	hist *oracle.History
	// AddrFor, if set, returns the address at which a party sees a node. It must be set before the first party connects.
	AddrFor func(party string, t discovery.Endpoint) string

	mu         sync.Mutex
	version    int64                         // version of the list; increases with each change
	list       map[string]discovery.Endpoint // nodes that are not terminated, by ID
	changes    []change                      // changes since the last EndWatches, ordered by version
	changed    chan struct{}                 // closed and replaced with each change
	delay      time.Duration                 // time for which new changes are held back
	silent     bool                          // send nothing, not even heartbeats
	disconnect chan struct{}                 // closed and replaced to end all watches
	servers    []*http.Server
	told       map[string]int64 // by party: the newest version that it was sent
}

type change struct {
	discovery.List
	notBefore time.Time // no party is sent the change before this time
}

// NewDiscovery returns a discovery stand-in without nodes.
func NewDiscovery(hist *oracle.History) *Discovery {
	return &Discovery{hist: hist, version: 1, list: map[string]discovery.Endpoint{}, changed: make(chan struct{}), disconnect: make(chan struct{}), told: map[string]int64{}}
}

// Set announces the state of a node. A terminated node leaves the list.
func (r *Discovery) Set(t discovery.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	if t.State == "terminated" {
		delete(r.list, t.ID)
	} else {
		r.list[t.ID] = t
	}
	r.changes = append(r.changes, change{discovery.List{Version: r.version, Endpoints: []discovery.Endpoint{t}}, time.Now().Add(r.delay)})
	r.notifyWatches()
}

func (r *Discovery) notifyWatches() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetDelay delays the changes that are announced from now on by d.
func (r *Discovery) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetSilent makes the stand-in send nothing, not even heartbeats, until it is called with false.
func (r *Discovery) SetSilent(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
	r.notifyWatches()
}

// EndWatches ends all watches and forgets the changes, so that a watch that has missed some of them gets the full list.
func (r *Discovery) EndWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = nil
	close(r.disconnect)
	r.disconnect = make(chan struct{})
}

// All returns the full list as a party sees it.
func (r *Discovery) All(party string) discovery.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := discovery.List{Version: r.version, Full: true}
	for _, t := range r.list {
		l.Endpoints = append(l.Endpoints, r.endpointFor(party, t))
	}
	return l
}

func (r *Discovery) endpointFor(party string, t discovery.Endpoint) discovery.Endpoint {
	if r.AddrFor != nil {
		t.Addr = r.AddrFor(party, t)
	}
	return t
}

// For opens a listener for a party and returns its address.
func (r *Discovery) For(party string) (addr string, err error) {
	l, err := net.Listen("tcp", hostAddr(0))
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

// Close closes all listeners that For opened, and their connections.
func (r *Discovery) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.Close()
	}
}

// listsAfter returns the lists to send now to a watch whose last received version is after: the changes since that version, without those
// that are delayed, or the full list if the stand-in no longer has all of these changes. The watch has to call listsAfter again when wait
// has passed or changed is closed.
func (r *Discovery) listsAfter(party string, after int64) (list []discovery.List, wait time.Duration, changed, disconnect <-chan struct{}, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait, changed, disconnect, silent = 2*time.Second, r.changed, r.disconnect, r.silent
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
			l.Endpoints = append(l.Endpoints, r.endpointFor(party, t))
		}
		return []discovery.List{l}, wait, changed, disconnect, silent
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
		l.Endpoints = []discovery.Endpoint{r.endpointFor(party, l.Endpoints[0])}
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
		record := r.recordTold(party, l.Version)
		if record {
			RecordUp(r.hist, party, l)
		}
		_ = json.NewEncoder(w).Encode(l)
		if record {
			RecordAbsent(r.hist, party, l)
		}
		return
	}
	var after int64
	_, _ = fmt.Sscan(q.URL.Query().Get("after"), &after)
	out := json.NewEncoder(w)
	for {
		due, wait, changed, disconnect, silent := r.listsAfter(party, after)
		for _, l := range due {
			record := r.recordTold(party, l.Version)
			if record {
				RecordUp(r.hist, party, l)
			}
			if out.Encode(l) != nil {
				return
			}
			after = l.Version
			w.(http.Flusher).Flush()
			if record {
				RecordAbsent(r.hist, party, l)
			}
		}
		select {
		case <-changed:
		case <-disconnect:
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

// recordTold reports whether what a party is sent in a version is to be recorded as its notification: not if it was sent a newer version
// before. A party may have two watches open at once, and the later one repeats changes that the other has overtaken.
func (r *Discovery) recordTold(party string, version int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.told[party] {
		return false
	}
	r.told[party] = version
	return true
}

// RecordUp records the notification of a party about the nodes of l that are in service. It is called before l is written, as the party may
// send attempts to them as soon as it has read l.
func RecordUp(hist *oracle.History, party string, l discovery.List) {
	for _, t := range l.Endpoints {
		if t.State == "in_service" {
			hist.NodeStartNotified(party, t.ID, t.State, t.StartedMS)
		}
	}
}

// RecordAbsent records the notification of a party about the nodes of l that are not in service. If l is a full list, nodes that it does
// not contain are recorded as terminated. It is called after l was written.
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
