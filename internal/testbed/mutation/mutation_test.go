package mutation

import (
	"context"
	"strings"
	"testing"
	"time"
)

// Guards the list: every mutant applies to the sources as they are, has a rule and a run, and no two are alike. There are
// as many as the laboratory promises.
func TestEveryMutantApplies(t *testing.T) {
	r := Runner{Root: "../../..", Dir: t.TempDir()}
	seen := map[string]bool{}
	for _, m := range List {
		if _, err := r.Apply(m); err != nil {
			t.Error(err)
		}
		if seen[m.Name] || m.Rule == "" || len(m.Runs) == 0 {
			t.Errorf("%q is twice there, or without a rule or run", m.Name)
		}
		seen[m.Name] = true
	}
	if len(List) < 40 {
		t.Errorf("%d mutants, 40 at least", len(List))
	}
}

// Guards the guard: a text that is gone, or stands twice, is an error and no silent pass.
func TestMutantThatNoLongerApplies(t *testing.T) {
	r := Runner{Root: "../../..", Dir: t.TempDir()}
	for _, old := range []string{"no such text", "return"} {
		if _, err := r.Apply(Mutation{Name: "x", Edits: edit(module, old, "")}); err == nil || !strings.Contains(err.Error(), "no longer applies") {
			t.Errorf("%q: %v", old, err)
		}
	}
}

// The short form of testbed mutants: the program as it is passes the same runs in which copies without a guard are found
// out.
func TestLaboratoryFindsMissingGuards(t *testing.T) {
	if testing.Short() {
		t.Skip("builds programs")
	}
	r := Runner{Root: "../../..", Dir: t.TempDir(), Most: 5 * time.Minute}
	runs := []string{"sim -shrink=false -schedules 4 -for 20s -planners 0 -scenario answers", "sim -shrink=false -schedules 4 -for 15s -planners 3 -scenario ceilings"}
	whole, err := r.Play(context.Background(), Mutation{Name: "none", Edits: edit(module, "package policy\n", "package policy\n\n"), Runs: runs}, false)
	if err != nil || whole.Caught {
		t.Fatalf("the program as it is: %+v, %v", whole, err)
	}
	for _, name := range []string{"unsafe runs once", "a ceiling starts empty"} {
		for _, m := range List {
			if m.Name != name {
				continue
			}
			m.Runs = runs
			if res, err := r.Play(context.Background(), m, false); err != nil || !res.Caught {
				t.Errorf("%s: %+v, %v", name, res, err)
			}
		}
	}
}
