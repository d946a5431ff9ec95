package cordon

import (
	"maps"
	"slices"
)

// MaxRegisters bounds the ids of one Registers.
const MaxRegisters = 4096

// State is the state of one register. Of two states the one of the greater version holds.
type State struct {
	Version  uint64 // no two calls make the same one; 0: the register was never written
	Cordoned bool
}

// plannerBits are the low bits of a version, for the number of the planner that made it; topology.Params allows 64 planners.
const plannerBits = 6

// nextVersion returns a version of a planner's own above another.
func nextVersion(above uint64, planner int) uint64 {
	return (above>>plannerBits+1)<<plannerBits | uint64(planner)
}

// Registers holds the latest known states, of MaxRegisters ids at most. The zero value is empty.
type Registers struct{ states map[string]State }

// Get returns the latest known state of an id; the zero value if there is none.
func (r *Registers) Get(id string) State { return r.states[id] }

// Merge takes a state in unless a newer one is known. It reports whether it did, and whether the id's being cordoned changed by it. A new
// id beyond the bound is not taken in.
func (r *Registers) Merge(id string, state State) (newer, changed bool) {
	known, exists := r.states[id]
	if state.Version <= known.Version || !exists && r.full() {
		return false, false
	}
	if r.states == nil {
		r.states = map[string]State{}
	}
	r.states[id] = state
	return true, known.Cordoned != state.Cordoned
}

// full reports whether no new id can be taken in.
func (r *Registers) full() bool { return len(r.states) >= MaxRegisters }

// Each calls yield for every register, in order of ids.
func (r *Registers) Each(yield func(id string, state State)) {
	for _, id := range slices.Sorted(maps.Keys(r.states)) {
		yield(id, r.states[id])
	}
}

// Cordoned lists the ids that are cordoned, in order.
func (r *Registers) Cordoned() (ids []string) {
	r.Each(func(id string, state State) {
		if state.Cordoned {
			ids = append(ids, id)
		}
	})
	return ids
}
