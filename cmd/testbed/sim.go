package main

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/internal/testbed/simulation"
)

// runSim plays schedules of a scenario in virtual time, and cuts the first that fails down to the faults that matter.
func runSim(args []string) error {
	set := flag.NewFlagSet("sim", flag.ContinueOnError)
	scenario := set.String("scenario", "storm", "one of: "+strings.Join(names(testbed.ScenarioNames()), ", "))
	planners := set.Int("planners", 3, "3 for two levels, 0 for one")
	forwarders := set.Int("forwarders", 0, "how many, or ingresses; 0 for 5, or 4 of one level")
	schedules := set.Int("schedules", 20, "how many")
	first := set.Uint64("seed", 1, "of the first schedule; the others follow")
	length := set.Duration("for", 30*time.Second, "virtual time of each")
	jobs := set.Int("jobs", runtime.NumCPU(), "schedules at a time")
	shrink := set.Bool("shrink", true, "cut a schedule that fails down to the faults that matter")
	folder := set.String("trace", "", "a folder: decisions of the first schedule's ingresses, or planners, are written there, for decisiontrace")
	shed := set.Bool("overload", false, "ingresses and planners decide on overload as one")
	rule := set.String("rule", "", "with this, only a breach of this rule fails a schedule")
	if err := set.Parse(args); err != nil {
		return err
	}
	play := func(cfg simulation.Config) *oracle.Report { return simulation.New(cfg).Run() }
	fails := func(r *oracle.Report) bool {
		return *rule == "" && len(r.Counts) > 0 || *rule != "" && r.Counts[*rule] > 0
	}
	began := time.Now()
	var mu sync.Mutex
	var all sync.WaitGroup
	var next atomic.Uint64
	var failed []simulation.Config
	size := 0
	seen, counts, nearest := map[string]int{}, map[string]int{}, map[string]float64{}
	tries, attempts, messages, drowned, handshakes := 0, 0, 0, 0, 0
	var cost oracle.Cost
	var ideal, withheld, beyond, service, placeS, beyondS float64
	reasons, byPlan, kinds := map[reason.Reason]int{}, map[string]float64{}, map[string]int{}
	for range *jobs {
		all.Go(func() {
			for n := next.Add(1) - 1; n < uint64(*schedules); n = next.Add(1) - 1 {
				cfg, err := simulation.MakeOf(*scenario, *planners > 0, *forwarders, *first+n, length.Seconds())
				if err != nil {
					mu.Lock()
					fmt.Fprintln(os.Stderr, err)
					failed = append(failed, cfg)
					mu.Unlock()
					return
				}
				mu.Lock()
				size = cfg.Forwarders
				mu.Unlock()
				cfg.Overload.Enabled = *shed
				var told [][]reason.Decision
				if n == 0 && *folder != "" {
					told = make([][]reason.Decision, cmp.Or(cfg.Planners, cfg.Forwarders))
					cfg.Trace = func(i int, d reason.Decision) { told[i] = append(told[i], d) }
				}
				r := play(cfg)
				cfg.Trace = nil
				if err := writeTraces(*folder, cfg, told); err != nil {
					mu.Lock()
					fmt.Fprintln(os.Stderr, err)
					failed = append(failed, cfg)
					mu.Unlock()
					return
				}
				mu.Lock()
				tries, attempts = tries+r.Tries, attempts+r.Attempts
				ideal, withheld, service = ideal+r.Ideal, withheld+r.Withheld, service+r.Service
				for _, o := range r.Overshoots {
					beyond += o.Units
				}
				cost.Real, cost.Late = cost.Real+r.Beyond.Real, cost.Late+r.Beyond.Late
				messages, drowned = messages+r.Messages, drowned+r.Drowned
				handshakes += r.Handshakes
				placeS, beyondS = placeS+r.PlaceS, beyondS+r.BeyondS
				for k, n := range r.Kinds {
					kinds[k] += n
				}
				for k, v := range r.ByPlan {
					byPlan[k] += v
				}
				for k, n := range r.Reasons {
					reasons[reason.Reason(k)] += n
				}
				for k, v := range r.Seen {
					seen[k] += v
				}
				for k, v := range r.Counts {
					counts[k] += v
				}
				for k, v := range r.Nearest {
					nearest[k] = max(nearest[k], v)
				}
				if fails(r) {
					failed = append(failed, cfg)
					if len(failed) == 1 {
						fmt.Printf("seed %d after %v: %v\n", cfg.Seed, time.Since(began).Round(time.Millisecond), r.Verdict())
					}
				}
				stop := len(failed) > 0 && *shrink
				mu.Unlock()
				if stop {
					return
				}
			}
		})
	}
	all.Wait()
	fmt.Printf("%s, planners %d: %d schedules of %v from seed %d in %v on %d cores: %d tries, %d attempts, %d schedules failed\n", *scenario, *planners,
		min(int(next.Load()), *schedules), *length, *first, time.Since(began).Round(time.Millisecond), runtime.NumCPU(), tries, attempts, len(failed))
	for _, r := range append(slices.Clone(oracle.RuleNames), "one leader", "everybody is led") {
		if seen[r]+counts[r] > 0 {
			fmt.Printf("  %-18s breaches %d, occasions %d\n", r, counts[r], seen[r])
		}
	}
	for _, what := range slices.Sorted(maps.Keys(nearest)) {
		fmt.Printf("  nearest to %s: %.2f\n", what, nearest[what])
	}
	played := float64(max(1, min(int(next.Load()), *schedules)))
	fmt.Printf("  service %.3f", service/played)
	for _, k := range slices.Sorted(maps.Keys(byPlan)) {
		fmt.Printf(" %s %.3f", k, byPlan[k]/played)
	}
	fmt.Printf("\n  beyond quotas: costs %.3f of the worth asked for inside, %.3f under a policy that sees all late", cost.Real/played, cost.Late/played)
	fmt.Printf("\n  connections opened to nodes: %.2f an attempt\n", float64(handshakes)/float64(max(attempts, 1)))
	if ideal > 0 {
		fmt.Printf("  counts: %.0f units would be let in without fault, %.1f%% of them were withheld; the worst moments of accounts add up to %.1f%% beyond\n",
			ideal, 100*withheld/ideal, 100*beyond/ideal)
		list := slices.SortedFunc(maps.Keys(reasons), func(a, b reason.Reason) int { return reasons[b] - reasons[a] })
		fmt.Printf("  messages between ingresses: %.1f a second at each, %.1f%% of them beyond its intake\n",
			float64(messages)/played/length.Seconds()/float64(max(1, size)), 100*float64(drowned)/float64(max(1, messages)))
		if placeS > 0 {
			fmt.Printf("  places: %.0f s of attempts within caps, %.1f%% of that beyond\n", placeS, 100*beyondS/placeS)
		}
		fmt.Print("  sent, a second at each:")
		for _, k := range slices.Sorted(maps.Keys(kinds)) {
			fmt.Printf(" %s %.2f", k, float64(kinds[k])/played/length.Seconds()/float64(max(1, size)))
		}
		fmt.Println()
		fmt.Print("  refused:")
		for _, k := range list {
			fmt.Printf(" %v %d", k, reasons[k])
		}
		fmt.Println()
	}
	if len(failed) == 0 {
		return nil
	}
	if cfg := failed[0]; *shrink && cfg.Forwarders > 0 {
		began := time.Now()
		faults := simulation.Shrink(cfg.Faults, func(list []testbed.Fault) bool {
			if time.Since(began) > time.Minute {
				return false
			}
			c := cfg
			c.Faults = list
			return fails(play(c))
		})
		cfg.Faults = faults
		fmt.Printf("seed %d: %d faults matter:\n", cfg.Seed, len(faults))
		for _, x := range faults {
			fmt.Printf("  %8.3f %v\n", x.At.Seconds(), x)
		}
		for _, b := range play(cfg).Breaches {
			fmt.Printf("  %8.3f %s: %s\n", b.At.Seconds(), b.Rule, b.What)
			break
		}
	}
	return fmt.Errorf("%d schedules failed", len(failed))
}

// writeTraces writes what ingresses told of their decisions, a file each. Times are the schedule's.
func writeTraces(folder string, cfg simulation.Config, told [][]reason.Decision) error {
	for i, list := range told {
		f, err := os.Create(filepath.Join(folder, fmt.Sprintf("sim%d-%d.trace", i, cfg.Seed)))
		if err != nil {
			return err
		}
		w, err := trace.NewWriter(f, trace.Header{Name: fmt.Sprint("sim", i), Gateway: i, Gateways: len(told), Plans: cfg.Plans, Classes: cfg.Classes})
		if err == nil {
			err = w.Write(list, 0)
		}
		if err = cmp.Or(err, f.Close()); err != nil {
			return err
		}
	}
	return nil
}

// names are the first words of a list of names with what they stand for.
func names(list []string) (out []string) {
	for _, x := range list {
		out = append(out, strings.Fields(x)[0])
	}
	return out
}
