package cordontable

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"eiderspread/internal/membership/discovery"
)

func newEndpoint(id, state string, startedMS int64) discovery.Endpoint {
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

// Guards against a report of discovery that puts a cordoned backend back into service.
func TestTable_CordonOutlastsDiscovery(t *testing.T) {
	tab := New()
	tab.ApplyList(fullList(newEndpoint("a", discovery.InService, 0), newEndpoint("b", discovery.InService, 0)))
	list, err := tab.Cordon(1000, "a")
	if entry := onlyEntry(t, list); err != nil || entry.ID != "a" || entry.State != discovery.Terminating {
		t.Fatalf("cordon: got entry %+v, error %v; want a terminating", entry, err)
	}
	for _, step := range []struct {
		list discovery.List
		want string
	}{
		{partialList(newEndpoint("a", discovery.InService, 0)), discovery.Terminating},
		{fullList(newEndpoint("a", discovery.InService, 0)), discovery.Terminating},
		{partialList(newEndpoint("a", discovery.Terminating, 0)), discovery.Terminating},
		{partialList(newEndpoint("a", discovery.Terminated, 0)), discovery.Terminated},
		{partialList(newEndpoint("a", discovery.InService, 2000)), discovery.Terminating}, // restarted with the same ID
	} {
		if entry := onlyEntry(t, tab.ApplyList(step.list)); entry.State != step.want {
			t.Fatalf("after %+v: state is %s, want %s", step.list, entry.State, step.want)
		}
	}
	if list, err := tab.Cordon(1500, "a"); err != nil || len(list.Endpoints) != 0 {
		t.Fatalf("second cordon: got change %+v, error %v; want neither", list, err)
	}
	if list, err = tab.Uncordon(3000, "a"); err != nil || onlyEntry(t, list) != newEndpoint("a", discovery.InService, 2000) {
		t.Fatalf("uncordon: got change %+v, error %v; want a in service, as discovery reported it", list, err)
	}
	if tab.Count() != 0 {
		t.Fatalf("%d backends are cordoned after two cordons and one uncordon of a, want 0", tab.Count())
	}
}

// Guards against a backend that counts as warm after a restart that discovery has not reported yet: operators may restart a cordoned backend
// and uncordon it before discovery reports the new start.
func TestTable_UncordonedCountsAsJustStarted(t *testing.T) {
	tab := New()
	tab.ApplyList(fullList(newEndpoint("a", discovery.InService, 500)))
	if _, err := tab.Cordon(1000, "a"); err != nil {
		t.Fatal(err)
	}
	list, _ := tab.Uncordon(4000, "a")
	if entry := onlyEntry(t, list); entry.State != discovery.InService || entry.StartedMS != 4000 {
		t.Fatalf("after uncordon: got %+v, want in service and started at the uncordon, 4000", entry)
	}
	if entry := onlyEntry(t, tab.ApplyList(partialList(newEndpoint("a", discovery.InService, 500)))); entry.StartedMS != 4000 {
		t.Fatalf("after a report of the start before the cordon: got %+v, want started at the uncordon, 4000", entry)
	}
	if entry := onlyEntry(t, tab.ApplyList(partialList(newEndpoint("a", discovery.InService, 1800)))); entry.StartedMS != 1800 {
		t.Fatalf("after a report of a start during the cordon: got %+v, want that start, 1800", entry)
	}
	if len(tab.Cordons()) != 0 {
		t.Fatalf("got cordons %v after the new start was reported, want none", tab.Cordons())
	}
}

func TestTable_UnknownIDs(t *testing.T) {
	tab := New()
	tab.ApplyList(fullList(newEndpoint("a", discovery.InService, 0)))
	if _, err := tab.Cordon(1, "x"); !errors.Is(err, ErrUnknownBackend) {
		t.Fatalf("cordon of an unknown backend: got error %v, want %v", err, ErrUnknownBackend)
	}
	if _, err := tab.Uncordon(1, "x"); !errors.Is(err, ErrUnknownBackend) {
		t.Fatalf("uncordon of an unknown backend: got error %v, want %v", err, ErrUnknownBackend)
	}
	if list, err := tab.Uncordon(1, "a"); err != nil || len(list.Endpoints) != 0 {
		t.Fatalf("uncordon of a backend in service: got change %+v, error %v; want neither", list, err)
	}
	if _, err := tab.Cordon(1, "a"); err != nil {
		t.Fatal(err)
	}
	tab.ApplyList(partialList(newEndpoint("a", discovery.Terminated, 0)))
	if _, err := tab.Uncordon(2, "a"); err != nil {
		t.Fatal("uncordon of a cordoned backend that is no longer listed:", err)
	}
}

// Guards against an unbounded number of cordons.
func TestTable_Bound(t *testing.T) {
	tab := New()
	for i := range MaxCordons + 1 {
		id := fmt.Sprint("s", i)
		tab.ApplyList(partialList(newEndpoint(id, discovery.InService, 0)))
		if _, err := tab.Cordon(1, id); (err != nil) != (i == MaxCordons) {
			t.Fatalf("cordon %d: got error %v, want one only after %d cordons", i, err, MaxCordons)
		}
	}
	if _, err := tab.Cordon(1, fmt.Sprint("s", MaxCordons)); !errors.Is(err, ErrTooMany) {
		t.Fatalf("got error %v, want %v", err, ErrTooMany)
	}
}

// Guards against orders of calls and lists after which a cordoned backend is in service, or another backend's state is not the one that
// discovery reported.
func TestTable_AnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	ids, states := []string{"a", "b", "c"}, []string{discovery.InService, discovery.Terminating, discovery.Terminated}
	cordonedChecks := 0
	for range 200 {
		tab, other := New(), New()
		cordoned, discovered := map[string]bool{}, map[string]string{}
		applied := map[string]string{}
		apply := func(list discovery.List) {
			if list.Full {
				clear(applied)
			}
			for _, entry := range list.Endpoints {
				applied[entry.ID] = entry.State
			}
		}
		for now := int64(1); now < 60; now++ {
			id := ids[rng.IntN(3)]
			switch rng.IntN(5) {
			case 0, 1:
				state := states[rng.IntN(3)]
				discovered[id] = state
				apply(tab.ApplyList(partialList(newEndpoint(id, state, rng.Int64N(now)))))
			case 2:
				list, err := tab.Cordon(now, id)
				if known := discovered[id] == discovery.InService || discovered[id] == discovery.Terminating || cordoned[id]; known != (err == nil) {
					t.Fatalf("cordon of %s, which discovery reports as %q: got error %v, want an error only for an unknown backend", id, discovered[id], err)
				} else if known {
					cordoned[id] = true
				}
				apply(list)
			case 3:
				list, err := tab.Uncordon(now, id)
				if err == nil {
					cordoned[id] = false
				}
				apply(list)
			case 4: // another process takes over the cordons, and hands them back
				other.Replace(tab.Cordons())
				apply(tab.Replace(other.Cordons()))
			}
			for _, id := range ids {
				if cordoned[id] && discovered[id] == discovery.InService {
					cordonedChecks++
				}
				want := discovered[id]
				if want == discovery.InService && cordoned[id] {
					want = discovery.Terminating
				}
				if applied[id] != want {
					t.Fatalf("state of %s is %q, want %q", id, applied[id], want)
				}
			}
		}
	}
	if cordonedChecks < 1000 {
		t.Fatalf("only %d checks met a cordoned backend in service at discovery, want at least 1000", cordonedChecks)
	}
}
