package oracle

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
)

// Limits on the entries that Print lists.
const (
	maxPrintedOvershoots = 3
	maxPrintedViolations = 12
)

// formatMap formats each key and value of m, in order of the keys.
func formatMap[V any](m map[string]V, format string) string {
	var list []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, fmt.Sprintf(format, k, m[k]))
	}
	return strings.Join(list, ", ")
}

// Print writes the report as text: figures, rules, occasions, violations, verdict.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "requests %d: served %d, rejected %d, failed %d, connection lost %d, disconnected by client %d, pending %d; attempts %d\n", r.Requests, r.Results[Served],
		r.Results[Rejected], r.Results[Failed], r.Results[ConnectionLost], r.Results[Disconnected], r.Results[Pending], r.Attempts)
	fmt.Fprintf(w, "service %.3f (%s; %s)\n", r.Service, formatMap(r.ServiceByPlan, "%s %.3f"), formatMap(r.ServiceByClass, "%s %.3f"))
	lost, worst := 0.0, 1.0
	for _, service := range r.ServiceBySecond {
		if service >= 0 {
			lost += 1 - service
			worst = min(worst, service)
		}
	}
	fmt.Fprintf(w, "accounts inside their quotas: %.2f seconds of service lost, the worst second at %.3f\n", lost, worst)
	if r.Load != nil {
		r.Load.Print(w)
	}
	fmt.Fprintf(w, "retries, by class and outcome of the attempt before: %s\n", formatMap(r.Retries, "%s %d"))
	for _, o := range r.Overshoots[:min(len(r.Overshoots), maxPrintedOvershoots)] {
		fmt.Fprintf(w, "overshoot %s %s: %.1f units, %.1f%% of the burst, at %.1f s\n", o.Account, o.Plan, o.Units, o.Percent, o.At.Seconds())
	}
	fmt.Fprintf(w, "admissions beyond quotas: cost %.3f of the weight requested inside quotas, %.3f under the reference policy with a view %.1f s old\n", r.OverQuotaCost.Actual, r.OverQuotaCost.Delayed, delayedViewS)
	fmt.Fprintf(w, "highest utilization of bounds (1: at the bound): %s\n", formatMap(r.Utilization, "%s %.2f"))
	r.printRules(w)
	for _, v := range r.Violations[:min(len(r.Violations), maxPrintedViolations)] {
		fmt.Fprintf(w, "  %8.3f %s: %s\n", v.At.Seconds(), v.Rule, v.Detail)
	}
	if err := r.Verdict(); err != nil {
		fmt.Fprintf(w, "verdict: %v\n", err)
	} else {
		fmt.Fprintln(w, "verdict: the rules hold")
	}
}

// printRules writes the counts of each rule, then the occasions in detail.
func (r *Report) printRules(w io.Writer) {
	fmt.Fprintf(w, "%-18s %9s %9s %9s\n", "rule", "breaches", "occasions", "required")
	for _, rule := range RuleNames {
		occasions := fmt.Sprint(r.Occasions[rule])
		if r.Occasions[rule] == 0 {
			occasions = "not seen"
		}
		fmt.Fprintf(w, "%-18s %9d %9s %9d\n", rule, r.ViolationCounts[rule], occasions, r.minOccasions[rule])
	}
	var details []string
	for name, n := range r.OccasionDetails {
		details = append(details, fmt.Sprintf("  %s: %d\n", name, n))
	}
	sort.Strings(details)
	fmt.Fprint(w, strings.Join(details, ""))
}
