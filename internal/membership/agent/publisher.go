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
	maxHistory        = 4096            // max. number of stored changes; a watch that is further behind gets the full list
	keepAliveInterval = 2 * time.Second // between lines without endpoints, written to a watch while nothing changes
)

// publisher serves the merged list in the discovery protocol: the full list or a watch. It is safe for concurrent use.
type publisher struct {
	mu         sync.Mutex
	version    int64 // starts at the Unix time in ms or above, so that it grows across restarts
	endpoints  map[string]discovery.Endpoint
	history    []discovery.List // the latest changes, of consecutive versions; at most maxHistory
	changed    chan struct{}    // closed and replaced at each change
	sourceAgeS float64          // time since the last report of the source that has been silent longest
	ready      bool             // the list is served; before that, requests are rejected
}

func newPublisher(version int64) *publisher {
	return &publisher{version: version, endpoints: map[string]discovery.Endpoint{}, changed: make(chan struct{})}
}

// markReady starts to serve the list.
func (p *publisher) markReady() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = true
}

// isReady reports whether the list is served.
func (p *publisher) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

// currentVersion returns the version of the latest change.
func (p *publisher) currentVersion() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// setSourceAge sets the source age, in s, that is served with lists, changes and keep-alives.
func (p *publisher) setSourceAge(ageS float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sourceAgeS = ageS
}

// publish applies changed entries as the next version of the list and wakes all watches.
func (p *publisher) publish(entries []merge.Entry) {
	if len(entries) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	change := discovery.List{Version: p.version, SourceAgeS: p.sourceAgeS}
	for _, e := range entries {
		endpoint := toEndpoint(e)
		change.Endpoints = append(change.Endpoints, endpoint)
		if e.State == merge.Removed {
			delete(p.endpoints, e.ID)
		} else {
			p.endpoints[e.ID] = endpoint
		}
	}
	if p.history = append(p.history, change); len(p.history) > maxHistory {
		p.history = append(p.history[:0], p.history[len(p.history)-maxHistory/2:]...)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// fullList returns the full list.
func (p *publisher) fullList() discovery.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fullListLocked()
}

func (p *publisher) fullListLocked() discovery.List {
	list := discovery.List{Version: p.version, Full: true, Endpoints: []discovery.Endpoint{}, SourceAgeS: p.sourceAgeS}
	for _, e := range p.endpoints {
		list.Endpoints = append(list.Endpoints, e)
	}
	return list
}

// keepAlive returns a line without endpoints, for a watch that has received all changes up to version.
func (p *publisher) keepAlive(version int64) discovery.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return discovery.List{Version: version, Endpoints: []discovery.Endpoint{}, SourceAgeS: p.sourceAgeS}
}

// changesAfter returns the changes after a version and a channel that is closed at the next change. If the history does not reach back to
// the version, or the version is later than the current one, it returns the full list instead of changes.
func (p *publisher) changesAfter(version int64) ([]discovery.List, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case version == p.version:
		return nil, p.changed
	case version > p.version || len(p.history) == 0 || version < p.history[0].Version-1:
		return []discovery.List{p.fullListLocked()}, p.changed
	}
	return append([]discovery.List(nil), p.history[version+1-p.history[0].Version:]...), p.changed
}

// ServeHTTP answers GET /api/targets with the full list or, if the query sets watch, with the changes after the version in the query's
// parameter after.
func (p *publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	if !p.isReady() {
		http.Error(w, "the list is not known yet", http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	if query.Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(p.fullList()) // fails only if the client has disconnected
		return
	}
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		after = -1 // older than any version: the watch starts with the full list
	}
	p.serveWatch(w, r, after)
}

// serveWatch writes the changes after a version, and keep-alives, until the client disconnects.
func (p *publisher) serveWatch(w http.ResponseWriter, r *http.Request, version int64) {
	encoder, response := json.NewEncoder(w), http.NewResponseController(w)
	for {
		changes, changed := p.changesAfter(version)
		for _, change := range changes {
			if encoder.Encode(change) != nil {
				return
			}
			version = change.Version
		}
		if len(changes) > 0 && response.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(keepAliveInterval):
			if encoder.Encode(p.keepAlive(version)) != nil || response.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
