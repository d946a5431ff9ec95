package held

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"eiderspread/internal/roster"
)

func node(id, state string, startedMS int64) roster.Target {
	return roster.Target{ID: id, Addr: "127.0.0.1:1", State: state, StartedMS: startedMS}
}

func whole(list ...roster.Target) roster.List { return roster.List{Full: true, Servers: list} }
func some(list ...roster.Target) roster.List  { return roster.List{Servers: list} }

// one returns the one entry of a list.
func one(t *testing.T, l roster.List) roster.Target {
	t.Helper()
	if len(l.Servers) != 1 {
		t.Fatalf("%d entries, want 1: %+v", len(l.Servers), l.Servers)
	}
	return l.Servers[0]
}

// Guards the drain rule for nodes taken out by hand: discovery must not put one back, whatever it says meanwhile.
func TestHoldOutlastsDiscovery(t *testing.T) {
	tab := New()
	tab.Take(whole(node("a", stateUp, 0), node("b", stateUp, 0)))
	l, err := tab.Hold(1000, "a")
	if e := one(t, l); err != nil || e.ID != "a" || e.State != stateHeld {
		t.Fatal(e, err)
	}
	for _, step := range []struct {
		told roster.List
		want string
	}{
		{some(node("a", stateUp, 0)), stateHeld},
		{whole(node("a", stateUp, 0)), stateHeld},
		{some(node("a", stateHeld, 0)), stateHeld},
		{some(node("a", stateGone, 0)), stateGone},
		{some(node("a", stateUp, 2000)), stateHeld}, // restarted under its id
	} {
		if e := one(t, tab.Take(step.told)); e.State != step.want {
			t.Fatalf("after %+v: %s, want %s", step.told, e.State, step.want)
		}
	}
	if l, err := tab.Hold(1500, "a"); err != nil || len(l.Servers) != 0 {
		t.Fatal("a second hold changes something", l, err)
	}
	if l, err = tab.Release(3000, "a"); err != nil || one(t, l) != node("a", stateUp, 2000) {
		t.Fatal(l, err)
	}
	if tab.Count() != 0 {
		t.Fatal("two holds need two releases")
	}
}

// Guards cold nodes: people restart a node that they hold faster than discovery tells.
func TestCalledBackCountsAsStartedThenUntilToldBetter(t *testing.T) {
	tab := New()
	tab.Take(whole(node("a", stateUp, 500)))
	tab.Hold(1000, "a")
	l, _ := tab.Release(4000, "a")
	if e := one(t, l); e.State != stateUp || e.StartedMS != 4000 {
		t.Fatal("taken for warm", e)
	}
	if e := one(t, tab.Take(some(node("a", stateUp, 500)))); e.StartedMS != 4000 {
		t.Fatal("an old word made it warm", e)
	}
	if e := one(t, tab.Take(some(node("a", stateUp, 1800)))); e.StartedMS != 1800 {
		t.Fatal("the start that was told does not count", e)
	}
	if len(tab.Holds()) != 0 {
		t.Fatal("kept for nothing", tab.Holds())
	}
}

func TestIDsOfNobody(t *testing.T) {
	tab := New()
	tab.Take(whole(node("a", stateUp, 0)))
	if _, err := tab.Hold(1, "x"); !errors.Is(err, ErrUnknown) {
		t.Fatal(err)
	}
	if _, err := tab.Release(1, "x"); !errors.Is(err, ErrUnknown) {
		t.Fatal(err)
	}
	if l, err := tab.Release(1, "a"); err != nil || len(l.Servers) != 0 {
		t.Fatal("a node in use can be called back", l, err)
	}
	tab.Hold(1, "a")
	tab.Take(some(node("a", stateGone, 0)))
	if _, err := tab.Release(2, "a"); err != nil {
		t.Fatal("held, though not listed now:", err)
	}
}

// Guards the bound on what operators' calls can make the process keep.
func TestBound(t *testing.T) {
	tab := New()
	for i := range Most + 1 {
		id := fmt.Sprint("s", i)
		tab.Take(some(node(id, stateUp, 0)))
		if _, err := tab.Hold(1, id); (err != nil) != (i == Most) {
			t.Fatal(i, err)
		}
	}
	if _, err := tab.Hold(1, fmt.Sprint("s", Most)); !errors.Is(err, ErrMany) {
		t.Fatal(err)
	}
}

// A table that follows calls and lists in any order says of each node what a naive rule says: held is never up.
func TestAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	ids, states := []string{"a", "b", "c"}, []string{stateUp, stateHeld, stateGone}
	occasions := 0
	for range 200 {
		tab, other := New(), New()
		held, told := map[string]bool{}, map[string]string{}
		shown := map[string]string{}
		see := func(l roster.List) {
			if l.Full {
				clear(shown)
			}
			for _, e := range l.Servers {
				shown[e.ID] = e.State
			}
		}
		for now := int64(1); now < 60; now++ {
			id := ids[rng.IntN(3)]
			switch rng.IntN(5) {
			case 0, 1:
				state := states[rng.IntN(3)]
				told[id] = state
				see(tab.Take(some(node(id, state, rng.Int64N(now)))))
			case 2:
				l, err := tab.Hold(now, id)
				if known := told[id] == stateUp || told[id] == stateHeld || held[id]; known != (err == nil) {
					t.Fatal("hold", id, told[id], err)
				} else if known {
					held[id] = true
				}
				see(l)
			case 3:
				l, err := tab.Release(now, id)
				if err == nil {
					held[id] = false
				}
				see(l)
			case 4: // another process takes the holds over, and this one goes on with them
				other.Set(tab.Holds())
				see(tab.Set(other.Holds()))
			}
			for _, id := range ids {
				if held[id] && told[id] == stateUp {
					occasions++
				}
				want := told[id]
				if want == stateUp && held[id] {
					want = stateHeld
				}
				if shown[id] != want {
					t.Fatalf("%s is shown %q, want %q", id, shown[id], want)
				}
			}
		}
	}
	if occasions < 1000 {
		t.Fatal("too few occasions:", occasions)
	}
}
