package cordon

import (
	"errors"
	"maps"
	"slices"
)

// MaxOperations is the maximum number of concurrent calls of one Coordinator.
const MaxOperations = 64

// Errors of a call. Operators receive their texts.
var (
	ErrTooMany = errors.New("too many backends are held, or too many calls are under way")
	// ErrNoMajority means that the outcome of the call is unknown: planners and forwarders may have received its state, which may take effect
	// later or be replaced. Repeating the call resolves this.
	ErrNoMajority     = errors.New("too few forwarders answered in time: outcome unknown, call again")
	ErrUnknownBackend = errors.New("no backend of this id is listed or held") // returned by callers of a Coordinator, which know the list
)

// Output carries out the actions of a Coordinator. The Coordinator calls it only from within its own methods.
type Output interface {
	// ReadRegister requests a register from a forwarder. The answer is passed to HandleState.
	ReadRegister(forwarder int, operationID uint64, id string)
	// WriteRegister asks a forwarder to merge a state. Unless operationID is 0, the resulting state is passed to HandleState.
	WriteRegister(forwarder int, operationID uint64, id string, state State)
	// RegisterChanged notifies the planner of a newer state, which this planner applies from now on. The state of a call that was made at this
	// planner applies here even before a majority has it. It binds the other planners once the call has ended with nil; until then its
	// outcome is unknown.
	RegisterChanged(id string, state State)
}

// Coordinator runs operators' calls at one planner and holds the registers that the planner knows. It is not safe for concurrent use.
type Coordinator struct {
	planner    int     // this planner's number
	majority   int     // number of forwarders in a quorum
	leaseS     float64 // longest time that a planner may go on leading without a majority
	registers  Registers
	linked     []bool // by forwarder: it is linked and supports cordons
	out        Output
	operations map[uint64]*operation // by id, from 1; at most MaxOperations
	lastID     uint64
}

// phase is the current step of an operation.
type phase uint8

const (
	reading             phase = iota // reads the register's version from a majority
	writing                          // writes a state with a greater version to a majority
	awaitingLeaseExpiry              // a majority has the state; planners that led before may go on until their lease ends
)

// operation is one operator's call.
type operation struct {
	backendID      string
	cordoned       bool
	phase          phase
	answered       []bool  // by forwarder: it has answered in this phase
	answers        int     // number of forwarders in answered
	highestVersion uint64  // highest version that was read so far
	proposed       State   // set from the writing phase on
	effectiveAt    float64 // in awaitingLeaseExpiry: when the state binds every planner that can lead
	deadline       float64
	done           func(error)
}

// NewCoordinator returns a planner's Coordinator, with no forwarder linked. leaseS is the fleet's lease time, in seconds.
func NewCoordinator(planner, forwarders, majority int, leaseS float64, out Output) *Coordinator {
	return &Coordinator{planner: planner, majority: majority, leaseS: leaseS, linked: make([]bool, forwarders), out: out,
		operations: map[uint64]*operation{}}
}

// Registers returns the latest states known to this planner. The caller must not change them.
func (c *Coordinator) Registers() *Registers { return &c.registers }

// LinkUp handles a new link to a forwarder that supports cordons: it sends all registers, then the reads and writes of open calls.
func (c *Coordinator) LinkUp(forwarder int) {
	c.linked[forwarder] = true
	c.registers.Each(func(id string, state State) { c.out.WriteRegister(forwarder, 0, id, state) })
	for _, id := range c.operationIDs() {
		c.sendTo(forwarder, id)
	}
}

// LinkDown handles the end of a forwarder's link. The forwarder's earlier answers still count. This is safe even if its process has ended
// and its registers are lost: the process that replaces it grants no promise for one lease.
func (c *Coordinator) LinkDown(forwarder int) { c.linked[forwarder] = false }

func (c *Coordinator) operationIDs() []uint64 { return slices.Sorted(maps.Keys(c.operations)) }

// broadcast sends the read or write of an operation's phase to all linked forwarders.
func (c *Coordinator) broadcast(operationID uint64) {
	for forwarder := range c.linked {
		c.sendTo(forwarder, operationID)
	}
}

// sendTo sends the read or write of an operation's phase to a forwarder, unless it has answered or is not linked.
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

// SetCordoned starts a call that cordons or uncordons a backend. A later Tick calls done, within timeoutS seconds and one tick interval:
// with nil once the state binds every planner that can lead, otherwise with ErrNoMajority. If SetCordoned returns ErrTooMany, done is not
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

// HandleState handles a register's state from a forwarder: the answer to an operation, or with operationID 0 a change.
func (c *Coordinator) HandleState(now float64, forwarder int, operationID uint64, backendID string, state State) {
	c.merge(backendID, state)
	op := c.operations[operationID]
	if op == nil || op.backendID != backendID || op.phase == awaitingLeaseExpiry || op.answered[forwarder] {
		return
	}
	if op.phase == writing && state.Version < op.proposed.Version {
		return // late answer to the read
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
		op.phase, op.effectiveAt = awaitingLeaseExpiry, now+c.leaseS
	}
}

// startWriting proposes a state with a version greater than all that a majority knows. This planner applies the state at once, so that it
// sends nothing to a backend that is being cordoned. If the call ends with ErrNoMajority, the state still applies here, and its outcome
// elsewhere is unknown.
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

// Tick ends the calls that have taken effect and those that have timed out.
func (c *Coordinator) Tick(now float64) {
	for _, id := range c.operationIDs() {
		switch op := c.operations[id]; {
		case op.phase == awaitingLeaseExpiry && now >= op.effectiveAt:
			delete(c.operations, id)
			op.done(nil)
		case now >= op.deadline:
			delete(c.operations, id)
			op.done(ErrNoMajority)
		}
	}
}
