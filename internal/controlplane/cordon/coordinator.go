package cordon

import (
	"errors"
	"maps"
	"slices"
)

// MaxOperations bounds the calls of one Coordinator that are under way together.
const MaxOperations = 64

// Errors of a call.
var (
	ErrTooMany = errors.New("too many backends are held, or too many calls are under way")
	// ErrNoMajority leaves the call's outcome unknown: its state may have reached planners and forwarders, and may bind later or be replaced.
	// The same call, made again, settles it.
	ErrNoMajority     = errors.New("too few forwarders answered in time: outcome unknown, call again")
	ErrUnknownBackend = errors.New("no backend of this id is listed or held") // returned by callers of a Coordinator, which know the list
)

// Output carries out what a Coordinator asks for. It is called only while one of its methods runs.
type Output interface {
	// ReadRegister asks a forwarder for a register; the answer goes to HandleState.
	ReadRegister(forwarder int, operationID uint64, id string)
	// WriteRegister asks a forwarder to merge a state. Unless operationID is 0, the register's state then goes to HandleState.
	WriteRegister(forwarder int, operationID uint64, id string, state State)
	// RegisterChanged notifies the planner of a newer state, which binds this planner from now on: with a call of its own even before a
	// majority has the state. Other planners are bound once the call has ended with nil; until then its outcome is unknown.
	RegisterChanged(id string, state State)
}

// Coordinator is a planner's side. It is not safe for concurrent use.
type Coordinator struct {
	planner    int
	majority   int     // of the forwarders
	leaseS     float64 // for which a lead may go on without a majority
	registers  Registers
	linked     []bool // by forwarder: it is linked and knows cordons
	out        Output
	operations map[uint64]*operation // by id, from 1; at most MaxOperations
	lastID     uint64
}

// phase is how far an operation has come.
type phase uint8

const (
	reading  phase = iota // a majority is asked for the register's version
	writing               // a majority is asked to merge a greater one
	awaiting              // a majority has it; leads that began before may go on until their lease ends
)

// operation is one operator's call.
type operation struct {
	backendID      string
	cordoned       bool
	phase          phase
	answered       []bool  // by forwarder: in this phase
	answers        int     // in this phase
	highestVersion uint64  // read so far
	proposed       State   // from writing on
	effectiveAt    float64 // in awaiting: when the call holds whichever planner leads
	deadline       float64
	done           func(error)
}

// NewCoordinator returns the side of a planner with no forwarder linked. leaseS is the fleet's lease time, in seconds.
func NewCoordinator(planner, forwarders, majority int, leaseS float64, out Output) *Coordinator {
	return &Coordinator{planner: planner, majority: majority, leaseS: leaseS, linked: make([]bool, forwarders), out: out,
		operations: map[uint64]*operation{}}
}

// Registers returns the latest states known to this planner. The caller must not change them.
func (c *Coordinator) Registers() *Registers { return &c.registers }

// LinkUp handles a new link to a forwarder that knows cordons: it sends all registers, and the requests of calls under way.
func (c *Coordinator) LinkUp(forwarder int) {
	c.linked[forwarder] = true
	c.registers.Each(func(id string, state State) { c.out.WriteRegister(forwarder, 0, id, state) })
	for _, id := range c.operationIDs() {
		c.sendTo(forwarder, id)
	}
}

// LinkDown handles the end of a link. What the forwarder has acknowledged still counts: if its process ends, the next one promises nothing
// for a lease.
func (c *Coordinator) LinkDown(forwarder int) { c.linked[forwarder] = false }

func (c *Coordinator) operationIDs() []uint64 { return slices.Sorted(maps.Keys(c.operations)) }

// broadcast asks all forwarders for an operation's phase.
func (c *Coordinator) broadcast(operationID uint64) {
	for forwarder := range c.linked {
		c.sendTo(forwarder, operationID)
	}
}

// sendTo asks a forwarder for an operation's phase, unless it has answered.
func (c *Coordinator) sendTo(forwarder int, operationID uint64) {
	op := c.operations[operationID]
	switch {
	case !c.linked[forwarder] || op.answered[forwarder]:
	case op.phase == reading:
		c.out.ReadRegister(forwarder, operationID, op.backendID)
	default:
		c.out.WriteRegister(forwarder, operationID, op.backendID, op.proposed)
	}
}

// SetCordoned starts a call that cordons or uncordons a backend. done is called by a later method, within timeoutS seconds and one tick:
// with nil once the call holds whichever planner leads, else with ErrNoMajority. If SetCordoned itself returns ErrTooMany, done is not
// called.
func (c *Coordinator) SetCordoned(now, timeoutS float64, backendID string, cordoned bool, done func(error)) error {
	known := c.registers.Get(backendID)
	if len(c.operations) >= MaxOperations || known.Version == 0 && c.registers.full() {
		return ErrTooMany
	}
	c.lastID++
	c.operations[c.lastID] = &operation{backendID: backendID, cordoned: cordoned, highestVersion: known.Version,
		answered: make([]bool, len(c.linked)), deadline: now + timeoutS, done: done}
	c.broadcast(c.lastID)
	return nil
}

// HandleState handles a register's state from a forwarder: the answer to an operation, or with operation 0 a change.
func (c *Coordinator) HandleState(now float64, forwarder int, operationID uint64, backendID string, state State) {
	c.merge(backendID, state)
	op := c.operations[operationID]
	if op == nil || op.backendID != backendID || op.phase == awaiting || op.answered[forwarder] {
		return
	}
	if op.phase == writing && state.Version < op.proposed.Version {
		return // a late answer to the read
	}
	op.answered[forwarder] = true
	op.answers++
	op.highestVersion = max(op.highestVersion, state.Version)
	if op.answers < c.majority {
		return
	}
	if op.phase == reading {
		c.startWriting(operationID, op)
	} else {
		op.phase, op.effectiveAt = awaiting, now+c.leaseS
	}
}

// startWriting proposes a version above all that a majority knows. It binds this planner at once, so that nothing is sent to a backend that is
// being cordoned; if the call then ends with ErrNoMajority, that stays so and its outcome elsewhere is unknown.
func (c *Coordinator) startWriting(operationID uint64, op *operation) {
	highest := max(op.highestVersion, c.registers.Get(op.backendID).Version)
	op.phase, op.proposed = writing, State{Version: nextVersion(highest, c.planner), Cordoned: op.cordoned}
	op.answers = 0
	clear(op.answered)
	c.merge(op.backendID, op.proposed)
	c.broadcast(operationID)
}

func (c *Coordinator) merge(id string, state State) {
	if newer, _ := c.registers.Merge(id, state); newer {
		c.out.RegisterChanged(id, state)
	}
}

// Tick ends the calls that have become effective, and those whose time is over.
func (c *Coordinator) Tick(now float64) {
	for _, id := range c.operationIDs() {
		switch op := c.operations[id]; {
		case op.phase == awaiting && now >= op.effectiveAt:
			delete(c.operations, id)
			op.done(nil)
		case now >= op.deadline:
			delete(c.operations, id)
			op.done(ErrNoMajority)
		}
	}
}
