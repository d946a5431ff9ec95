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

// describe formats the merged list as "id state start", sorted by ID.
func describe(m *Merger) string {
	var list []string
	for _, e := range m.Entries() {
		list = append(list, fmt.Sprintf("%s %s %d", e.ID, e.State, e.StartedMS))
	}
	return strings.Join(list, ", ")
}

// Guards the state values that agents store in their state files: a changed number would misread the files of earlier versions.
func TestState_StoredNumbers(t *testing.T) {
	for state, name := range []string{"up", "draining", "gone"} {
		if got := State(state).String(); got != name {
			t.Errorf("state %d is %q, want %q", state, got, name)
		}
	}
}

// Guards the merge rules one by one: each step applies one event and states the expected list.
func TestMerger_Rules(t *testing.T) {
	mark := func(id string, s State) Node { return Node{Identity: Identity{ID: id}, State: s} }
	one := func(s State) []Node { return []Node{node("1", 0, s)} }
	type step struct {
		do   func(m *Merger)
		want string
	}
	replaceAll := func(at float64, src string, n ...Node) func(*Merger) {
		return func(m *Merger) { m.ReplaceAll(at, src, n) }
	}
	update := func(at float64, src string, n ...Node) func(*Merger) { return func(m *Merger) { m.Update(at, src, n) } }
	tick := func(at float64) func(*Merger) { return func(m *Merger) { m.Tick(at) } }
	resumed := func(at float64, src string) func(*Merger) { return func(m *Merger) { m.MarkResumed(at, src) } }
	interrupted := func(at float64, src string) func(*Merger) { return func(m *Merger) { m.MarkInterrupted(at, src) } }
	for name, steps := range map[string][]step{
		"the stricter report wins": {
			{replaceAll(100, "etcd", one(Up)...), "1 up 0"},
			{replaceAll(100, "roster", one(Draining)...), "1 draining 0"},
			{update(101, "etcd", one(Up)...), "1 draining 0"},
			{update(101, "roster", one(Up)...), "1 up 0"},
			{update(102, "etcd", Node{Identity: Identity{ID: "1"}, State: Removed}), ""},
			{update(103, "roster", one(Up)...), ""},
		},
		"a stale source removes and drains, but neither adds nor relaxes": {
			{replaceAll(100, "roster", one(Up)...), "1 up 0"},
			{replaceAll(100, "etcd", one(Up)...), "1 up 0"},
			{interrupted(100.5, "etcd"), "1 up 0"},
			{update(101, "etcd", node("2", 0, Up)), "1 up 0"},
			{update(101, "etcd", one(Draining)...), "1 draining 0"},
			{update(101, "etcd", one(Up)...), "1 draining 0"},
			{resumed(101, "etcd"), "1 up 0, 2 up 0"}, // the watch resumed without a gap
			{interrupted(101.1, "etcd"), "1 up 0, 2 up 0"},
			{update(101.2, "etcd", one(Draining)...), "1 draining 0, 2 up 0"},
			{replaceAll(102, "etcd", node("1", 0, Up), node("2", 0, Up)), "1 draining 0, 2 up 0"}, // the second return is delayed
			{tick(102.3), "1 up 0, 2 up 0"},
		},
		"drain marks on an ID": {
			{replaceAll(100, "roster", one(Up)...), "1 up 0"},
			{replaceAll(100, "etcd", mark("1", Draining)), "1 draining 0"},
			{replaceAll(100.1, "etcd"), "1 up 0"}, // the mark is removed, the node is not
			{update(100.2, "etcd", one(Up)...), "1 up 0"},
			{update(100.3, "etcd", one(Draining)...), "1 draining 0"},
			{update(100.4, "etcd", mark("1", Removed)), ""}, // the node is deleted, the mark stays
			{update(100.5, "etcd", mark("1", Up)), ""},      // the mark is removed, the node stays deleted
			{replaceAll(100.6, "etcd", mark("1", Draining)), ""},
			{replaceAll(100.7, "etcd"), ""},
			{update(100.8, "etcd", Node{Identity: Identity{"1", "127.0.0.1:1", 9}, State: Up}), "1 up 9"},
			{update(100.9, "etcd", mark("1", Draining)), "1 draining 9"},
			{update(101, "etcd", Node{Identity: Identity{"1", "127.0.0.1:1", 10}, State: Up}), "1 up 10"},
		},
		"drain marks of a stale source": {
			{replaceAll(100, "roster", node("1", 0, Up), node("2", 0, Up)), "1 up 0, 2 up 0"},
			{replaceAll(100, "etcd", mark("1", Draining)), "1 draining 0, 2 up 0"},
			{interrupted(100.1, "etcd"), "1 draining 0, 2 up 0"},
			{update(100.2, "etcd", mark("1", Up), mark("2", Draining)), "1 draining 0, 2 draining 0"},
			{resumed(100.3, "etcd"), "1 up 0, 2 draining 0"},
		},
		"a silent source becomes stale": {
			{replaceAll(100, "etcd", one(Up)...), "1 up 0"},
			{tick(100.9), "1 up 0"},
			{tick(101.1), "1 up 0"},
			{update(101.2, "etcd", node("2", 0, Up)), "1 up 0"},
			{resumed(101.3, "etcd"), "1 up 0, 2 up 0"},
			{interrupted(101.35, "etcd"), "1 up 0, 2 up 0"},
			{replaceAll(101.4, "etcd", node("2", 0, Up)), "2 up 0"}, // node 1 was deleted during the gap
		},
		"progress keeps a source current": {
			{replaceAll(100, "etcd", one(Up)...), "1 up 0"},
			{func(m *Merger) { m.MarkResumed(100.9, "etcd") }, "1 up 0"},
			{tick(101.8), "1 up 0"},
			{update(101.85, "etcd", node("2", 0, Up)), "1 up 0, 2 up 0"},
		},
		"start times and addresses distinguish nodes": {
			{replaceAll(100, "etcd", node("1", 50, Draining)), "1 draining 50"},
			{replaceAll(100, "roster", node("1", 60, Up)), "1 up 60"}, // restarted: the report on the earlier start does not apply
			{update(100.1, "etcd", node("1", 50, Draining)), "1 up 60"},
			{update(100.2, "etcd", node("1", 60, Draining)), "1 draining 60"},
			{update(100.3, "roster", Node{Identity: Identity{"1", "127.0.0.1:9", 70}, State: Up}), "1 up 70"},
		},
		"a node that only a stale source knows drains": {
			{replaceAll(100, "roster", one(Up)...), "1 up 0"},
			{tick(120), "1 up 0"}, // all sources are stale: the list stays
			{replaceAll(120, "etcd", node("2", 0, Up)), "1 up 0, 2 up 0"},
			{func(m *Merger) {
				for at := 120.5; at < 131; at += 0.5 {
					m.MarkResumed(at, "etcd")
					m.Tick(at)
				}
			}, "1 draining 0, 2 up 0"},
			{replaceAll(132, "roster", one(Up)...), "1 up 0, 2 up 0"},
		},
		"flapping": {
			{replaceAll(100, "etcd", one(Up)...), "1 up 0"},
			{update(100.1, "etcd", one(Draining)...), "1 draining 0"},
			{update(100.2, "etcd", one(Up)...), "1 up 0"}, // a single return is not flapping
			{update(100.3, "etcd", one(Draining)...), "1 draining 0"},
			{update(100.4, "etcd", one(Up)...), "1 draining 0"},
			{tick(101.2), "1 draining 0"},
			{func(m *Merger) { m.MarkResumed(101.25, "etcd"); m.Tick(101.4) }, "1 up 0"},
			{update(101.5, "etcd", one(Draining)...), "1 draining 0"},
			{func(m *Merger) { m.Update(101.6, "etcd", one(Up)); m.MarkResumed(102.5, "etcd"); m.Tick(103.4) }, "1 draining 0"},
			{func(m *Merger) { m.MarkResumed(103.45, "etcd"); m.Tick(103.6) }, "1 up 0"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMerger()
			if strings.Contains(name, "marks") {
				m.cfg.FlapWindowS = 0 // these cases do not test flapping
			}
			for i, s := range steps {
				s.do(m)
				if got := describe(m); got != s.want {
					t.Fatalf("step %d: list is %q, want %q", i, got, s.want)
				}
			}
		})
	}
	m := newTestMerger(node("k", 0, Up))
	if m.Tick(1000); describe(m) != "k up 0" {
		t.Errorf("list without a current source is %q, want the known list %q", describe(m), "k up 0")
	}
}

// Guards the invariant at each step of random sequences: no node is up while any source reports a stricter state, and a node becomes up
// only by the report of a current source.
func TestMerger_NoNewWorkOnStaleOrStricterReport(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := newTestMerger(node("0", 0, Up))
		now := 100.0
		type modelSource struct {
			current     bool
			lastHeardAt float64
			reports     map[string]Node
			deferred    map[string]Node
			synced      bool // has sent a full list
		}
		sources := map[string]*modelSource{"etcd": {reports: map[string]Node{}, deferred: map[string]Node{}},
			"roster": {reports: map[string]Node{}, deferred: map[string]Node{}}}
		staleAfterS := map[string]float64{"etcd": 1, "roster": 5}
		previous := map[string]Entry{"0": {Node: node("0", 0, Up)}}
		for step := range 300 {
			now += rng.ExpFloat64() * 0.3
			name := []string{"etcd", "roster"}[rng.IntN(2)]
			model := sources[name]
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
				for id, report := range model.reports {
					if !seen[id] {
						report.State = Removed
						model.reports[id] = report
					}
				}
				for _, n := range list {
					model.reports[n.ID] = n
				}
				model.current, model.synced, model.lastHeardAt = true, true, now
				clear(model.deferred)
				m.ReplaceAll(now, name, list)
			case 1, 2, 3:
				n := draw()
				if report, ok := model.reports[n.ID]; !ok || model.current || n.State >= report.State || !sameNode(report.Identity, n.Identity) {
					model.reports[n.ID] = n
					delete(model.deferred, n.ID)
				} else {
					model.deferred[n.ID] = n
				}
				if model.current {
					model.lastHeardAt = now
				}
				m.Update(now, name, []Node{n})
			case 4:
				model.current = false
				m.MarkInterrupted(now, name)
			case 6:
				if model.synced {
					model.current, model.lastHeardAt = true, now
					for id, n := range model.deferred {
						model.reports[id] = n
					}
					clear(model.deferred)
				}
				m.MarkResumed(now, name)
			case 5:
				for name, model := range sources {
					if model.current && now > model.lastHeardAt+staleAfterS[name] {
						model.current = false
					}
				}
				m.Tick(now)
				for name, model := range sources { // only reports on nodes that no source lists are forgotten
					for id, report := range model.reports {
						if _, kept := m.sources[name].reports[id]; kept {
							continue
						}
						for other, otherModel := range sources {
							if v, ok := otherModel.reports[id]; ok && v.State != Removed {
								t.Fatalf("seed %d step %d: %s forgot report %v on node %s, which %s lists", seed, step, name, report, id, other)
							}
						}
						delete(model.reports, id)
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
				for name, model := range sources {
					report, ok := model.reports[e.ID]
					if !ok || !sameNode(report.Identity, e.Identity) {
						continue
					}
					if report.State != Up {
						t.Fatalf("seed %d step %d: node %s is up, but is reported %s by %s (reason %q)", seed, step, e.ID, report.State, name, e.Reason)
					}
					byCurrent = byCurrent || model.current
				}
				if old, ok := previous[e.ID]; (!ok || old.State != Up || old.Identity != e.Identity) && !byCurrent {
					t.Fatalf("seed %d step %d: node %s became up, but no current source reports it (reason %q)", seed, step, e.ID, e.Reason)
				}
			}
			previous = next
		}
	}
}

// Guards against unbounded growth: a source that lists a new ID each time must not leave entries and reports of all earlier IDs behind.
func TestMerger_ForgetsRemovedNodes(t *testing.T) {
	m := newTestMerger()
	now := 100.0
	for i := range 2000 {
		now += 0.2
		m.ReplaceAll(now, "etcd", []Node{node(fmt.Sprint(i), 0, Up)})
		m.Tick(now)
	}
	if n, w := len(m.entries), len(m.sources["etcd"].reports); n > 400 || w > 400 {
		t.Errorf("%d entries and %d reports are kept, want at most 400 each", n, w)
	}
}

// Guards removals against a late report of another source: a removed node is remembered for a minute, however short FlapWindowS is, and a
// report on it within that time does not add it again.
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
		t.Errorf("a late report added the removed node: changes %+v, want none", got)
	}
	for at := 51.0; at < 70; at++ {
		m.Tick(at)
	}
	n.StartedMS = 6 // a later start is another node
	if got := m.Update(70, "roster", []Node{n}); len(got) != 1 || got[0].State != Up {
		t.Errorf("changes after the node's next start: %+v, want one node up", got)
	}
}
