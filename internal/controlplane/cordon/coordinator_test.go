package cordon

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

// testNetwork connects planners and forwarders by ordered links that tests can cut.
type testNetwork struct {
	t            *testing.T
	rng          *rand.Rand
	now          float64
	coordinators []*Coordinator
	registers    []Registers       // by forwarder
	links        [][]bool          // by planner, forwarder: the link is up
	queue        [][][]func()      // by planner, forwarder: messages in order, both directions together; dropped when the link is cut
	cordoned     []map[string]bool // by planner: the state that RegisterChanged reported last
	majority     int
}

type plannerEnd struct {
	network *testNetwork
	planner int
}

func (e plannerEnd) ReadRegister(forwarder int, operationID uint64, id string) {
	e.network.post(e.planner, forwarder, func() { e.network.answer(e.planner, forwarder, operationID, id) })
}
func (e plannerEnd) WriteRegister(forwarder int, operationID uint64, id string, state State) {
	e.network.post(e.planner, forwarder, func() {
		if newer, _ := e.network.registers[forwarder].Merge(id, state); newer {
			for planner := range e.network.coordinators { // a change is sent to every linked planner, ahead of all later messages to it
				if e.network.links[planner][forwarder] {
					e.network.answer(planner, forwarder, 0, id)
				}
			}
		}
		e.network.answer(e.planner, forwarder, operationID, id)
	})
}
func (e plannerEnd) RegisterChanged(id string, state State) {
	e.network.cordoned[e.planner][id] = state.Cordoned
}

func (n *testNetwork) answer(planner, forwarder int, operationID uint64, id string) {
	state := n.registers[forwarder].Get(id)
	n.post(planner, forwarder, func() { n.coordinators[planner].HandleState(n.now, forwarder, operationID, id, state) })
}

func (n *testNetwork) post(planner, forwarder int, do func()) {
	if n.links[planner][forwarder] {
		n.queue[planner][forwarder] = append(n.queue[planner][forwarder], do)
	}
}

func newTestNetwork(t *testing.T, seed uint64, planners, forwarders int) *testNetwork {
	n := &testNetwork{t: t, rng: rand.New(rand.NewPCG(seed, 9)), registers: make([]Registers, forwarders), majority: forwarders/2 + 1}
	for planner := range planners {
		n.coordinators = append(n.coordinators, NewCoordinator(planner, forwarders, n.majority, 0.4, plannerEnd{n, planner}))
		n.links, n.queue = append(n.links, make([]bool, forwarders)), append(n.queue, make([][]func(), forwarders))
		n.cordoned = append(n.cordoned, map[string]bool{})
	}
	for planner := range planners {
		for forwarder := range forwarders {
			n.link(planner, forwarder)
		}
	}
	return n
}

func (n *testNetwork) link(planner, forwarder int) {
	n.links[planner][forwarder] = true
	n.coordinators[planner].LinkUp(forwarder)
	n.registers[forwarder].Each(func(id string, _ State) { n.answer(planner, forwarder, 0, id) })
}

func (n *testNetwork) cut(planner, forwarder int) {
	n.links[planner][forwarder], n.queue[planner][forwarder] = false, nil
	n.coordinators[planner].LinkDown(forwarder)
}

// step advances the time by 1 ms, delivers one message of a random link, and calls Tick on all coordinators.
func (n *testNetwork) step() {
	n.now += 0.001
	planner, forwarder := n.rng.IntN(len(n.coordinators)), n.rng.IntN(len(n.registers))
	if q := n.queue[planner][forwarder]; len(q) > 0 {
		n.queue[planner][forwarder] = q[1:]
		q[0]()
	}
	for _, c := range n.coordinators {
		c.Tick(n.now)
	}
}

func (n *testNetwork) deliverAll() {
	for range 200000 {
		empty := true
		for planner := range n.queue {
			for forwarder := range n.queue[planner] {
				empty = empty && len(n.queue[planner][forwarder]) == 0
			}
		}
		if empty {
			return
		}
		n.step()
	}
	n.t.Fatal("messages are still queued after 200000 steps, want none")
}

// Guards against the loss of a confirmed cordon while links break at random. Once a call has succeeded, a majority of forwarders has its
// state or a later one; versions of successive calls increase, even across planners; once all links are up, all states agree.
func TestCoordinator_SuccessMeansAMajority(t *testing.T) {
	succeeded, failed := 0, 0
	for seed := range uint64(300) {
		n := newTestNetwork(t, seed, 3, 5)
		last := uint64(0)
		for round := range 12 {
			for range n.rng.IntN(6) { // most of the time, two planners stay linked to a majority
				planner, forwarder := n.rng.IntN(3), n.rng.IntN(5)
				if n.links[planner][forwarder] && n.rng.IntN(3) > 0 {
					n.cut(planner, forwarder)
				} else if !n.links[planner][forwarder] {
					n.link(planner, forwarder)
				}
			}
			got := errors.New("under way")
			ended := false
			planner, cordoned := n.rng.IntN(3), round%2 == 0
			if err := n.coordinators[planner].SetCordoned(n.now, 0.9, "z1", cordoned, func(err error) { got, ended = err, true }); err != nil {
				t.Fatal(err)
			}
			for !ended {
				n.step()
			}
			if got != nil {
				failed++
				continue
			}
			succeeded++
			holders, version := 0, n.coordinators[planner].Registers().Get("z1").Version
			for forwarder := range n.registers {
				if n.registers[forwarder].Get("z1").Version >= version {
					holders++
				}
			}
			if holders < n.majority || version <= last {
				t.Fatalf("seed %d round %d: %d of 5 forwarders have version %d, want at least %d and a version above %d", seed, round, holders, version, n.majority, last)
			}
			last = version
		}
		for planner := range 3 {
			for forwarder := range 5 {
				if !n.links[planner][forwarder] {
					n.link(planner, forwarder)
				}
			}
		}
		n.deliverAll()
		want := n.registers[0].Get("z1")
		for forwarder := range n.registers {
			if n.registers[forwarder].Get("z1") != want {
				t.Fatalf("seed %d: forwarder %d has state %+v, want %+v", seed, forwarder, n.registers[forwarder].Get("z1"), want)
			}
		}
		for planner, c := range n.coordinators {
			if c.Registers().Get("z1") != want || n.cordoned[planner]["z1"] != want.Cordoned {
				t.Fatalf("seed %d: planner %d has state %+v and reported cordoned %v, want %+v", seed, planner, c.Registers().Get("z1"), n.cordoned[planner]["z1"], want)
			}
		}
	}
	if succeeded < 500 || failed < 100 {
		t.Fatalf("%d calls succeeded and %d failed, want at least 500 and 100", succeeded, failed)
	}
}

// Guards against a call that never ends: without a majority, it fails with ErrNoMajority within its timeout of 0.9 s.
func TestCoordinator_NoMajority(t *testing.T) {
	n := newTestNetwork(t, 1, 1, 5)
	for forwarder := range 3 {
		n.cut(0, forwarder)
	}
	var got error
	if err := n.coordinators[0].SetCordoned(n.now, 0.9, "z1", true, func(err error) { got = err }); err != nil {
		t.Fatal(err)
	}
	for got == nil && n.now < 2 {
		n.step()
	}
	if !errors.Is(got, ErrNoMajority) || n.now > 0.95 {
		t.Fatalf("call ended with %v at %.3f s, want ErrNoMajority by 0.95 s", got, n.now)
	}
}

// Guards against an early success: a planner that led before the call may go on for one lease (0.4 s), so the call succeeds only after
// that.
func TestCoordinator_WaitsForOldLeasesToExpire(t *testing.T) {
	n := newTestNetwork(t, 2, 1, 3)
	n.deliverAll()
	startedAt, succeeded := n.now, false
	if err := n.coordinators[0].SetCordoned(n.now, 0.9, "z1", true, func(err error) { succeeded = err == nil }); err != nil {
		t.Fatal(err)
	}
	for !succeeded && n.now < startedAt+2 {
		n.step()
	}
	if n.now < startedAt+0.4 {
		t.Fatalf("the call ended after %.3f s, want at least 0.4 s", n.now-startedAt)
	}
}

// Guards the limits: further ids and calls are rejected, and known ids are still updated.
func TestCoordinator_Bounds(t *testing.T) {
	var registers Registers
	for i := range MaxRegisters + 10 {
		registers.Merge(fmt.Sprint(i), State{Version: 1, Cordoned: true})
	}
	if len(registers.Cordoned()) != MaxRegisters {
		t.Errorf("%d registers are stored, want %d", len(registers.Cordoned()), MaxRegisters)
	}
	if newer, changed := registers.Merge("3", State{Version: 2}); !newer || !changed {
		t.Errorf("update of a known id at the limit: newer %v, changed %v, want true, true", newer, changed)
	}
	n := newTestNetwork(t, 3, 1, 3)
	for i := range MaxOperations {
		if err := n.coordinators[0].SetCordoned(0, 1, fmt.Sprint(i), true, func(error) {}); err != nil {
			t.Fatal(err)
		}
	}
	if err := n.coordinators[0].SetCordoned(0, 1, "one more", true, func(error) {}); !errors.Is(err, ErrTooMany) {
		t.Errorf("call beyond MaxOperations: got error %v, want ErrTooMany", err)
	}
}
