// Package withhold decides which backends the operators of a two-level fleet hold, so that a hold said yes to at any planner binds
// whichever planner leads afterwards. Each id is a register: the word with the greatest version holds. Forwarders keep the words (Words),
// a planner that operators call reads and writes them at a majority (Caller). No I/O; time comes in as a value, in seconds.
//
// Why a majority of forwarders is enough is in docs/two-levels-by-hand.md: a planner that leads rests on promises of a majority, one of
// which was given, on the same link, behind the word.
package cordon

import (
	"errors"
	"maps"
	"slices"
)

// MaxRegisters bounds the ids of a Words, and the calls of a Caller that are under way together.
const (
	MaxRegisters  = 4096
	MaxOperations = 64
)

// Errors of a call.
var (
	ErrTooMany        = errors.New("too many backends are held, or too many calls are under way")
	ErrNoMajority     = errors.New("too few forwarders answered in time: it may hold or not, call again")
	ErrUnknownBackend = errors.New("no backend of this id is listed or held")
)

// State is what was last said of an id. Of two words the one of the greater version holds; a version is made by one planner's call alone.
type State struct {
	Version uint64
	Held    bool
}

const plannerBits = 6 // of a version, for the planner that made it: fleet.Params allows 64

// nextVersion is a version above another, made by a planner.
func nextVersion(above uint64, planner int) uint64 {
	return (above>>plannerBits+1)<<plannerBits | uint64(planner)
}

// Registers are the latest words that somebody has heard, at most Most of them. The zero value is empty.
type Registers struct{ states map[string]State }

// Get returns the latest word on an id; its zero value where there is none.
func (r *Registers) Get(id string) State { return r.states[id] }

// Merge takes a word in and tells whether it was newer, and held differently from before. A new id beyond the bound is not taken.
func (r *Registers) Merge(id string, state State) (newer, changed bool) {
	old, known := r.states[id]
	if state.Version <= old.Version || !known && len(r.states) >= MaxRegisters {
		return false, false
	}
	if r.states == nil {
		r.states = map[string]State{}
	}
	r.states[id] = state
	return true, old.Held != state.Held
}

// Each calls f for every word, by id.
func (r *Registers) Each(f func(id string, state State)) {
	for _, id := range slices.Sorted(maps.Keys(r.states)) {
		f(id, r.states[id])
	}
}

// Cordoned lists what is held, by id.
func (r *Registers) Cordoned() (ids []string) {
	r.Each(func(id string, state State) {
		if state.Held {
			ids = append(ids, id)
		}
	})
	return ids
}

// Output is what a Caller asks for. It is used while one of its methods runs.
type Output interface {
	ReadRegister(forwarder int, operationID uint64, id string)               // wants the forwarder's word
	WriteRegister(forwarder int, operationID uint64, id string, state State) // wants it merged, and the forwarder's word back
	RegisterChanged(id string, state State)                                  // a newer word was heard, here or there; it holds from now on
}

// Coordinator is a planner's side. It is not safe for concurrent use.
type Coordinator struct {
	planner, majority int
	leaseS            float64
	registers         Registers
	linked            []bool // forwarders that understand holds
	out               Output
	operations        map[uint64]*operation // at most MaxOperations
	lastID            uint64
}

// operation is one operator's call: it reads the latest version at a majority, writes a greater one there, and then waits until every lead that
// began without it has ended.
type operation struct {
	backendID      string
	cordoned       bool
	proposed       State // Version 0: still reading
	highestVersion uint64
	answered       []bool
	answers        int
	effectiveAt    float64 // when it holds everywhere, 0: not known yet
	deadline       float64
	done           func(error)
}

// NewCoordinator returns the side of planner me, with no forwarder linked. settle is for how long a lead may go on without a majority: a lease.
func NewCoordinator(planner, forwarders, majority int, leaseS float64, out Output) *Coordinator {
	return &Coordinator{planner: planner, majority: majority, leaseS: leaseS, linked: make([]bool, forwarders), out: out, operations: map[uint64]*operation{}}
}

// Registers are the latest words heard here.
func (c *Coordinator) Registers() *Registers { return &c.registers }

// LinkUp takes a link to a forwarder that understands holds: it hears all words.
func (c *Coordinator) LinkUp(forwarder int) {
	c.linked[forwarder] = true
	c.registers.Each(func(id string, state State) { c.out.WriteRegister(forwarder, 0, id, state) })
	for _, operationID := range c.operationIDs() {
		c.sendTo(forwarder, operationID)
	}
}

// LinkDown takes the link's end. What it acknowledged counts: the word was taken in, and if it forgets, it has a new life, which promises
// nothing for a lease.
func (c *Coordinator) LinkDown(forwarder int) { c.linked[forwarder] = false }

func (c *Coordinator) operationIDs() []uint64 { return slices.Sorted(maps.Keys(c.operations)) }

func (c *Coordinator) sendTo(forwarder int, operationID uint64) {
	op := c.operations[operationID]
	switch {
	case !c.linked[forwarder] || op.answered[forwarder]:
	case op.proposed.Version == 0:
		c.out.ReadRegister(forwarder, operationID, op.backendID)
	default:
		c.out.WriteRegister(forwarder, operationID, op.backendID, op.proposed)
	}
}

// SetCordoned begins an operator's call, which ends by done: nil once it holds, whichever planner leads. It is not called before Call returns.
func (c *Coordinator) SetCordoned(now, timeoutS float64, id string, cordoned bool, done func(error)) error {
	if len(c.operations) >= MaxOperations || c.registers.Get(id).Version == 0 && len(c.registers.states) >= MaxRegisters {
		return ErrTooMany
	}
	c.lastID++
	c.operations[c.lastID] = &operation{backendID: id, cordoned: cordoned, highestVersion: c.registers.Get(id).Version, answered: make([]bool, len(c.linked)), deadline: now + timeoutS, done: done}
	for forwarder := range c.linked {
		c.sendTo(forwarder, c.lastID)
	}
	return nil
}

// HandleState takes a forwarder's word: the answer to a call, or with call 0 news.
func (c *Coordinator) HandleState(now float64, forwarder int, operationID uint64, id string, state State) {
	c.merge(id, state)
	op := c.operations[operationID]
	if op == nil || op.backendID != id || op.answered[forwarder] || op.effectiveAt > 0 {
		return
	}
	if op.proposed.Version > 0 && state.Version < op.proposed.Version {
		return // an answer to the reading that came late
	}
	op.answered[forwarder] = true
	op.answers++
	op.highestVersion = max(op.highestVersion, state.Version)
	if op.answers < c.majority {
		return
	}
	if op.proposed.Version > 0 {
		op.effectiveAt = now + c.leaseS
		return
	}
	op.proposed, op.answers = State{nextVersion(max(op.highestVersion, c.registers.Get(id).Version), c.planner), op.cordoned}, 0
	clear(op.answered)
	c.merge(id, op.proposed)
	for forwarder := range c.linked {
		c.sendTo(forwarder, operationID)
	}
}

func (c *Coordinator) merge(id string, state State) {
	if newer, _ := c.registers.Merge(id, state); newer {
		c.out.RegisterChanged(id, state)
	}
}

// Tick ends the calls that hold and those whose time is over.
func (c *Coordinator) Tick(now float64) {
	for _, operationID := range c.operationIDs() {
		switch op := c.operations[operationID]; {
		case op.effectiveAt > 0 && now >= op.effectiveAt:
			delete(c.operations, operationID)
			op.done(nil)
		case now >= op.deadline:
			delete(c.operations, operationID)
			op.done(ErrNoMajority)
		}
	}
}
