package cordontable

import (
	"errors"
	"maps"
	"slices"

	"eiderspread/internal/membership/discovery"
)

// MaxCordons bounds the ids of a Table.
const MaxCordons = 4096

// Errors of Table.Cordon and Table.Uncordon.
var (
	ErrUnknownBackend = errors.New("no backend of this id is listed or held")
	ErrTooMany        = errors.New("too many backends are held")
)

// Cordon is what operators last did to one backend. Times are Unix times in milliseconds.
type Cordon struct {
	SinceMS      int64 `json:"since_ms"`          // when it was cordoned
	UncordonedMS int64 `json:"back_ms,omitempty"` // when that was lifted; 0: it is cordoned
}

func (c Cordon) active() bool { return c.UncordonedMS == 0 }

// Cordons are all cordons by backend id.
type Cordons map[string]Cordon

// Table joins discovery's list with the cordons. It is not safe for concurrent use.
type Table struct {
	listed  map[string]discovery.Endpoint // as discovery reported them last, without those that are terminated
	cordons Cordons                       // MaxCordons at most
	version int64                         // of discovery's list
}

// New returns a table in which nothing is listed or cordoned.
func New() *Table { return &Table{listed: map[string]discovery.Endpoint{}, cordons: Cordons{}} }

// ApplyList merges discovery's list, full or only what has changed, and returns it with the cordons applied.
func (t *Table) ApplyList(list discovery.List) discovery.List {
	t.version = list.Version
	if list.Full {
		clear(t.listed)
	}
	applied := list
	applied.Endpoints = make([]discovery.Endpoint, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		if endpoint.State == discovery.Terminated {
			delete(t.listed, endpoint.ID)
		} else {
			t.listed[endpoint.ID] = endpoint
		}
		applied.Endpoints = append(applied.Endpoints, t.withCordon(endpoint))
	}
	t.forgetLifted()
	return applied
}

// forgetLifted forgets lifted cordons of backends that are not listed any more, or whose start after the cordon has been reported.
func (t *Table) forgetLifted() {
	maps.DeleteFunc(t.cordons, func(id string, cordon Cordon) bool {
		endpoint, listed := t.listed[id]
		return !cordon.active() && (!listed || endpoint.StartedMS > cordon.SinceMS)
	})
}

// withCordon returns an endpoint with its cordon applied. One whose cordon was lifted may have been restarted meanwhile: it counts as
// started at that moment until discovery reports a start after the cordon. Planners have the same rule for the backends of their modules.
func (t *Table) withCordon(endpoint discovery.Endpoint) discovery.Endpoint {
	cordon, exists := t.cordons[endpoint.ID]
	switch {
	case !exists || endpoint.State == discovery.Terminated:
	case cordon.active():
		if endpoint.State == discovery.InService {
			endpoint.State = discovery.Terminating
		}
	case endpoint.StartedMS <= cordon.SinceMS:
		endpoint.StartedMS = cordon.UncordonedMS
	}
	return endpoint
}

// Cordon cordons a backend and returns the list's change by it; that is empty if the backend is cordoned already.
func (t *Table) Cordon(nowMS int64, id string) (discovery.List, error) {
	cordon, exists := t.cordons[id]
	_, listed := t.listed[id]
	switch {
	case exists && cordon.active():
		return t.changedEntries(nil), nil
	case !listed:
		return discovery.List{}, ErrUnknownBackend
	case len(t.cordons) >= MaxCordons:
		return discovery.List{}, ErrTooMany
	}
	t.cordons[id] = Cordon{SinceMS: nowMS}
	return t.changedEntries([]string{id}), nil
}

// Uncordon lifts a backend's cordon and returns the list's change by it; that is empty if the backend is not cordoned.
func (t *Table) Uncordon(nowMS int64, id string) (discovery.List, error) {
	cordon, exists := t.cordons[id]
	endpoint, listed := t.listed[id]
	switch {
	case exists && cordon.active() && listed && endpoint.StartedMS <= cordon.SinceMS:
		t.cordons[id] = Cordon{SinceMS: cordon.SinceMS, UncordonedMS: nowMS}
	case exists && cordon.active():
		delete(t.cordons, id) // its start has been reported, or will be when it is listed again
	case !listed:
		return discovery.List{}, ErrUnknownBackend
	default:
		return t.changedEntries(nil), nil
	}
	return t.changedEntries([]string{id}), nil
}

// Replace replaces all cordons by those that another process has left, and returns the list's change by it.
func (t *Table) Replace(cordons Cordons) discovery.List {
	changed := map[string]bool{}
	for id, cordon := range t.cordons {
		if cordons[id] != cordon {
			changed[id] = true
		}
	}
	for id, cordon := range cordons {
		if known, exists := t.cordons[id]; !exists || known != cordon {
			changed[id] = true
		}
	}
	t.cordons = maps.Clone(cordons)
	if t.cordons == nil {
		t.cordons = Cordons{}
	}
	return t.changedEntries(slices.Sorted(maps.Keys(changed)))
}

// Cordons returns a copy of all cordons, lifted ones that still matter included.
func (t *Table) Cordons() Cordons { return maps.Clone(t.cordons) }

// Listed returns discovery's full list without the cordons.
func (t *Table) Listed() discovery.List {
	list := discovery.List{Version: t.version, Full: true}
	for _, endpoint := range t.listed {
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// Count returns the number of cordoned backends.
func (t *Table) Count() (count int) {
	for _, cordon := range t.cordons {
		if cordon.active() {
			count++
		}
	}
	return count
}

// changedEntries returns the entries of the listed backends among ids, as a change of the list.
func (t *Table) changedEntries(ids []string) discovery.List {
	list := discovery.List{Version: t.version}
	for _, id := range ids {
		if endpoint, listed := t.listed[id]; listed {
			list.Endpoints = append(list.Endpoints, t.withCordon(endpoint))
		}
	}
	return list
}
