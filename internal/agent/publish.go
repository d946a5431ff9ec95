package agent

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"eiderspread/internal/member"
	"eiderspread/internal/roster"
)

const (
	kept   = 4096            // changes that a watch may be behind; one further behind gets the whole list
	blanks = 2 * time.Second // a line without nodes comes so often while nothing changes
)

var words = map[member.State]string{member.Up: "in_service", member.Draining: "terminating", member.Gone: "terminated"}

// publisher serves the joined list in the roster's protocol (PROTOCOL, "Discovery"). It is safe for concurrent use.
type publisher struct {
	mu      sync.Mutex
	version int64 // begins with the time, so that it goes on across restarts
	list    map[string]roster.Target
	changes []roster.List // the last kept
	changed chan struct{} // closed and replaced with each change
	ageS    float64       // of the source that has been silent the longest
	ready   bool          // the list is good to be served
}

// serve has the list served from now on.
func (p *publisher) serve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = true
}

func (p *publisher) begun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

// at is the version that was told last.
func (p *publisher) at() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// aged takes how old the word is of the source that has been silent the longest.
func (p *publisher) aged(s float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ageS = s
}

// idle is what a watch is told while nothing changes: that the agent is there, and how old its word is.
func (p *publisher) idle(version int64) roster.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return roster.List{Version: version, Servers: []roster.Target{}, AgeS: p.ageS}
}

func newPublisher(start int64) *publisher {
	return &publisher{version: start, list: map[string]roster.Target{}, changed: make(chan struct{})}
}

func target(e member.Entry) roster.Target {
	return roster.Target{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Cell: e.Cell, State: words[e.State], Weight: e.Weight, StartedMS: e.StartedMS}
}

// publish tells of changes, all in one line.
func (p *publisher) publish(entries []member.Entry) {
	if len(entries) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	l := roster.List{Version: p.version, AgeS: p.ageS}
	for _, e := range entries {
		t := target(e)
		l.Servers = append(l.Servers, t)
		if e.State == member.Gone {
			delete(p.list, e.ID)
		} else {
			p.list[e.ID] = t
		}
	}
	if p.changes = append(p.changes, l); len(p.changes) > kept {
		p.changes = append(p.changes[:0], p.changes[len(p.changes)-kept/2:]...)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *publisher) whole() roster.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wholeLocked()
}

func (p *publisher) wholeLocked() roster.List {
	l := roster.List{Version: p.version, Full: true, Servers: []roster.Target{}, AgeS: p.ageS}
	for _, t := range p.list {
		l.Servers = append(l.Servers, t)
	}
	return l
}

// behind returns what changed after a version, or the whole where that is not kept, and what tells of the next change.
func (p *publisher) behind(after int64) ([]roster.List, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case after == p.version:
		return nil, p.changed
	case after > p.version || len(p.changes) == 0 || after < p.changes[0].Version-1:
		return []roster.List{p.wholeLocked()}, p.changed
	}
	return append([]roster.List(nil), p.changes[after+1-p.changes[0].Version:]...), p.changed
}

// ServeHTTP answers /api/targets.
func (p *publisher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	if !p.begun() {
		http.Error(w, "the list is not known yet", http.StatusServiceUnavailable)
		return
	}
	out := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		out.Encode(p.whole())
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	flush := http.NewResponseController(w)
	for {
		due, changed := p.behind(after)
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
		case <-time.After(blanks):
			if out.Encode(p.idle(after)) != nil || flush.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
