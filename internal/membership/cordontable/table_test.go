package cordontable

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"eiderspread/internal/membership/discovery"
)

func target(id, state string, startedMS int64) discovery.Endpoint {
	return discovery.Endpoint{ID: id, Addr: "127.0.0.1:1", State: state, StartedMS: startedMS}
}

func fullList(list ...discovery.Endpoint) discovery.List {
	return discovery.List{Full: true, Endpoints: list}
}
func partialList(list ...discovery.Endpoint) discovery.List { return discovery.List{Endpoints: list} }

// onlyEntry returns the only entry of a list.
func onlyEntry(t *testing.T, list discovery.List) discovery.Endpoint {
	t.Helper()
	if len(list.Endpoints) != 1 {
		t.Fatalf("%d entries, want 1: %+v", len(list.Endpoints), list.Endpoints)
	}
	return list.Endpoints[0]
}

// A cordoned backend stays out of use whatever discovery reports.
func TestTable_CordonOutlastsDiscovery(t *testing.T) {
	tab := New()
	tab.ApplyList(fullList(target("a", discovery.InService, 0), target("b", discovery.InService, 0)))
	list, err := tab.Cordon(1000, "a")
	if entry := onlyEntry(t, list); err != nil || entry.ID != "a" || entry.State != discovery.Terminating {
		t.Fatal(entry, err)
	}
	for _, step := range []struct {
		told discovery.List
		want string
	}{
		{partialList(target("a", discovery.InService, 0)), discovery.Terminating},
		{fullList(target("a", discovery.InService, 0)), discovery.Terminating},
		{partialList(target("a", discovery.Terminating, 0)), discovery.Terminating},
		{partialList(target("a", discovery.Terminated, 0)), discovery.Terminated},
		{partialList(target("a", discovery.InService, 2000)), discovery.Terminating}, // restarted under its id
	} {
		if entry := onlyEntry(t, tab.ApplyList(step.told)); entry.State != step.want {
			t.Fatalf("after %+v: %s, want %s", step.told, entry.State, step.want)
		}
	}
	if list, err := tab.Cordon(1500, "a"); err != nil || len(list.Endpoints) != 0 {
		t.Fatal("a second hold changes something", list, err)
	}
	if list, err = tab.Uncordon(3000, "a"); err != nil || onlyEntry(t, list) != target("a", discovery.InService, 2000) {
		t.Fatal(list, err)
	}
	if tab.Count() != 0 {
		t.Fatal("two holds need two releases")
	}
}

// Operators may restart a cordoned backend faster than discovery reports it.
func TestTable_UncordonedCountsAsJustStarted(t *testing.T) {
	tab := New()
	tab.ApplyList(fullList(target("a", discovery.InService, 500)))
	if _, err := tab.Cordon(1000, "a"); err != nil {
		t.Fatal(err)
	}
	list, _ := tab.Uncordon(4000, "a")
	if entry := onlyEntry(t, list); entry.State != discovery.InService || entry.StartedMS != 4000 {
		t.Fatal("taken for warm", entry)
	}
	if entry := onlyEntry(t, tab.ApplyList(partialList(target("a", discovery.InService, 500)))); entry.StartedMS != 4000 {
		t.Fatal("an old word made it warm", entry)
	}
	if entry := onlyEntry(t, tab.ApplyList(partialList(target("a", discovery.InService, 1800)))); entry.StartedMS != 1800 {
		t.Fatal("the start that was told does not count", entry)
	}
	if len(tab.Cordons()) != 0 {
		t.Fatal("kept for nothing", tab.Cordons())
	}
}

func TestTable_UnknownIDs(t *testing.T) {
	tab := New()
	tab.ApplyList(fullList(target("a", discovery.InService, 0)))
	if _, err := tab.Cordon(1, "x"); !errors.Is(err, ErrUnknownBackend) {
		t.Fatal(err)
	}
	if _, err := tab.Uncordon(1, "x"); !errors.Is(err, ErrUnknownBackend) {
		t.Fatal(err)
	}
	if list, err := tab.Uncordon(1, "a"); err != nil || len(list.Endpoints) != 0 {
		t.Fatal("a node in use can be called back", list, err)
	}
	if _, err := tab.Cordon(1, "a"); err != nil {
		t.Fatal(err)
	}
	tab.ApplyList(partialList(target("a", discovery.Terminated, 0)))
	if _, err := tab.Uncordon(2, "a"); err != nil {
		t.Fatal("held, though not listed now:", err)
	}
}

// The number of cordons is bounded.
func TestTable_Bound(t *testing.T) {
	tab := New()
	for i := range MaxCordons + 1 {
		id := fmt.Sprint("s", i)
		tab.ApplyList(partialList(target(id, discovery.InService, 0)))
		if _, err := tab.Cordon(1, id); (err != nil) != (i == MaxCordons) {
			t.Fatal(i, err)
		}
	}
	if _, err := tab.Cordon(1, fmt.Sprint("s", MaxCordons)); !errors.Is(err, ErrTooMany) {
		t.Fatal(err)
	}
}

// After calls and lists in any order, no cordoned backend is in service, and all others are as discovery reports.
func TestTable_AnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	ids, states := []string{"a", "b", "c"}, []string{discovery.InService, discovery.Terminating, discovery.Terminated}
	occasions := 0
	for range 200 {
		tab, other := New(), New()
		cordoned, discovered := map[string]bool{}, map[string]string{}
		shown := map[string]string{}
		see := func(list discovery.List) {
			if list.Full {
				clear(shown)
			}
			for _, entry := range list.Endpoints {
				shown[entry.ID] = entry.State
			}
		}
		for now := int64(1); now < 60; now++ {
			id := ids[rng.IntN(3)]
			switch rng.IntN(5) {
			case 0, 1:
				state := states[rng.IntN(3)]
				discovered[id] = state
				see(tab.ApplyList(partialList(target(id, state, rng.Int64N(now)))))
			case 2:
				list, err := tab.Cordon(now, id)
				if known := discovered[id] == discovery.InService || discovered[id] == discovery.Terminating || cordoned[id]; known != (err == nil) {
					t.Fatal("hold", id, discovered[id], err)
				} else if known {
					cordoned[id] = true
				}
				see(list)
			case 3:
				list, err := tab.Uncordon(now, id)
				if err == nil {
					cordoned[id] = false
				}
				see(list)
			case 4: // another process takes the cordons over, and this one goes on with them
				other.Replace(tab.Cordons())
				see(tab.Replace(other.Cordons()))
			}
			for _, id := range ids {
				if cordoned[id] && discovered[id] == discovery.InService {
					occasions++
				}
				want := discovered[id]
				if want == discovery.InService && cordoned[id] {
					want = discovery.Terminating
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
