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

// overloadHeader is the head of the table of runs under overload.
const overloadHeader = "| scenario | ingresses | decided | asked | goal | of the bound | whole | worst 10 s | worst plan of best | worst tenth | starved | late | in vain | tries | used | classes | known s | spread | swing | back s | breaches |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// runOverload plays scenarios of overload with the fleet deciding on it as one, and without, by turns, and prints a table.
func runOverload(args []string) error {
	set := flag.NewFlagSet("overload", flag.ContinueOnError)
	scenarios := set.String("scenarios", "overload-low,overload,overload-high", "by commas")
	sizes := set.String("ingresses", "8", "how many, by commas")
	planners := set.Int("planners", 0, "planners; 0 for a fleet of one level")
	nodes := set.Int("nodes", 0, "zone nodes, in place of the scenario's 2")
	seeds := set.Int("seeds", 2, "runs of each, from seed 1 on; the table has their means")
	length := set.Duration("for", 25*time.Second, "of each run")
	sockets := set.Bool("sockets", false, "processes on sockets, one run after the other; else in virtual time")
	only := set.String("decided", "alone,as one", "which of the two, by commas")
	keep := set.String("keep", "", "a folder for the figures of each kind's first run, which decisiontrace overload draws")
	if err := set.Parse(args); err != nil {
		return err
	}
	fmt.Printf("%d cores, %v a run, %d seeds, sockets %v\n%s\n", runtime.NumCPU(), *length, *seeds, *sockets, overloadHeader)
	for _, name := range strings.Split(*scenarios, ",") {
		for _, size := range strings.Split(*sizes, ",") {
			n, err := strconv.Atoi(size)
			if err != nil || n < 1 {
				return fmt.Errorf("-ingresses: %q is no number of ingresses", size)
			}
			for _, how := range strings.Split(*only, ",") {
				p := overloadRun{name: name, ingresses: n, planners: *planners, nodes: *nodes, length: *length, cfg: loadshed.Config{Enabled: how == "as one"}}
				reps := make([]*oracle.Report, *seeds)
				errs := make([]error, *seeds)
				var all sync.WaitGroup
				for i := range reps {
					play := func() {
						if *sockets {
							reps[i], errs[i] = p.sockets(uint64(i + 1))
						} else {
							reps[i], errs[i] = p.virtual(uint64(i + 1))
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
				overloadRow(os.Stdout, name, n, how, reps)
				if *keep != "" {
					if err := keepOverload(*keep, name, n, how, reps[0]); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

// overloadRun is one kind of run.
type overloadRun struct {
	name             string
	ingresses, nodes int
	planners         int
	length           time.Duration
	cfg              loadshed.Config
}

func (p overloadRun) virtual(seed uint64) (*oracle.Report, error) {
	cfg, err := simulation.Sized(p.name, p.planners > 0, p.ingresses, p.nodes, seed, p.length.Seconds())
	if err != nil {
		return nil, err
	}
	cfg.Overload = p.cfg
	if p.planners > 0 {
		cfg.Planners = p.planners
	}
	return simulation.New(cfg).Run(), nil
}

func (p overloadRun) sockets(seed uint64) (*oracle.Report, error) {
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
	if err := testbed.Make(p.name, &sc, nil, 0); err != nil {
		return nil, err
	}
	_, rep, err := testbed.Run(sc, io.Discard)
	return rep, err
}

// overloadRow prints the means of some runs.
func overloadRow(w io.Writer, name string, n int, how string, reps []*oracle.Report) {
	m, spreads := oracle.Load{Classes: map[string]float64{}, LevelSpread: &oracle.LevelSpread{}}, 0.0
	breaches, even, share := 0, 0.0, 0.0
	k := 1 / float64(len(reps))
	back := 0.0
	for _, r := range reps {
		for _, c := range r.ViolationCounts {
			breaches += c
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
		even, share = even+k*l.Fairness(), share+k*l.Goal/max(l.UpperBound, 1e-9)
		if back = max(back, l.RecoveryS); l.RecoveryS < 0 {
			back = 99
		}
	}
	held := " | | "
	if spreads > 0 {
		held = fmt.Sprintf("%.1f | %.2f | %.2f", m.LevelSpread.DetectionS/spreads, m.LevelSpread.Spread/spreads, m.LevelSpread.Swing/spreads)
	}
	var classes []string
	for _, name := range slices.Sorted(maps.Keys(m.Classes)) {
		classes = append(classes, fmt.Sprintf("%.2f", m.Classes[name]))
	}
	fmt.Fprintf(w, "| %s | %d | %s | %.2f | %.3f | %.3f | %.3f | %.3f | %.2f | %.3f | %d | %.3f | %.3f | %.2f | %.2f | %s | %s | %.0f | %d |\n", name, n, how, m.Demand, m.Goal, share, m.Overall,
		m.WorstInterval, even, m.WorstDecile, m.StarvedAccounts, m.SlowFraction, m.WastedFraction, m.RequestsPerOriginal, m.Utilization, strings.Join(classes, " / "), held, back, breaches)
}

// keepOverload writes the figures of one run.
func keepOverload(dir, name string, n int, how string, rep *oracle.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.Marshal(rep.Load)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, fmt.Sprintf("%s-%d-%s.json", name, n, strings.ReplaceAll(how, " ", "-"))), text, 0o644)
}
