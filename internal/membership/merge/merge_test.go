package merge

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func newTestMerger(known ...Node) *Merger {
	return NewMerger(Config{StaleAfterS: map[string]float64{"etcd": 1, "roster": 5}, OrphanAfterS: 10, FlapWindowS: 60, MaxFlapDelayS: 30}, 100, known)
}

func node(id string, started int64, state State) Node {
	return Node{Identity: Identity{id, "127.0.0.1:" + id, started}, State: state}
}

// describe words the list as "id state start", by id.
func describe(m *Merger) string {
	var list []string
	for _, e := range m.Entries() {
		list = append(list, fmt.Sprintf("%s %s %d", e.ID, e.State, e.StartedMS))
	}
	return strings.Join(list, ", ")
}

// Guards the numbers of states in agents' state files.
func TestState_StoredNumbers(t *testing.T) {
	for state, name := range []string{"up", "draining", "gone"} {
		if got := State(state).String(); got != name {
			t.Errorf("state %d is %s, want %s", state, got, name)
		}
	}
}

// Guards the rules one by one: each line takes a step and says what stands then.
func TestMerger_Rules(t *testing.T) {
	mark := func(id string, s State) Node { return Node{Identity: Identity{ID: id}, State: s} }
	one := func(s State) []Node { return []Node{node("1", 0, s)} }
	type step struct {
		do   func(m *Merger)
		want string
	}
	whole := func(at float64, src string, n ...Node) func(*Merger) {
		return func(m *Merger) { m.ReplaceAll(at, src, n) }
	}
	change := func(at float64, src string, n ...Node) func(*Merger) { return func(m *Merger) { m.Update(at, src, n) } }
	tick := func(at float64) func(*Merger) { return func(m *Merger) { m.Tick(at) } }
	resumed := func(at float64, src string) func(*Merger) { return func(m *Merger) { m.MarkResumed(at, src) } }
	broken := func(at float64, src string) func(*Merger) { return func(m *Merger) { m.MarkInterrupted(at, src) } }
	for name, steps := range map[string][]step{
		"the stricter word wins": {
			{whole(100, "etcd", one(Up)...), "1 up 0"},
			{whole(100, "roster", one(Draining)...), "1 draining 0"},
			{change(101, "etcd", one(Up)...), "1 draining 0"},
			{change(101, "roster", one(Up)...), "1 up 0"},
			{change(102, "etcd", Node{Identity: Identity{ID: "1"}, State: Removed}), ""},
			{change(103, "roster", one(Up)...), ""},
		},
		"a stale source takes out, and brings nothing in or back": {
			{whole(100, "roster", one(Up)...), "1 up 0"},
			{whole(100, "etcd", one(Up)...), "1 up 0"},
			{broken(100.5, "etcd"), "1 up 0"},
			{change(101, "etcd", node("2", 0, Up)), "1 up 0"},
			{change(101, "etcd", one(Draining)...), "1 draining 0"},
			{change(101, "etcd", one(Up)...), "1 draining 0"},
			{resumed(101, "etcd"), "1 up 0, 2 up 0"}, // it had no gap after all
			{broken(101.1, "etcd"), "1 up 0, 2 up 0"},
			{change(101.2, "etcd", one(Draining)...), "1 draining 0, 2 up 0"},
			{whole(102, "etcd", node("1", 0, Up), node("2", 0, Up)), "1 draining 0, 2 up 0"}, // its second return waits
			{tick(102.3), "1 up 0, 2 up 0"},
		},
		"marks on an id alone": {
			{whole(100, "roster", one(Up)...), "1 up 0"},
			{whole(100, "etcd", mark("1", Draining)), "1 draining 0"},
			{whole(100.1, "etcd"), "1 up 0"}, // taken back, which is not gone
			{change(100.2, "etcd", one(Up)...), "1 up 0"},
			{change(100.3, "etcd", one(Draining)...), "1 draining 0"},
			{change(100.4, "etcd", mark("1", Removed)), ""}, // the node is deleted, the mark stands
			{change(100.5, "etcd", mark("1", Up)), ""},      // the mark is taken back, the node is deleted still
			{whole(100.6, "etcd", mark("1", Draining)), ""},
			{whole(100.7, "etcd"), ""},
			{change(100.8, "etcd", Node{Identity: Identity{"1", "127.0.0.1:1", 9}, State: Up}), "1 up 9"},
			{change(100.9, "etcd", mark("1", Draining)), "1 draining 9"},
			{change(101, "etcd", Node{Identity: Identity{"1", "127.0.0.1:1", 10}, State: Up}), "1 up 10"},
		},
		"a stale source's marks": {
			{whole(100, "roster", node("1", 0, Up), node("2", 0, Up)), "1 up 0, 2 up 0"},
			{whole(100, "etcd", mark("1", Draining)), "1 draining 0, 2 up 0"},
			{broken(100.1, "etcd"), "1 draining 0, 2 up 0"},
			{change(100.2, "etcd", mark("1", Up), mark("2", Draining)), "1 draining 0, 2 draining 0"},
			{resumed(100.3, "etcd"), "1 up 0, 2 draining 0"},
		},
		"silence makes stale": {
			{whole(100, "etcd", one(Up)...), "1 up 0"},
			{tick(100.9), "1 up 0"},
			{tick(101.1), "1 up 0"},
			{change(101.2, "etcd", node("2", 0, Up)), "1 up 0"},
			{resumed(101.3, "etcd"), "1 up 0, 2 up 0"},
			{broken(101.35, "etcd"), "1 up 0, 2 up 0"},
			{whole(101.4, "etcd", node("2", 0, Up)), "2 up 0"}, // what vanished in the gap goes
		},
		"progress keeps current": {
			{whole(100, "etcd", one(Up)...), "1 up 0"},
			{func(m *Merger) { m.MarkResumed(100.9, "etcd") }, "1 up 0"},
			{tick(101.8), "1 up 0"},
			{change(101.85, "etcd", node("2", 0, Up)), "1 up 0, 2 up 0"},
		},
		"starts and addresses tell nodes apart": {
			{whole(100, "etcd", node("1", 50, Draining)), "1 draining 50"},
			{whole(100, "roster", node("1", 60, Up)), "1 up 60"}, // started anew: the old word is not on it
			{change(100.1, "etcd", node("1", 50, Draining)), "1 up 60"},
			{change(100.2, "etcd", node("1", 60, Draining)), "1 draining 60"},
			{change(100.3, "roster", Node{Identity: Identity{"1", "127.0.0.1:9", 70}, State: Up}), "1 up 70"},
		},
		"a node that no current source knows": {
			{whole(100, "roster", one(Up)...), "1 up 0"},
			{tick(120), "1 up 0"}, // all are stale: what is known stays
			{whole(120, "etcd", node("2", 0, Up)), "1 up 0, 2 up 0"},
			{func(m *Merger) {
				for at := 120.5; at < 131; at += 0.5 {
					m.MarkResumed(at, "etcd")
					m.Tick(at)
				}
			}, "1 draining 0, 2 up 0"},
			{whole(132, "roster", one(Up)...), "1 up 0, 2 up 0"},
		},
		"flapping": {
			{whole(100, "etcd", one(Up)...), "1 up 0"},
			{change(100.1, "etcd", one(Draining)...), "1 draining 0"},
			{change(100.2, "etcd", one(Up)...), "1 up 0"}, // once is none
			{change(100.3, "etcd", one(Draining)...), "1 draining 0"},
			{change(100.4, "etcd", one(Up)...), "1 draining 0"},
			{tick(101.2), "1 draining 0"},
			{func(m *Merger) { m.MarkResumed(101.25, "etcd"); m.Tick(101.4) }, "1 up 0"},
			{change(101.5, "etcd", one(Draining)...), "1 draining 0"},
			{func(m *Merger) { m.Update(101.6, "etcd", one(Up)); m.MarkResumed(102.5, "etcd"); m.Tick(103.4) }, "1 draining 0"},
			{func(m *Merger) { m.MarkResumed(103.45, "etcd"); m.Tick(103.6) }, "1 up 0"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMerger()
			if strings.Contains(name, "marks") {
				m.cfg.FlapWindowS = 0 // not what these are about
			}
			for i, s := range steps {
				s.do(m)
				if got := describe(m); got != s.want {
					t.Fatalf("step %d: %q, want %q", i, got, s.want)
				}
			}
		})
	}
	m := newTestMerger(node("k", 0, Up))
	if m.Tick(1000); describe(m) != "k up 0" {
		t.Errorf("what is known stays while no source is current: %q", describe(m))
	}
}

// Guards the invariant at each step of random sequences: no node is up against any source's strict word, and none comes
// in or back but by a current source's word.
func TestMerger_NoNewWorkOnStaleOrStricterReport(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := newTestMerger(node("0", 0, Up))
		now := 100.0
		type oracle struct {
			current bool
			heard   float64
			words   map[string]Node
			pending map[string]Node
			read    bool
		}
		src := map[string]*oracle{"etcd": {words: map[string]Node{}, pending: map[string]Node{}}, "roster": {words: map[string]Node{}, pending: map[string]Node{}}}
		stale := map[string]float64{"etcd": 1, "roster": 5}
		was := map[string]Entry{"0": {Node: node("0", 0, Up)}}
		for step := range 300 {
			now += rng.ExpFloat64() * 0.3
			name := []string{"etcd", "roster"}[rng.IntN(2)]
			o := src[name]
			draw := func() Node {
				n := node(fmt.Sprint(rng.IntN(4)), int64(rng.IntN(3))*10, State(rng.IntN(3)))
				if rng.IntN(8) == 0 {
					n.Addr = "127.0.0.1:99"
				}
				return n
			}
			switch rng.IntN(7) {
			case 0:
				var list []Node
				seen := map[string]bool{}
				for range rng.IntN(5) {
					if n := draw(); !seen[n.ID] && n.State != Removed {
						seen[n.ID] = true
						list = append(list, n)
					}
				}
				for id, report := range o.words {
					if !seen[id] {
						report.State = Removed
						o.words[id] = report
					}
				}
				for _, n := range list {
					o.words[n.ID] = n
				}
				o.current, o.read, o.heard = true, true, now
				clear(o.pending)
				m.ReplaceAll(now, name, list)
			case 1, 2, 3:
				n := draw()
				if report, ok := o.words[n.ID]; !ok || o.current || n.State >= report.State || !sameNode(report.Identity, n.Identity) {
					o.words[n.ID] = n
					delete(o.pending, n.ID)
				} else {
					o.pending[n.ID] = n
				}
				if o.current {
					o.heard = now
				}
				m.Update(now, name, []Node{n})
			case 4:
				o.current = false
				m.MarkInterrupted(now, name)
			case 6:
				if o.read {
					o.current, o.heard = true, now
					for id, n := range o.pending {
						o.words[id] = n
					}
					clear(o.pending)
				}
				m.MarkResumed(now, name)
			case 5:
				for name, o := range src {
					if o.current && now > o.heard+stale[name] {
						o.current = false
					}
				}
				m.Tick(now)
				for name, o := range src { // what went everywhere is forgotten, and nothing else
					for id, report := range o.words {
						if _, kept := m.sources[name].reports[id]; kept {
							continue
						}
						for other, p := range src {
							if v, ok := p.words[id]; ok && v.State != Removed {
								t.Fatalf("seed %d step %d: %s forgets %v of %s while %s lists it", seed, step, name, report, id, other)
							}
						}
						delete(o.words, id)
					}
				}
			}
			next := map[string]Entry{}
			for _, e := range m.Entries() {
				next[e.ID] = e
				if e.State != Up {
					continue
				}
				byCurrent := false
				for name, o := range src {
					report, ok := o.words[e.ID]
					if !ok || !sameNode(report.Identity, e.Identity) {
						continue
					}
					if report.State != Up {
						t.Fatalf("seed %d step %d: %s is up, but %s by %s (%s)", seed, step, e.ID, report.State, name, e.Reason)
					}
					byCurrent = byCurrent || o.current
				}
				if old, ok := was[e.ID]; (!ok || old.State != Up || old.Identity != e.Identity) && !byCurrent {
					t.Fatalf("seed %d step %d: %s came in by no current source (%s)", seed, step, e.ID, e.Reason)
				}
			}
			was = next
		}
	}
}

// Guards against lists that grow for ever under ids that are ever new.
func TestMerger_ForgetsRemovedNodes(t *testing.T) {
	m := newTestMerger()
	now := 100.0
	for i := range 2000 {
		now += 0.2
		m.ReplaceAll(now, "etcd", []Node{node(fmt.Sprint(i), 0, Up)})
		m.Tick(now)
	}
	if n, w := len(m.entries), len(m.sources["etcd"].reports); n > 400 || w > 400 {
		t.Errorf("%d nodes, %d words are kept", n, w)
	}
}

// Guards the word gone against a source that is late: it holds for a minute however short the time of flapping is.
func TestMerger_RemovalOutlivesLateSource(t *testing.T) {
	m := NewMerger(Config{StaleAfterS: map[string]float64{"etcd": 100, "roster": 100}, OrphanAfterS: 100, FlapWindowS: 0.001, MaxFlapDelayS: 0.001}, 0, nil)
	n := Node{Identity: Identity{ID: "z", Addr: "127.0.0.1:1", StartedMS: 5}}
	m.ReplaceAll(1, "roster", nil)
	m.ReplaceAll(1, "etcd", []Node{n})
	n.State = Removed
	m.Update(2, "etcd", []Node{n})
	for at := 3.0; at < 50; at++ {
		m.Tick(at)
	}
	n.State = Up
	if got := m.Update(50, "roster", []Node{n}); len(got) != 0 || len(m.Entries()) != 0 {
		t.Errorf("a late word brings it in: %+v", got)
	}
	for at := 51.0; at < 70; at++ {
		m.Tick(at)
	}
	n.StartedMS = 6 // another life is another node
	if got := m.Update(70, "roster", []Node{n}); len(got) != 1 || got[0].State != Up {
		t.Errorf("the next life: %+v", got)
	}
}
