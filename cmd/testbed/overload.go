package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/internal/testbed/simulation"
)

// overloadHeader is the table header of the overload command.
const overloadHeader = "| scenario | ingresses | decided | demand | goal | goal/bound | overall | worst 10 s | worst/best plan | worst tenth | starved | slow | wasted | requests/original | utilization | classes | detection s | spread | swing | recovery s | breaches |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// runOverload runs overload scenarios without ("alone") and with ("as one") load shedding, which the fleet coordinates, and prints a table.
func runOverload(args []string) error {
	set := flag.NewFlagSet("overload", flag.ContinueOnError)
	scenarios := set.String("scenarios", "overload-low,overload,overload-high", "scenarios, separated by commas")
	sizes := set.String("ingresses", "8", "numbers of ingresses, separated by commas")
	planners := set.Int("planners", 0, "number of planners; 0 for a single-level fleet")
	nodes := set.Int("nodes", 0, "number of nodes; 0: the scenario's own, mostly 2")
	seeds := set.Int("seeds", 2, "number of runs of each kind, with seeds from 1 on; the table has their means")
	length := set.Duration("for", 25*time.Second, "duration of each run")
	sockets := set.Bool("sockets", false, "run processes on sockets, one run after the other, instead of simulating in virtual time")
	only := set.String("decided", "alone,as one", "without (alone) or with (as one) coordinated load shedding, separated by commas")
	keep := set.String("keep", "", "directory for the figures of the first run of each kind, which decisiontrace overload draws")
	if err := set.Parse(args); err != nil {
		return err
	}
	fmt.Printf("%d cores, %v a run, %d seeds, sockets %v\n%s\n", runtime.NumCPU(), *length, *seeds, *sockets, overloadHeader)
	for _, name := range strings.Split(*scenarios, ",") {
		for _, size := range strings.Split(*sizes, ",") {
			n, err := strconv.Atoi(size)
			if err != nil || n < 1 {
				return fmt.Errorf("-ingresses: %q is not a number of ingresses, want at least 1", size)
			}
			for _, how := range strings.Split(*only, ",") {
				p := overloadRun{name: name, ingresses: n, planners: *planners, nodes: *nodes, length: *length, cfg: loadshed.Config{Enabled: how == "as one"}}
				reports := make([]*oracle.Report, *seeds)
				errs := make([]error, *seeds)
				var all sync.WaitGroup
				for i := range reports {
					play := func() {
						if *sockets {
							reports[i], errs[i] = p.runProcesses(uint64(i + 1))
						} else {
							reports[i], errs[i] = p.simulate(uint64(i + 1))
						}
					}
					if *sockets {
						play()
					} else {
						all.Go(play)
					}
				}
				all.Wait()
				for _, err := range errs {
					if err != nil {
						return err
					}
				}
				printOverloadRow(os.Stdout, name, n, how, reports)
				if *keep != "" {
					if err := writeLoad(*keep, name, n, how, reports[0]); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

// overloadRun describes runs that differ only in their seed.
type overloadRun struct {
	name             string
	ingresses, nodes int
	planners         int
	length           time.Duration
	cfg              loadshed.Config
}

// simulate runs the scenario in virtual time.
func (p overloadRun) simulate(seed uint64) (*oracle.Report, error) {
	cfg, err := simulation.MakeWithSizes(p.name, p.planners > 0, p.ingresses, p.nodes, seed, p.length.Seconds())
	if err != nil {
		return nil, err
	}
	cfg.Overload = p.cfg
	if p.planners > 0 {
		cfg.Planners = p.planners
	}
	return simulation.New(cfg).Run(), nil
}

// runProcesses runs the scenario with real processes on sockets.
func (p overloadRun) runProcesses(seed uint64) (*oracle.Report, error) {
	dir, err := os.MkdirTemp("", "testbed")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	sc := testbed.Scenario{Length: p.length, NodeCount: p.nodes, FleetConfig: testbed.FleetConfig{Forwarders: p.ingresses, Planners: p.planners, Nodes: p.nodes, Classes: testbed.LabClasses, Plans: testbed.LabPlans,
		Node: testbed.LabNode, Seed: seed, Dir: dir, Spawn: spawner(self)}}
	if p.cfg.Enabled {
		sc.Operator = "[overload]\non = true\n"
	}
	if err := testbed.ApplyScenario(p.name, &sc, nil, 0); err != nil {
		return nil, err
	}
	_, report, err := testbed.Run(sc, io.Discard)
	return report, err
}

// printOverloadRow prints the table row of runs of one kind. Violations and starved accounts are totals over the runs, and the recovery
// time is the longest one; 99 means that a run did not recover. All other figures are means.
func printOverloadRow(w io.Writer, name string, n int, how string, reports []*oracle.Report) {
	m, spreads := oracle.Load{Classes: map[string]float64{}, LevelSpread: &oracle.LevelSpread{}}, 0.0
	violations, fairness, boundFraction := 0, 0.0, 0.0
	k := 1 / float64(len(reports))
	recoveryS := 0.0
	for _, r := range reports {
		for _, c := range r.ViolationCounts {
			violations += c
		}
		l := r.Load
		if l == nil {
			continue
		}
		m.Demand, m.Goal, m.Overall, m.WorstInterval = m.Demand+k*l.Demand, m.Goal+k*l.Goal, m.Overall+k*l.Overall, m.WorstInterval+k*l.WorstInterval
		m.WorstDecile, m.SlowFraction, m.WastedFraction, m.RequestsPerOriginal, m.StarvedAccounts = m.WorstDecile+k*l.WorstDecile, m.SlowFraction+k*l.SlowFraction, m.WastedFraction+k*l.WastedFraction, m.RequestsPerOriginal+k*l.RequestsPerOriginal, m.StarvedAccounts+l.StarvedAccounts
		m.Utilization += k * l.Utilization
		if s := l.LevelSpread; s != nil {
			spreads++
			m.LevelSpread.DetectionS, m.LevelSpread.Spread, m.LevelSpread.Swing = m.LevelSpread.DetectionS+s.DetectionS, m.LevelSpread.Spread+s.Spread, m.LevelSpread.Swing+s.Swing
		}
		for name, x := range l.Classes {
			m.Classes[name] += k * x
		}
		fairness, boundFraction = fairness+k*l.Fairness(), boundFraction+k*l.Goal/max(l.UpperBound, 1e-9)
		if recoveryS = max(recoveryS, l.RecoveryS); l.RecoveryS < 0 {
			recoveryS = 99
		}
	}
	levels := " | | "
	if spreads > 0 {
		levels = fmt.Sprintf("%.1f | %.2f | %.2f", m.LevelSpread.DetectionS/spreads, m.LevelSpread.Spread/spreads, m.LevelSpread.Swing/spreads)
	}
	var classes []string
	for _, name := range slices.Sorted(maps.Keys(m.Classes)) {
		classes = append(classes, fmt.Sprintf("%.2f", m.Classes[name]))
	}
	fmt.Fprintf(w, "| %s | %d | %s | %.2f | %.3f | %.3f | %.3f | %.3f | %.2f | %.3f | %d | %.3f | %.3f | %.2f | %.2f | %s | %s | %.0f | %d |\n", name, n, how, m.Demand, m.Goal, boundFraction, m.Overall,
		m.WorstInterval, fairness, m.WorstDecile, m.StarvedAccounts, m.SlowFraction, m.WastedFraction, m.RequestsPerOriginal, m.Utilization, strings.Join(classes, " / "), levels, recoveryS, violations)
}

// writeLoad writes the figures of one run to a JSON file in dir.
func writeLoad(dir, name string, n int, how string, report *oracle.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.Marshal(report.Load)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, fmt.Sprintf("%s-%d-%s.json", name, n, strings.ReplaceAll(how, " ", "-"))), text, 0o644)
}
