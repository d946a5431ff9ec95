package main

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
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

// maxShrinkTime bounds the search for the faults that a violation needs.
const maxShrinkTime = time.Minute

// simOptions are the flags of the sim command.
type simOptions struct {
	scenario    string
	planners    int
	forwarders  int
	schedules   int
	firstSeed   uint64
	length      time.Duration
	jobs        int
	shrink      bool
	traceFolder string
	shedding    bool
	rule        string
}

func parseSimOptions(args []string) (o simOptions, err error) {
	set := flag.NewFlagSet("sim", flag.ContinueOnError)
	set.StringVar(&o.scenario, "scenario", "storm", "one of: "+strings.Join(firstWords(testbed.ScenarioNames()), ", "))
	set.IntVar(&o.planners, "planners", 3, "3 for a two-level fleet, 0 for a single-level fleet")
	set.IntVar(&o.forwarders, "forwarders", 0, "number of forwarders or, with -planners 0, of single-process ingresses; 0: 5 forwarders or 4 ingresses")
	set.IntVar(&o.schedules, "schedules", 20, "number of schedules")
	set.Uint64Var(&o.firstSeed, "seed", 1, "seed of the first schedule; each further schedule adds 1")
	set.DurationVar(&o.length, "for", 30*time.Second, "virtual duration of each schedule")
	set.IntVar(&o.jobs, "jobs", runtime.NumCPU(), "number of schedules to run at a time")
	set.BoolVar(&o.shrink, "shrink", true, "stop after a failed schedule and reduce it to the faults that its violation needs")
	set.StringVar(&o.traceFolder, "trace", "", "directory for the decisions of the first schedule's ingresses or planners, for decisiontrace; empty: off")
	set.BoolVar(&o.shedding, "overload", false, "ingresses or planners shed load, coordinated across the fleet")
	set.StringVar(&o.rule, "rule", "", "count a schedule as failed only if it violates this rule; empty: any rule")
	return o, set.Parse(args)
}

// fails reports whether the report has a violation of the rule of -rule, or of any rule without -rule.
func (o simOptions) fails(report *oracle.Report) bool {
	if o.rule == "" {
		return len(report.ViolationCounts) > 0
	}
	return report.ViolationCounts[o.rule] > 0
}

// simRun runs the schedules of one sim command. mu guards the fields below it.
type simRun struct {
	simOptions
	began time.Time
	next  atomic.Uint64 // number of schedules started

	mu     sync.Mutex
	size   int // number of forwarders in a schedule
	totals simTotals
	failed []simulation.Config
}

// runSim runs schedules of a scenario in virtual time. With -shrink it reduces the first failed schedule to the faults that its violation
// needs.
func runSim(args []string) error {
	options, err := parseSimOptions(args)
	if err != nil {
		return err
	}
	run := &simRun{simOptions: options, began: time.Now(), totals: newSimTotals()}
	var workers sync.WaitGroup
	for range options.jobs {
		workers.Go(run.work)
	}
	workers.Wait()
	run.print()
	if len(run.failed) == 0 {
		return nil
	}
	if first := run.failed[0]; options.shrink && first.Forwarders > 0 {
		run.printShrunk(first)
	}
	return fmt.Errorf("%d schedules failed", len(run.failed))
}

// work runs schedules until all have run or, with -shrink, until one has failed.
func (run *simRun) work() {
	for n := run.next.Add(1) - 1; n < uint64(run.schedules); n = run.next.Add(1) - 1 {
		cfg, report, err := run.play(n)
		run.mu.Lock()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			run.failed = append(run.failed, cfg)
			run.mu.Unlock()
			return
		}
		run.add(cfg, report)
		stop := len(run.failed) > 0 && run.shrink
		run.mu.Unlock()
		if stop {
			return
		}
	}
}

// play runs the n-th schedule. With -trace it writes the decisions of the first schedule.
func (run *simRun) play(n uint64) (simulation.Config, *oracle.Report, error) {
	cfg, err := simulation.MakeOf(run.scenario, run.planners > 0, run.forwarders, run.firstSeed+n, run.length.Seconds())
	if err != nil {
		return cfg, nil, err
	}
	cfg.Overload.Enabled = run.shedding
	var decisions [][]reason.Decision // by gateway
	if n == 0 && run.traceFolder != "" {
		decisions = make([][]reason.Decision, cmp.Or(cfg.Planners, cfg.Forwarders))
		cfg.Trace = func(i int, d reason.Decision) { decisions[i] = append(decisions[i], d) }
	}
	report := simulation.New(cfg).Run()
	cfg.Trace = nil
	return cfg, report, writeTraces(run.traceFolder, cfg, decisions)
}

// add adds a schedule's report to the totals. The caller holds mu.
func (run *simRun) add(cfg simulation.Config, report *oracle.Report) {
	run.size = cfg.Forwarders
	run.totals.add(report)
	if !run.fails(report) {
		return
	}
	run.failed = append(run.failed, cfg)
	if len(run.failed) == 1 {
		fmt.Printf("seed %d after %v: %v\n", cfg.Seed, time.Since(run.began).Round(time.Millisecond), report.Verdict())
	}
}

// played returns the number of schedules that were started.
func (run *simRun) played() int { return min(int(run.next.Load()), run.schedules) }

func (run *simRun) print() {
	fmt.Printf("%s, planners %d: %d schedules of %v from seed %d in %v on %d cores: %d requests, %d attempts, %d schedules failed\n", run.scenario,
		run.planners, run.played(), run.length, run.firstSeed, time.Since(run.began).Round(time.Millisecond), runtime.NumCPU(), run.totals.requests,
		run.totals.attempts, len(run.failed))
	run.totals.print(float64(max(1, run.played())), run.length.Seconds(), float64(max(1, run.size)))
}

// printShrunk reduces a failed schedule to the faults that its violation needs and prints them, with the first violation.
func (run *simRun) printShrunk(cfg simulation.Config) {
	began := time.Now()
	cfg.Faults = simulation.Shrink(cfg.Faults, func(faults []testbed.Fault) bool {
		if time.Since(began) > maxShrinkTime {
			return false
		}
		shorter := cfg
		shorter.Faults = faults
		return run.fails(simulation.New(shorter).Run())
	})
	fmt.Printf("seed %d: the violation needs %d faults:\n", cfg.Seed, len(cfg.Faults))
	for _, fault := range cfg.Faults {
		fmt.Printf("  %8.3f %v\n", fault.At.Seconds(), fault)
	}
	if violations := simulation.New(cfg).Run().Violations; len(violations) > 0 {
		fmt.Printf("  %8.3f %s: %s\n", violations[0].At.Seconds(), violations[0].Rule, violations[0].Detail)
	}
}

// writeTraces writes the decisions of each gateway to its own file. Times are in the schedule's virtual time.
func writeTraces(folder string, cfg simulation.Config, decisions [][]reason.Decision) error {
	for i, list := range decisions {
		f, err := os.Create(filepath.Join(folder, fmt.Sprintf("sim%d-%d.trace", i, cfg.Seed)))
		if err != nil {
			return err
		}
		w, err := trace.NewWriter(f, trace.Header{Name: fmt.Sprint("sim", i), Gateway: i, Gateways: len(decisions), Plans: cfg.Plans, Classes: cfg.Classes})
		if err == nil {
			err = w.Write(list, 0)
		}
		if err = cmp.Or(err, f.Close()); err != nil {
			return err
		}
	}
	return nil
}

// firstWords returns the first word of each line.
func firstWords(list []string) (out []string) {
	for _, line := range list {
		out = append(out, strings.Fields(line)[0])
	}
	return out
}
