// Package held is the table of backends that operators have taken out by hand. It does no I/O and has no clock: a Table
// lays what is held over the lists that discovery tells, and says what changes for the decision module. Store keeps the
// holds in a file that outlives a process.
package held

import (
	"errors"
	"maps"

	"eiderspread/internal/roster"
)

// Most bounds the ids that a Table keeps; a hold beyond it is an error.
const Most = 4096

// The errors of Hold and Release.
var (
	ErrUnknown = errors.New("no backend of this id is listed or held")
	ErrMany    = errors.New("too many backends are held")
)

// The states of a held backend and of one that may be used, in discovery's words.
const (
	stateHeld = "terminating"
	stateUp   = "in_service"
	stateGone = "terminated"
)

// Hold is what operators said of one backend. Times are in milliseconds of Unix time.
type Hold struct {
	SinceMS int64 `json:"since_ms"`          // when it was taken out
	BackMS  int64 `json:"back_ms,omitempty"` // when it was called back; 0 while it is held
}

func (h Hold) held() bool { return h.BackMS == 0 }

// Holds are all of them by the backend's id.
type Holds map[string]Hold

// Table joins discovery's list with what operators hold. One goroutine owns it.
type Table struct {
	listed  map[string]roster.Target // as discovery told them last, those alone that have not gone
	holds   Holds                    // Most at the most
	version int64
}

// New returns a table in which nothing is listed or held.
func New() *Table { return &Table{listed: map[string]roster.Target{}, holds: Holds{}} }

// Take takes in a list of discovery, or a change of it, and returns it as it stands with the holds.
func (t *Table) Take(l roster.List) roster.List {
	t.version = l.Version
	if l.Full {
		clear(t.listed)
	}
	out := l
	out.Servers = make([]roster.Target, 0, len(l.Servers))
	for _, e := range l.Servers {
		if e.State == stateGone {
			delete(t.listed, e.ID)
		} else {
			t.listed[e.ID] = e
		}
		out.Servers = append(out.Servers, t.overlay(e))
	}
	for id, h := range t.holds { // what was called back and has gone, or has told its start, needs no memory
		e, listed := t.listed[id]
		if !h.held() && (!listed || e.StartedMS > h.SinceMS) {
			delete(t.holds, id)
		}
	}
	return out
}

// overlay is an entry as it stands with its hold. One that was called back may have been restarted faster than discovery
// tells: until a start after the hold is told, it counts as started at the call back.
func (t *Table) overlay(e roster.Target) roster.Target {
	h, some := t.holds[e.ID]
	switch {
	case !some || e.State == stateGone:
	case h.held():
		if e.State == stateUp {
			e.State = stateHeld
		}
	case e.StartedMS <= h.SinceMS:
		e.StartedMS = h.BackMS
	}
	return e
}

// Hold takes a backend out; one that is held already stays so. The change is empty for one that is not listed now.
func (t *Table) Hold(nowMS int64, id string) (roster.List, error) {
	h, some := t.holds[id]
	_, listed := t.listed[id]
	switch {
	case some && h.held():
		return t.change(nil), nil
	case !listed:
		return roster.List{}, ErrUnknown
	case len(t.holds) >= Most:
		return roster.List{}, ErrMany
	}
	t.holds[id] = Hold{SinceMS: nowMS}
	return t.change([]string{id}), nil
}

// Release calls a backend back; one that is listed and not held stays in use.
func (t *Table) Release(nowMS int64, id string) (roster.List, error) {
	h, some := t.holds[id]
	e, listed := t.listed[id]
	switch {
	case some && h.held() && listed && e.StartedMS <= h.SinceMS:
		t.holds[id] = Hold{SinceMS: h.SinceMS, BackMS: nowMS}
	case some && h.held():
		delete(t.holds, id) // its start is told, or will be when it is listed again
	case !listed:
		return roster.List{}, ErrUnknown
	default:
		return t.change(nil), nil
	}
	return t.change([]string{id}), nil
}

// Set replaces all holds, as another process has left them, and returns what changes by it.
func (t *Table) Set(holds Holds) roster.List {
	ids := map[string]bool{}
	for id, h := range t.holds {
		if holds[id] != h {
			ids[id] = true
		}
	}
	for id, h := range holds {
		if old, some := t.holds[id]; !some || old != h {
			ids[id] = true
		}
	}
	t.holds = maps.Clone(holds)
	if t.holds == nil {
		t.holds = Holds{}
	}
	var list []string
	for id := range ids {
		list = append(list, id)
	}
	return t.change(list)
}

// Holds returns a copy of what is kept.
func (t *Table) Holds() Holds { return maps.Clone(t.holds) }

// Listed is the whole list as discovery told it, without the holds.
func (t *Table) Listed() roster.List {
	l := roster.List{Version: t.version, Full: true}
	for _, e := range t.listed {
		l.Servers = append(l.Servers, e)
	}
	return l
}

// Count returns how many backends are held.
func (t *Table) Count() (n int) {
	for _, h := range t.holds {
		if h.held() {
			n++
		}
	}
	return n
}

func (t *Table) change(ids []string) roster.List {
	l := roster.List{Version: t.version}
	for _, id := range ids {
		if e, listed := t.listed[id]; listed {
			l.Servers = append(l.Servers, t.overlay(e))
		}
	}
	return l
}
