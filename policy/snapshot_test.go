package policy

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"testing"

	"eiderspread/internal/decision/snapshot"
)

// A process and its successor together admit what one process would have, however the plan is limited; the
// old one admits nothing more under a hard limit.
func TestSnapshot_SuccessorContinuesCounts(t *testing.T) {
	for _, plan := range []string{"basic", "capped", "wide"} {
		passed := func(replace, adopt bool) (n int, late int) {
			g, r := newTestGateway(t, alone)
			old := g
			answer := func(now float64) {
				for _, a := range r.of("send", "") {
					n++
					g.HandleOutcome(now, Outcome{ID: a.id, Backend: a.backend, Status: OK, Completed: true, LatencyS: 0.01})
				}
				r.actions = nil
			}
			for i := range 200 {
				now := 100 + float64(i)*0.05
				if i == 90 && replace {
					parts := g.Snapshot(now)
					r = &recorder{}
					settings := testSettings()
					alone(&settings)
					next, err := New(settings, 8, now, r)
					if err != nil {
						t.Fatal(err)
					}
					next.UpdateBackends(now, []Backend{{ID: "s1", Zone: "a", Cell: 1}, {ID: "s2", Zone: "a", Cell: 2}, {ID: "s3", Zone: "b", Cell: 3}}, true)
					for _, part := range parts {
						text, err := json.Marshal(part)
						var back snapshot.Part
						if err = errors.Join(err, json.Unmarshal(text, &back)); err != nil {
							t.Fatal(err)
						}
						if adopt {
							next.Restore(now, back)
						}
					}
					g = next
				}
				submit(g, now, fmt.Sprint("a", i), "read", plan, 1)
				g.HandleTimer(now, 1)
				answer(now)
			}
			if old != g && plan == "capped" { // the old process has nothing left under a hard limit
				or := old.actions.(*recorder)
				or.actions = nil
				submit(old, 110, "late", "read", "capped", 1)
				late = len(or.of("send", "late"))
			}
			return n, late
		}
		single, _ := passed(false, false)
		two, late := passed(true, true)
		fresh, _ := passed(true, false)
		if two != single {
			t.Errorf("%s: %d admitted by two, %d by one", plan, two, single)
		}
		if late > 0 {
			t.Errorf("%s: the old process admits requests under a hard limit that it has handed over", plan)
		}
		if plan == "basic" && fresh <= single {
			t.Errorf("%s: no occasion: %d without the snapshot, %d with it", plan, fresh, single)
		}
	}
}

// To the owner a member's successor is the same incarnation: nothing seems handed back or new.
func TestSnapshot_SuccessorKeepsIncarnation(t *testing.T) {
	g, r, _ := newPair(t)
	now, seen := 100.0, [2]int{}
	pump := func(now float64) {
		for i := range g {
			for ; seen[i] < len(r[i].actions); seen[i]++ {
				if a := r[i].actions[seen[i]]; a.kind == "message" {
					g[1-i].HandlePeerMessage(now, i, a.data)
				} else if a.kind == "send" {
					g[i].HandleOutcome(now, Outcome{ID: a.id, Backend: a.backend, Status: OK, Completed: true, LatencyS: 0.01})
				}
			}
		}
	}
	step := func(from int, id string) {
		now += 0.05
		submit(g[from], now, id, "read", "wide", 1)
		for i := range g {
			g[i].HandleTimer(now, 1)
		}
		pump(now)
	}
	for i := range 40 {
		step(i%2, fmt.Sprint("a", i))
	}
	key := uint32(0)
	owner := 0
	for id, account := range g[0].accounts {
		if key = id.key; g[0].owner(account) == 1 {
			owner = 1
		}
	}
	mem := 1 - owner
	total := g[mem].accountByKey(key).admittedUnits
	was := *g[owner].accountByKey(key).ledger.Members[mem]
	old, parts := g[mem], g[mem].Snapshot(now)
	settings := g[mem].settings
	next, err := New(settings, 99, now, r[mem])
	if err != nil {
		t.Fatal(err)
	}
	next.UpdateBackends(now, []Backend{{ID: "s1", Zone: "a", Cell: 1}, {ID: "s2", Zone: "a", Cell: 2}, {ID: "s3", Zone: "b", Cell: 3}}, true)
	for _, p := range parts {
		next.Restore(now, p)
	}
	g[mem] = next
	for i := range 20 {
		step(mem, fmt.Sprint("b", i))
	}
	for range 20 {
		now += 0.05
		for i := range g {
			g[i].HandleTimer(now, 1)
		}
		pump(now)
	}
	is := g[owner].accountByKey(key).ledger.Members[mem]
	sum := g[mem].accountByKey(key).admittedUnits
	if sum < total+15 {
		t.Fatalf("no occasion: %v units, %v before", sum, total)
	}
	// The successor dies, and the old one takes everything back: for others it is another life, of which the
	// total may be less.
	for _, p := range snapshot.Reclaimed(parts) {
		old.Restore(now, p)
	}
	if old.incarnation == was.Incarnation || parts[0].Incarnation != was.Incarnation {
		t.Errorf("incarnation %d after the successor's %d: what that one admitted seems handed back", old.incarnation, was.Incarnation)
	}
	if is.Incarnation != was.Incarnation || math.Abs(is.Total-sum) > 0.3 {
		t.Errorf("the owner has incarnation %d and %v units, want %d and %v", is.Incarnation, is.Total, was.Incarnation, sum)
	}
}
