// Package held is the table of backends that operators have taken out by hand. It does no I/O and has no clock: a Table
// lays what is held over the lists that discovery tells, and says what changes for the decision module. Store keeps the
// holds in a file that outlives a process.
package cordontable

import (
	"errors"
	"maps"

	"eiderspread/internal/membership/discovery"
)

// MaxCordons bounds the ids that a Table keeps; a hold beyond it is an error.
const MaxCordons = 4096

// The errors of Hold and Release.
var (
	ErrUnknownBackend = errors.New("no backend of this id is listed or held")
	ErrTooMany        = errors.New("too many backends are held")
)

// The states of a held backend and of one that may be used, in discovery's words.
const (
	stateTerminating = "terminating"
	stateInService   = "in_service"
	stateTerminated  = "terminated"
)

// Cordon is what operators said of one backend. Times are in milliseconds of Unix time.
type Cordon struct {
	SinceMS      int64 `json:"since_ms"`          // when it was taken out
	UncordonedMS int64 `json:"back_ms,omitempty"` // when it was called back; 0 while it is held
}

func (h Cordon) active() bool { return h.UncordonedMS == 0 }

// Cordons are all of them by the backend's id.
type Cordons map[string]Cordon

// Table joins discovery's list with what operators hold. One goroutine owns it.
type Table struct {
	listed  map[string]discovery.Endpoint // as discovery told them last, those alone that have not gone
	cordons Cordons                       // Most at the most
	version int64
}

// New returns a table in which nothing is listed or held.
func New() *Table { return &Table{listed: map[string]discovery.Endpoint{}, cordons: Cordons{}} }

// ApplyList takes in a list of discovery, or a change of it, and returns it as it stands with the holds.
func (t *Table) ApplyList(list discovery.List) discovery.List {
	t.version = list.Version
	if list.Full {
		clear(t.listed)
	}
	out := list
	out.Endpoints = make([]discovery.Endpoint, 0, len(list.Endpoints))
	for _, entry := range list.Endpoints {
		if entry.State == stateTerminated {
			delete(t.listed, entry.ID)
		} else {
			t.listed[entry.ID] = entry
		}
		out.Endpoints = append(out.Endpoints, t.withCordon(entry))
	}
	for id, cordon := range t.cordons { // what was called back and has gone, or has told its start, needs no memory
		entry, listed := t.listed[id]
		if !cordon.active() && (!listed || entry.StartedMS > cordon.SinceMS) {
			delete(t.cordons, id)
		}
	}
	return out
}

// withCordon is an entry as it stands with its hold. One that was called back may have been restarted faster than discovery
// tells: until a start after the hold is told, it counts as started at the call back.
func (t *Table) withCordon(entry discovery.Endpoint) discovery.Endpoint {
	cordon, cordoned := t.cordons[entry.ID]
	switch {
	case !cordoned || entry.State == stateTerminated:
	case cordon.active():
		if entry.State == stateInService {
			entry.State = stateTerminating
		}
	case entry.StartedMS <= cordon.SinceMS:
		entry.StartedMS = cordon.UncordonedMS
	}
	return entry
}

// Cordon takes a backend out; one that is held already stays so. The change is empty for one that is not listed now.
func (t *Table) Cordon(nowMS int64, id string) (discovery.List, error) {
	cordon, cordoned := t.cordons[id]
	_, listed := t.listed[id]
	switch {
	case cordoned && cordon.active():
		return t.changedEntries(nil), nil
	case !listed:
		return discovery.List{}, ErrUnknownBackend
	case len(t.cordons) >= MaxCordons:
		return discovery.List{}, ErrTooMany
	}
	t.cordons[id] = Cordon{SinceMS: nowMS}
	return t.changedEntries([]string{id}), nil
}

// Uncordon calls a backend back; one that is listed and not held stays in use.
func (t *Table) Uncordon(nowMS int64, id string) (discovery.List, error) {
	cordon, cordoned := t.cordons[id]
	entry, listed := t.listed[id]
	switch {
	case cordoned && cordon.active() && listed && entry.StartedMS <= cordon.SinceMS:
		t.cordons[id] = Cordon{SinceMS: cordon.SinceMS, UncordonedMS: nowMS}
	case cordoned && cordon.active():
		delete(t.cordons, id) // its start is told, or will be when it is listed again
	case !listed:
		return discovery.List{}, ErrUnknownBackend
	default:
		return t.changedEntries(nil), nil
	}
	return t.changedEntries([]string{id}), nil
}

// Replace replaces all holds, as another process has left them, and returns what changes by it.
func (t *Table) Replace(cordons Cordons) discovery.List {
	ids := map[string]bool{}
	for id, cordon := range t.cordons {
		if cordons[id] != cordon {
			ids[id] = true
		}
	}
	for id, cordon := range cordons {
		if old, cordoned := t.cordons[id]; !cordoned || old != cordon {
			ids[id] = true
		}
	}
	t.cordons = maps.Clone(cordons)
	if t.cordons == nil {
		t.cordons = Cordons{}
	}
	var changed []string
	for id := range ids {
		changed = append(changed, id)
	}
	return t.changedEntries(changed)
}

// Cordons returns a copy of what is kept.
func (t *Table) Cordons() Cordons { return maps.Clone(t.cordons) }

// Listed is the whole list as discovery told it, without the holds.
func (t *Table) Listed() discovery.List {
	list := discovery.List{Version: t.version, Full: true}
	for _, entry := range t.listed {
		list.Endpoints = append(list.Endpoints, entry)
	}
	return list
}

// Count returns how many backends are held.
func (t *Table) Count() (n int) {
	for _, cordon := range t.cordons {
		if cordon.active() {
			n++
		}
	}
	return n
}

func (t *Table) changedEntries(ids []string) discovery.List {
	list := discovery.List{Version: t.version}
	for _, id := range ids {
		if entry, listed := t.listed[id]; listed {
			list.Endpoints = append(list.Endpoints, t.withCordon(entry))
		}
	}
	return list
}
