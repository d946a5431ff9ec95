package policy

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"testing"

	"eiderspread/internal/decision/snapshot"
)

// Guards against a quota that is spent twice in a hot restart: a process and its successor together must admit what
// one process would, whatever limits the plan has. The old process must admit no more under a hard limit.
func TestSnapshot_SuccessorContinuesCounts(t *testing.T) {
	for _, plan := range []string{"basic", "capped", "wide"} {
		countSent := func(replace, restore bool) (n int, late int) {
			g, r := newTestGateway(t, singleGateway)
			old := g
			answer := func(now float64) {
				for _, a := range r.actionsOf("send", "") {
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
					singleGateway(&settings)
					next, err := New(settings, 8, now, r)
					if err != nil {
						t.Fatal(err)
					}
					next.UpdateBackends(now, []Backend{{ID: "s1", Zone: "a", Cell: 1}, {ID: "s2", Zone: "a", Cell: 2}, {ID: "s3", Zone: "b", Cell: 3}}, true)
					for _, part := range parts {
						text, err := json.Marshal(part)
						var decoded snapshot.Part
						if err = errors.Join(err, json.Unmarshal(text, &decoded)); err != nil {
							t.Fatal(err)
						}
						if restore {
							next.Restore(now, decoded)
						}
					}
					g = next
				}
				submit(g, now, fmt.Sprint("a", i), "read", plan, 1)
				g.HandleTimer(now, 1)
				answer(now)
			}
			if old != g && plan == "capped" { // the old process must send no more under a hard limit
				oldRecorder := old.actions.(*recorder)
				oldRecorder.actions = nil
				submit(old, 110, "late", "read", "capped", 1)
				late = len(oldRecorder.actionsOf("send", "late"))
			}
			return n, late
		}
		single, _ := countSent(false, false)
		restored, late := countSent(true, true)
		notRestored, _ := countSent(true, false)
		if restored != single {
			t.Errorf("%s: sent %d requests with a successor, want %d as with one process", plan, restored, single)
		}
		if late > 0 {
			t.Errorf("%s: the old process sent a request under a hard limit that it has handed over", plan)
		}
		if plan == "basic" && notRestored <= single {
			t.Errorf("%s: the test shows nothing: %d sent without the snapshot, want more than the %d of one process", plan, notRestored, single)
		}
	}
}

// Guards against a miscounted quota after a member's hot restart: the successor must continue the incarnation and
// total, so that the owner sees no units as returned or as new. A predecessor that takes its state back after the
// successor has died must be another incarnation, as its total may be lower.
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
	member := 1 - owner
	totalBefore := g[member].accountByKey(key).admittedUnits
	entryBefore := *g[owner].accountByKey(key).ledger.Members[member]
	old, parts := g[member], g[member].Snapshot(now)
	settings := g[member].settings
	next, err := New(settings, 99, now, r[member])
	if err != nil {
		t.Fatal(err)
	}
	next.UpdateBackends(now, []Backend{{ID: "s1", Zone: "a", Cell: 1}, {ID: "s2", Zone: "a", Cell: 2}, {ID: "s3", Zone: "b", Cell: 3}}, true)
	for _, p := range parts {
		next.Restore(now, p)
	}
	g[member] = next
	for i := range 20 {
		step(member, fmt.Sprint("b", i))
	}
	for range 20 {
		now += 0.05
		for i := range g {
			g[i].HandleTimer(now, 1)
		}
		pump(now)
	}
	entry := g[owner].accountByKey(key).ledger.Members[member]
	total := g[member].accountByKey(key).admittedUnits
	if total < totalBefore+15 {
		t.Fatalf("the test shows nothing: total = %v units, want at least 15 more than the %v before the restart", total, totalBefore)
	}
	// The successor dies, and the old process takes its state back. To other gateways it must be another incarnation,
	// as its total may be lower.
	for _, p := range snapshot.Reclaimed(parts) {
		old.Restore(now, p)
	}
	if old.incarnation == entryBefore.Incarnation || parts[0].Incarnation != entryBefore.Incarnation {
		t.Errorf("incarnation = %d after the successor's death, want another than the successor's %d", old.incarnation, entryBefore.Incarnation)
	}
	if entry.Incarnation != entryBefore.Incarnation || math.Abs(entry.Total-total) > 0.3 {
		t.Errorf("the owner has incarnation %d and a total of %v units, want %d and %v", entry.Incarnation, entry.Total, entryBefore.Incarnation, total)
	}
}
