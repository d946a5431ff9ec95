package cordon

import (
	"maps"
	"slices"
)

// MaxRegisters is the maximum number of ids in one Registers.
const MaxRegisters = 4096

// State is the state of one register. Of two states, the one with the greater version is valid.
type State struct {
	Version  uint64 // unique to one call; 0: the register was never written
	Cordoned bool
}

// plannerBits is the number of low bits of a version that hold the number of the planner that made it; topology.Params allows 64 planners.
const plannerBits = 6

// nextVersion returns a version greater than above that no other planner makes.
func nextVersion(above uint64, planner int) uint64 {
	return (above>>plannerBits+1)<<plannerBits | uint64(planner)
}

// Registers holds the latest known states of at most MaxRegisters ids. The zero value is empty.
type Registers struct{ states map[string]State }

// Get returns the latest known state of an id, or the zero value if there is none.
func (r *Registers) Get(id string) State { return r.states[id] }

// Merge stores a state if its version is greater than the known one. newer reports whether it did, and changed whether the backend became
// cordoned or uncordoned by it. The state of a new id is ignored if MaxRegisters ids are known.
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

// full reports whether no new id can be added.
func (r *Registers) full() bool { return len(r.states) >= MaxRegisters }

// Each calls yield for every register, ordered by id.
func (r *Registers) Each(yield func(id string, state State)) {
	for _, id := range slices.Sorted(maps.Keys(r.states)) {
		yield(id, r.states[id])
	}
}

// Cordoned returns the ids that are cordoned, sorted.
func (r *Registers) Cordoned() (ids []string) {
	r.Each(func(id string, state State) {
		if state.Cordoned {
			ids = append(ids, id)
		}
	})
	return ids
}
