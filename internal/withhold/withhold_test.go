package withhold

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

// net is planners and forwarders with links in order that are cut at times.
type net struct {
	t        *testing.T
	rng      *rand.Rand
	now      float64
	callers  []*Caller
	words    []Words // of forwarders
	links    [][]bool
	queue    [][][]func() // by planner, forwarder, in order; both ways share a link's fate
	heard    []map[string]bool
	majority int
}

type end struct {
	n *net
	p int
}

func (e end) Ask(f int, call uint64, id string) {
	e.n.post(e.p, f, func() { e.n.answer(e.p, f, call, id) })
}
func (e end) Tell(f int, call uint64, id string, x Word) {
	e.n.post(e.p, f, func() {
		if newer, _ := e.n.words[f].Merge(id, x); newer {
			for p := range e.n.callers { // news goes to every planner that is linked, before anything else that is said to it
				if e.n.links[p][f] {
					e.n.answer(p, f, 0, id)
				}
			}
		}
		e.n.answer(e.p, f, call, id)
	})
}
func (e end) Heard(id string, x Word) { e.n.heard[e.p][id] = x.Held }

func (n *net) answer(p, f int, call uint64, id string) {
	x := n.words[f].Get(id)
	n.post(p, f, func() { n.callers[p].Word(n.now, f, call, id, x) })
}

func (n *net) post(p, f int, do func()) {
	if n.links[p][f] {
		n.queue[p][f] = append(n.queue[p][f], do)
	}
}

func newNet(t *testing.T, seed uint64, planners, forwarders int) *net {
	n := &net{t: t, rng: rand.New(rand.NewPCG(seed, 9)), words: make([]Words, forwarders), majority: forwarders/2 + 1}
	for p := range planners {
		n.callers = append(n.callers, NewCaller(p, forwarders, n.majority, 0.4, end{n, p}))
		n.links, n.queue = append(n.links, make([]bool, forwarders)), append(n.queue, make([][]func(), forwarders))
		n.heard = append(n.heard, map[string]bool{})
	}
	for p := range planners {
		for f := range forwarders {
			n.link(p, f)
		}
	}
	return n
}

func (n *net) link(p, f int) {
	n.links[p][f] = true
	n.callers[p].LinkUp(f)
	n.words[f].Each(func(id string, _ Word) { n.answer(p, f, 0, id) })
}

func (n *net) cut(p, f int) {
	n.links[p][f], n.queue[p][f] = false, nil
	n.callers[p].LinkDown(f)
}

// step delivers something, and time goes on.
func (n *net) step() {
	n.now += 0.001
	p, f := n.rng.IntN(len(n.callers)), n.rng.IntN(len(n.words))
	if q := n.queue[p][f]; len(q) > 0 {
		n.queue[p][f] = q[1:]
		q[0]()
	}
	for _, c := range n.callers {
		c.Tick(n.now)
	}
}

func (n *net) drain() {
	for range 200000 {
		empty := true
		for p := range n.queue {
			for f := range n.queue[p] {
				empty = empty && len(n.queue[p][f]) == 0
			}
		}
		if empty {
			return
		}
		n.step()
	}
	n.t.Fatal("never quiet")
}

// Whatever is cut, once a call has said yes a majority of forwarders has its word or a later one; calls that follow each other have
// versions that follow each other, whichever planners they were made at; and once all is linked, all agree.
func TestYesMeansAMajority(t *testing.T) {
	yes, no := 0, 0
	for seed := range uint64(300) {
		n := newNet(t, seed, 3, 5)
		last := uint64(0)
		for round := range 12 {
			for range n.rng.IntN(6) { // two planners keep their links to a majority at most times
				p, f := n.rng.IntN(3), n.rng.IntN(5)
				if n.links[p][f] && n.rng.IntN(3) > 0 {
					n.cut(p, f)
				} else if !n.links[p][f] {
					n.link(p, f)
				}
			}
			var got error = errors.New("under way")
			over := false
			p, held := n.rng.IntN(3), round%2 == 0
			if err := n.callers[p].Call(n.now, 0.9, "z1", held, func(err error) { got, over = err, true }); err != nil {
				t.Fatal(err)
			}
			for !over {
				n.step()
			}
			if got != nil {
				no++
				continue
			}
			yes++
			know, version := 0, n.callers[p].Words().Get("z1").Version
			for f := range n.words {
				if n.words[f].Get("z1").Version >= version {
					know++
				}
			}
			if know < n.majority || version <= last {
				t.Fatalf("seed %d round %d: %d of 5 forwarders know version %d after %d", seed, round, know, version, last)
			}
			last = version
		}
		for p := range 3 {
			for f := range 5 {
				if !n.links[p][f] {
					n.link(p, f)
				}
			}
		}
		n.drain()
		want := n.words[0].Get("z1")
		for f := range n.words {
			if n.words[f].Get("z1") != want {
				t.Fatalf("seed %d: forwarder %d has %+v, want %+v", seed, f, n.words[f].Get("z1"), want)
			}
		}
		for p, c := range n.callers {
			if c.Words().Get("z1") != want || n.heard[p]["z1"] != want.Held {
				t.Fatalf("seed %d: planner %d has %+v, want %+v", seed, p, c.Words().Get("z1"), want)
			}
		}
	}
	if yes < 500 || no < 100 {
		t.Fatalf("no occasions: %d yes, %d no", yes, no)
	}
}

// A minority is told so, in time, and not left waiting.
func TestWithoutAMajorityTheAnswerIsNo(t *testing.T) {
	n := newNet(t, 1, 1, 5)
	for f := range 3 {
		n.cut(0, f)
	}
	var got error
	if err := n.callers[0].Call(n.now, 0.9, "z1", true, func(err error) { got = err }); err != nil {
		t.Fatal(err)
	}
	for got == nil && n.now < 2 {
		n.step()
	}
	if !errors.Is(got, ErrNoWord) || n.now > 0.95 {
		t.Fatalf("%v at %.3f", got, n.now)
	}
}

// The settling time is part of the yes: a lead that began before may go on for that long.
func TestYesWaitsForOlderLeadsToEnd(t *testing.T) {
	n := newNet(t, 2, 1, 3)
	n.drain()
	began, over := n.now, false
	if err := n.callers[0].Call(n.now, 0.9, "z1", true, func(err error) { over = err == nil }); err != nil {
		t.Fatal(err)
	}
	for !over && n.now < began+2 {
		n.step()
	}
	if n.now < began+0.4 {
		t.Fatalf("yes after %.3f s", n.now-began)
	}
}

func TestBounds(t *testing.T) {
	var w Words
	for i := range Most + 10 {
		w.Merge(fmt.Sprint(i), Word{Version: 1, Held: true})
	}
	if len(w.Held()) != Most {
		t.Errorf("%d words kept", len(w.Held()))
	}
	if newer, changed := w.Merge("3", Word{Version: 2}); !newer || !changed {
		t.Error("a known id was not taken at the bound")
	}
	n := newNet(t, 3, 1, 3)
	for i := range MostCalls {
		if err := n.callers[0].Call(0, 1, fmt.Sprint(i), true, func(error) {}); err != nil {
			t.Fatal(err)
		}
	}
	if err := n.callers[0].Call(0, 1, "one more", true, func(error) {}); !errors.Is(err, ErrMany) {
		t.Errorf("beyond the bound: %v", err)
	}
}
