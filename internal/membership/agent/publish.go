package agent

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/membership/merge"
)

const (
	maxHistory        = 4096            // changes that a watch may be behind; one further behind gets the whole list
	keepAliveInterval = 2 * time.Second // a line without nodes comes so often while nothing changes
)

var stateNames = map[merge.State]string{merge.Up: "in_service", merge.Draining: "terminating", merge.Removed: "terminated"}

// publisher serves the joined list in the roster's protocol (PROTOCOL, "Discovery"). It is safe for concurrent use.
type publisher struct {
	mu         sync.Mutex
	version    int64 // begins with the time, so that it goes on across restarts
	endpoints  map[string]discovery.Endpoint
	history    []discovery.List // the last kept
	changed    chan struct{}    // closed and replaced with each change
	sourceAgeS float64          // of the source that has been silent the longest
	ready      bool             // the list is good to be served
}

// markReady has the list served from now on.
func (p *publisher) markReady() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = true
}

func (p *publisher) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

// currentVersion is the version that was told last.
func (p *publisher) currentVersion() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// setSourceAge takes how old the word is of the source that has been silent the longest.
func (p *publisher) setSourceAge(s float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sourceAgeS = s
}

// keepAlive is what a watch is told while nothing changes: that the agent is there, and how old its word is.
func (p *publisher) keepAlive(version int64) discovery.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return discovery.List{Version: version, Endpoints: []discovery.Endpoint{}, SourceAgeS: p.sourceAgeS}
}

func newPublisher(start int64) *publisher {
	return &publisher{version: start, endpoints: map[string]discovery.Endpoint{}, changed: make(chan struct{})}
}

func toEndpoint(e merge.Entry) discovery.Endpoint {
	return discovery.Endpoint{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Cell: e.Cell, State: stateNames[e.State], Weight: e.Weight, StartedMS: e.StartedMS}
}

// publish tells of changes, all in one line.
func (p *publisher) publish(entries []merge.Entry) {
	if len(entries) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	l := discovery.List{Version: p.version, SourceAgeS: p.sourceAgeS}
	for _, e := range entries {
		t := toEndpoint(e)
		l.Endpoints = append(l.Endpoints, t)
		if e.State == merge.Removed {
			delete(p.endpoints, e.ID)
		} else {
			p.endpoints[e.ID] = t
		}
	}
	if p.history = append(p.history, l); len(p.history) > maxHistory {
		p.history = append(p.history[:0], p.history[len(p.history)-maxHistory/2:]...)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *publisher) fullList() discovery.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fullListLocked()
}

func (p *publisher) fullListLocked() discovery.List {
	l := discovery.List{Version: p.version, Full: true, Endpoints: []discovery.Endpoint{}, SourceAgeS: p.sourceAgeS}
	for _, t := range p.endpoints {
		l.Endpoints = append(l.Endpoints, t)
	}
	return l
}

// changesAfter returns what changed after a version, or the whole where that is not kept, and what tells of the next change.
func (p *publisher) changesAfter(after int64) ([]discovery.List, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case after == p.version:
		return nil, p.changed
	case after > p.version || len(p.history) == 0 || after < p.history[0].Version-1:
		return []discovery.List{p.fullListLocked()}, p.changed
	}
	return append([]discovery.List(nil), p.history[after+1-p.history[0].Version:]...), p.changed
}

// ServeHTTP answers /api/targets.
func (p *publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	if !p.isReady() {
		http.Error(w, "the list is not known yet", http.StatusServiceUnavailable)
		return
	}
	out := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		out.Encode(p.fullList())
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	flush := http.NewResponseController(w)
	for {
		due, changed := p.changesAfter(after)
		for _, l := range due {
			if out.Encode(l) != nil {
				return
			}
			after = l.Version
		}
		if len(due) > 0 && flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(keepAliveInterval):
			if out.Encode(p.keepAlive(after)) != nil || flush.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
