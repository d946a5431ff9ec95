package oracle

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
)

func sorted[V any](m map[string]V, format string) string {
	var list []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, fmt.Sprintf(format, k, m[k]))
	}
	return strings.Join(list, ", ")
}

// Print writes a report for people: what a verdict rests on first.
func (rep *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "tries %d: served %d, refused %d, failed %d, broken %d, left by their clients %d, open %d; attempts %d\n", rep.Tries, rep.Results[Served],
		rep.Results[Refused], rep.Results[Failed], rep.Results[Broken], rep.Results[Left], rep.Results[Open], rep.Attempts)
	fmt.Fprintf(w, "service %.3f (%s; %s)\n", rep.Service, sorted(rep.ByPlan, "%s %.3f"), sorted(rep.ByClass, "%s %.3f"))
	lost, worst := 0.0, 1.0
	for _, x := range rep.Windows {
		if x >= 0 {
			lost += 1 - x
			worst = min(worst, x)
		}
	}
	fmt.Fprintf(w, "accounts inside their quotas: %.2f seconds of service lost, the worst second at %.3f\n", lost, worst)
	if rep.Load != nil {
		rep.Load.Print(w)
	}
	fmt.Fprintf(w, "further attempts: %s\n", sorted(rep.Retries, "%s %d"))
	for i, o := range rep.Overshoots {
		if i == 3 {
			break
		}
		fmt.Fprintf(w, "overshoot %s %s: %.1f units, %.1f%% of the burst, at %.1f s\n", o.Account, o.Plan, o.Units, o.Percent, o.At.Seconds())
	}
	fmt.Fprintf(w, "beyond quotas: costs %.3f of the worth asked for inside, %.3f under a policy that sees all %.1f s late\n", rep.Beyond.Real, rep.Beyond.Late, lateS)
	fmt.Fprintf(w, "nearest to what is allowed (1: at it): %s\n", sorted(rep.Nearest, "%s %.2f"))
	fmt.Fprintf(w, "%-18s %9s %9s %9s\n", "rule", "breaches", "occasions", "floor")
	for _, rule := range RuleNames {
		seen := fmt.Sprint(rep.Seen[rule])
		if rep.Seen[rule] == 0 {
			seen = "not seen"
		}
		fmt.Fprintf(w, "%-18s %9d %9s %9d\n", rule, rep.Counts[rule], seen, rep.floors[rule])
	}
	var kinds []string
	for what, n := range rep.Occasions {
		kinds = append(kinds, fmt.Sprintf("  %s: %d\n", what, n))
	}
	sort.Strings(kinds)
	fmt.Fprint(w, strings.Join(kinds, ""))
	for i, b := range rep.Breaches {
		if i == 12 {
			break
		}
		fmt.Fprintf(w, "  %8.3f %s: %s\n", b.At.Seconds(), b.Rule, b.What)
	}
	if err := rep.Verdict(); err != nil {
		fmt.Fprintf(w, "verdict: %v\n", err)
	} else {
		fmt.Fprintln(w, "verdict: the rules hold")
	}
}
