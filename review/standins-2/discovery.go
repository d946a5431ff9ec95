package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// list is a list of backends in discovery's form.
type list struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

type server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// discovery stands in for the agent that serves the list: the whole list, and watches of its changes.
type discovery struct {
	rig  *rig
	addr string

	mu      sync.Mutex
	version int64
	servers map[string]server
	order   []string
	changes []list
	changed chan struct{}
}

func (r *rig) newDiscovery(servers []server) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{rig: r, addr: l.Addr().String(), version: 41, servers: map[string]server{}, changed: make(chan struct{})}
	for _, s := range servers {
		d.servers[s.ID] = s
		d.order = append(d.order, s.ID)
	}
	go func() { _ = http.Serve(l, d) }()
	return d
}

func (d *discovery) list() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	full := list{Version: d.version, Full: true, Servers: []server{}}
	for _, id := range d.order {
		if s := d.servers[id]; s.State != "terminated" {
			full.Servers = append(full.Servers, s)
		}
	}
	return full
}

// change changes one entry and tells it to all watches.
func (d *discovery) change(id string, edit func(*server)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	edit(&s)
	d.servers[id] = s
	d.version++
	d.changes = append(d.changes, list{Version: d.version, Servers: []server{s}})
	d.rig.note("discovery tells: %+v", s)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) after(version int64) ([]list, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var later []list
	for _, c := range d.changes {
		if c.Version > version {
			later = append(later, c)
		}
	}
	return later, d.changed
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/api/targets" {
		http.NotFound(w, q)
		return
	}
	encoder, flush := json.NewEncoder(w), http.NewResponseController(w)
	if q.URL.Query().Get("watch") == "" {
		_ = encoder.Encode(d.list())
		return
	}
	version, err := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	if err != nil || version < 41 {
		full := d.list()
		version = full.Version
		_ = encoder.Encode(full)
	}
	_ = flush.Flush()
	for {
		changes, changed := d.after(version)
		for _, c := range changes {
			if encoder.Encode(c) != nil {
				return
			}
			version = c.Version
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-q.Context().Done():
			return
		}
	}
}
