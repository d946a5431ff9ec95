package cordontable

import (
	"errors"
	"maps"
	"slices"

	"eiderspread/internal/membership/discovery"
)

// MaxCordons is the maximum number of cordons in a Table, lifted ones included.
const MaxCordons = 4096

// Errors of Table.Cordon and Table.Uncordon.
var (
	ErrUnknownBackend = errors.New("no backend of this id is listed or held")
	ErrTooMany        = errors.New("too many backends are held")
)

// Cordon is the last cordon of one backend by an operator. Times are Unix times in milliseconds.
type Cordon struct {
	SinceMS      int64 `json:"since_ms"`          // when the backend was cordoned
	UncordonedMS int64 `json:"back_ms,omitempty"` // when the cordon was lifted; 0: the cordon is active
}

func (c Cordon) active() bool { return c.UncordonedMS == 0 }

// Cordons maps backend IDs to their cordons.
type Cordons map[string]Cordon

// Table combines discovery's endpoint list with the cordons. It is not safe for concurrent use.
type Table struct {
	listed  map[string]discovery.Endpoint // by ID, as last reported by discovery, without terminated ones
	cordons Cordons                       // at most MaxCordons
	version int64                         // version of discovery's last list
}

// New returns a table without endpoints and cordons.
func New() *Table { return &Table{listed: map[string]discovery.Endpoint{}, cordons: Cordons{}} }

// ApplyList merges a full list or a change from discovery into the table, and returns it with the cordons applied.
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
	t.pruneLifted()
	return applied
}

// pruneLifted deletes the lifted cordons of backends that are no longer listed or that were reported as started after the cordon.
func (t *Table) pruneLifted() {
	maps.DeleteFunc(t.cordons, func(id string, cordon Cordon) bool {
		endpoint, listed := t.listed[id]
		return !cordon.active() && (!listed || endpoint.StartedMS > cordon.SinceMS)
	})
}

// withCordon returns an endpoint with its cordon applied. A backend may have been restarted while it was cordoned. After its cordon is
// lifted, the time of the lifting is therefore taken as its start time, until discovery reports a start after the cordon began. Planners
// apply the same rule to the backends of their decision modules.
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

// Cordon cordons a backend and returns the resulting change of the list, which is empty if the backend is already cordoned.
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

// Uncordon lifts a backend's cordon and returns the resulting change of the list, which is empty if the backend is not cordoned.
func (t *Table) Uncordon(nowMS int64, id string) (discovery.List, error) {
	cordon, exists := t.cordons[id]
	endpoint, listed := t.listed[id]
	switch {
	case exists && cordon.active() && listed && endpoint.StartedMS <= cordon.SinceMS:
		t.cordons[id] = Cordon{SinceMS: cordon.SinceMS, UncordonedMS: nowMS}
	case exists && cordon.active():
		delete(t.cordons, id) // discovery has reported its start, or will report it when it lists the backend again
	case !listed:
		return discovery.List{}, ErrUnknownBackend
	default:
		return t.changedEntries(nil), nil
	}
	return t.changedEntries([]string{id}), nil
}

// Replace replaces all cordons, by those of another process for example, and returns the resulting change of the list.
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

// Cordons returns a copy of all cordons, including the lifted ones that withCordon still applies.
func (t *Table) Cordons() Cordons { return maps.Clone(t.cordons) }

// Listed returns discovery's full list without the cordons applied.
func (t *Table) Listed() discovery.List {
	list := discovery.List{Version: t.version, Full: true}
	for _, endpoint := range t.listed {
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// Count returns the number of active cordons.
func (t *Table) Count() (count int) {
	for _, cordon := range t.cordons {
		if cordon.active() {
			count++
		}
	}
	return count
}

// changedEntries returns a change of the list with those endpoints among ids that are listed, with their cordons applied.
func (t *Table) changedEntries(ids []string) discovery.List {
	list := discovery.List{Version: t.version}
	for _, id := range ids {
		if endpoint, listed := t.listed[id]; listed {
			list.Endpoints = append(list.Endpoints, t.withCordon(endpoint))
		}
	}
	return list
}
