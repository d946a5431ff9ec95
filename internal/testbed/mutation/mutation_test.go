package mutation

import (
	"context"
	"strings"
	"testing"
	"time"
)

// Guards against entries of the list that test nothing: every mutant must apply to the current sources, have a rule and
// a run, and a name of its own. The list must have at least 40 mutants.
func TestEveryMutantApplies(t *testing.T) {
	r := Runner{Root: "../../..", Dir: t.TempDir()}
	seen := map[string]bool{}
	for _, m := range List {
		if _, err := r.Apply(m); err != nil {
			t.Error(err)
		}
		if seen[m.Name] || m.Rule == "" || len(m.Runs) == 0 {
			t.Errorf("mutant %q: duplicate name %t, rule %q, %d runs; want a unique name, a rule and a run", m.Name, seen[m.Name], m.Rule, len(m.Runs))
		}
		seen[m.Name] = true
	}
	if len(List) < 40 {
		t.Errorf("the list has %d mutants, want at least 40", len(List))
	}
}

// Guards against a mutant that silently changes nothing: an old text that is missing or occurs twice must be an error.
func TestMutantThatNoLongerApplies(t *testing.T) {
	r := Runner{Root: "../../..", Dir: t.TempDir()}
	for _, old := range []string{"no such text", "return"} {
		if _, err := r.Apply(Mutation{Name: "x", Edits: edit(gatewayFile, old, "")}); err == nil || !strings.Contains(err.Error(), "no longer applies") {
			t.Errorf("Apply with old text %q = %v, want an error with \"no longer applies\"", old, err)
		}
	}
}

// Guards against a testbed that no longer detects missing guards: the unchanged program must pass the runs that catch
// two mutants. The testbed mutants command runs the whole list.
func TestLaboratoryFindsMissingGuards(t *testing.T) {
	if testing.Short() {
		t.Skip("builds programs")
	}
	r := Runner{Root: "../../..", Dir: t.TempDir(), Timeout: 5 * time.Minute}
	runs := []string{"sim -shrink=false -schedules 4 -for 20s -planners 0 -scenario answers", "sim -shrink=false -schedules 4 -for 15s -planners 3 -scenario ceilings"}
	unchanged, err := r.Play(context.Background(), Mutation{Name: "none", Edits: edit(gatewayFile, "package policy\n", "package policy\n\n"), Runs: runs}, false)
	if err != nil || unchanged.Caught {
		t.Fatalf("unchanged program: result %+v, error %v; want it not caught", unchanged, err)
	}
	for _, name := range []string{"unsafe runs once", "a ceiling starts empty"} {
		for _, m := range List {
			if m.Name != name {
				continue
			}
			m.Runs = runs
			if res, err := r.Play(context.Background(), m, false); err != nil || !res.Caught {
				t.Errorf("mutant %q: result %+v, error %v; want it caught", name, res, err)
			}
		}
	}
}
