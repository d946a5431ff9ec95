package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
)

// costWarmUp is how long a fleet runs idle before the cost of requests is measured.
const costWarmUp = 3 * time.Second

// labOptions are the flags of the lab command.
type labOptions struct {
	forwarders int
	planners   int
	nodes      int
	length     time.Duration
	scenario   string
	every      time.Duration
	upgrades   int
	kinds      string
	recordFile string
	replayFile string
	seed       uint64
	scale      float64
	spread     int
	dir        string
	cost       bool
	sizes      string
	failsafes  int
	deaths     int
	shedding   bool
	rate       float64

	set *flag.FlagSet // the parsed flags, kept for recording the run
}

func parseLabOptions(args []string) (o labOptions, err error) {
	set := flag.NewFlagSet("lab", flag.ContinueOnError)
	o.set = set
	set.IntVar(&o.forwarders, "forwarders", 20, "number of forwarders or, with -planners 0, of single-process ingresses")
	set.IntVar(&o.planners, "planners", 3, "number of planners; 0 for a single-level fleet")
	set.IntVar(&o.nodes, "nodes", 10, "number of nodes")
	set.DurationVar(&o.length, "for", time.Minute, "duration of client traffic")
	set.StringVar(&o.scenario, "scenario", "storm", "scenario of faults and traffic, one of:\n"+strings.Join(testbed.ScenarioNames(), "\n"))
	set.DurationVar(&o.every, "every", 0, "mean time between two faults; 0: the scenario's own")
	set.IntVar(&o.upgrades, "upgrades", 0, "number of upgrades of the whole fleet during the run, program by program")
	set.StringVar(&o.kinds, "kinds", "", "kinds of faults to choose from, separated by commas, instead of the scenario's own:\n"+strings.Join(testbed.KindNames(), "\n"))
	set.StringVar(&o.recordFile, "record", "", "record the run in this file, for testbed judge, lab -replay and testbed shrink")
	set.StringVar(&o.replayFile, "replay", "", "inject the faults from this file of -record instead of the scenario's")
	set.Uint64Var(&o.seed, "seed", 1, "seed of accounts, traffic and faults")
	set.Float64Var(&o.scale, "scale", 2, "factor on the number of accounts")
	set.IntVar(&o.spread, "spread", 4, "number of forwarders that each account uses")
	set.StringVar(&o.dir, "dir", "", "directory for files and logs; empty: a new temporary one")
	set.BoolVar(&o.cost, "cost", false, "measure the cost per request, without faults, at each of -sizes")
	set.StringVar(&o.sizes, "sizes", "5/0,5/3", "with -cost: fleets as forwarders/planners, separated by commas; 0 planners for a single-level fleet")
	set.IntVar(&o.failsafes, "failsafes", 0, "pause and resume all planners this many times and measure the time until the fail-safe and until all cells have a leader again; 0: off")
	set.IntVar(&o.deaths, "deaths", 0, "kill a planner this many times and measure the time until all cells have a leader again; 0: off")
	set.BoolVar(&o.shedding, "overload", false, "ingresses or planners shed load, coordinated across the fleet")
	set.Float64Var(&o.rate, "rate", 1, "factor on the request rate of each account")
	return o, set.Parse(args)
}

func runLab(args []string) error {
	report, err := labRun(args, os.Stdout)
	if err != nil || report == nil {
		return err
	}
	return report.Verdict()
}

// replayArgs runs testbed lab with the arguments of a recorded run and returns the number of violations by rule. It returns nil without an
// error for a measurement and for a void run.
func replayArgs(args []string) (map[string]int, error) {
	report, err := labRun(args, io.Discard)
	if err != nil || report == nil || report.Void != "" {
		return nil, err
	}
	return report.ViolationCounts, nil
}

// labRun executes testbed lab. It returns the oracle's report of the run, nil for a measurement (-failsafes, -deaths, -cost).
func labRun(args []string, out io.Writer) (*oracle.Report, error) {
	o, err := parseLabOptions(args)
	if err != nil {
		return nil, err
	}
	scenario, err := o.newScenario()
	if err != nil {
		return nil, err
	}
	switch {
	case o.failsafes > 0:
		return nil, o.measureFailsafes(scenario, out)
	case o.deaths > 0:
		return nil, o.measureDeaths(scenario, out)
	case o.cost:
		return nil, o.measureCost(scenario, out)
	}
	return o.play(scenario, out)
}

// newScenario returns a scenario with a fleet of the requested size and no faults. It creates the directory for the fleet's files.
func (o *labOptions) newScenario() (sc testbed.Scenario, err error) {
	if o.dir == "" {
		if o.dir, err = os.MkdirTemp("", "testbed"); err != nil {
			return sc, err
		}
	}
	if err := os.MkdirAll(o.dir, 0o700); err != nil {
		return sc, err
	}
	self, err := os.Executable()
	if err != nil {
		return sc, err
	}
	if o.upgrades > 0 && o.planners == 0 {
		return sc, errors.New("-upgrades needs a two-level fleet, but -planners is 0")
	}
	return testbed.Scenario{
		Length:   o.length,
		Upgrades: o.upgrades,
		Accounts: o.accounts(o.forwarders),
		FleetConfig: testbed.FleetConfig{
			Forwarders: o.forwarders,
			Planners:   o.planners,
			Nodes:      o.nodes,
			Classes:    testbed.LabClasses,
			Plans:      testbed.LabPlans,
			Node:       testbed.LabNode,
			Seed:       o.seed,
			Dir:        o.dir,
			Params:     topology.Params{},
			Spawn:      spawner(self),
		},
	}, nil
}

// accounts returns the accounts of a fleet with the given number of forwarders, scaled by -scale and -rate.
func (o *labOptions) accounts(forwarders int) []testbed.Account {
	scaled := func(n int) int { return max(1, int(float64(n)*o.scale)) }
	accounts := testbed.Accounts(scaled(20), scaled(10), scaled(3), forwarders, o.spread, o.seed)
	for i := range accounts {
		accounts[i].Rate *= o.rate
	}
	return accounts
}

func (o *labOptions) measureFailsafes(sc testbed.Scenario, out io.Writer) error {
	into, back, err := testbed.MeasureFailsafes(sc.FleetConfig, o.failsafes)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d cores, %d forwarders, %d planners, all paused %d times: fail-safe after %s; all cells led again after %s\n", runtime.NumCPU(), o.forwarders,
		o.planners, len(into), medianAndWorst(into), medianAndWorst(back))
	return nil
}

func (o *labOptions) measureDeaths(sc testbed.Scenario, out io.Writer) error {
	back, err := testbed.MeasureTakeovers(sc.FleetConfig, o.deaths)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d cores, %d forwarders, %d planners, one killed %d times: all cells led again after %s\n", runtime.NumCPU(), o.forwarders, o.planners, len(back),
		medianAndWorst(back))
	return nil
}

// medianAndWorst formats the median and the maximum of durations in ascending order.
func medianAndWorst(sorted []time.Duration) string {
	return fmt.Sprintf("median %v, worst %v", sorted[len(sorted)/2].Round(time.Millisecond), sorted[len(sorted)-1].Round(time.Millisecond))
}

// measureCost runs a fleet of each size without faults and prints the cost per request.
func (o *labOptions) measureCost(sc testbed.Scenario, out io.Writer) error {
	fmt.Fprintf(out, "%d cores, %d nodes, %d accounts, %v, seed %d\n%s\n", runtime.NumCPU(), o.nodes, len(sc.Accounts), o.length, o.seed, testbed.CostHeader)
	for size := range strings.SplitSeq(o.sizes, ",") {
		if _, err := fmt.Sscanf(size, "%d/%d", &sc.Forwarders, &sc.Planners); err != nil {
			return fmt.Errorf("size %q is not of the form forwarders/planners: %w", size, err)
		}
		sc.Accounts = o.accounts(sc.Forwarders)
		sc.Dir = filepath.Join(o.dir, strings.ReplaceAll(size, "/", "-"))
		if err := os.MkdirAll(sc.Dir, 0o700); err != nil {
			return err
		}
		cost, report, err := testbed.MeasureCost(sc, costWarmUp)
		if err != nil {
			return err
		}
		cost.Print(out, size)
		if len(report.Violations) > 0 {
			report.Print(out)
		}
	}
	return nil
}

// play runs the fleet under the scenario's faults and prints the oracle's report.
func (o *labOptions) play(sc testbed.Scenario, out io.Writer) (*oracle.Report, error) {
	if err := o.addFaults(&sc); err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "%s: %d cores, %d forwarders, %d planners, %d nodes, %d accounts, %v, seed %d, %d faults; logs in %s\n", o.scenario,
		runtime.NumCPU(), o.forwarders, o.planners, sc.Nodes, len(sc.Accounts), o.length, o.seed, len(sc.Faults), o.dir)
	fleet, report, err := testbed.Run(sc, out)
	if err != nil {
		return nil, err
	}
	if o.recordFile != "" {
		if err := writeRun(o.recordFile, o.set, sc, fleet); err != nil {
			return nil, err
		}
	}
	report.Print(out)
	microsecondsPerRequest := func(list []*testbed.Proc) float64 {
		var cpu time.Duration
		for _, process := range list {
			cpu += process.CPU()
		}
		return cpu.Seconds() * 1e6 / math.Max(float64(report.Requests), 1)
	}
	fmt.Fprintf(out, "CPU per request: forwarders %.0f us, planners %.0f us; the testbed itself was up to %v late\n", microsecondsPerRequest(fleet.Forwarders),
		microsecondsPerRequest(fleet.Planners), fleet.Hist.MaxLateness.Round(time.Millisecond))
	return report, nil
}

// addFaults completes the scenario by its name, with faults of its own kinds, or of -kinds, at the intervals of -every. With -replay the
// faults of the recorded run replace them.
func (o *labOptions) addFaults(sc *testbed.Scenario) error {
	var kinds []string
	if o.kinds != "" {
		kinds = strings.Split(o.kinds, ",")
		if err := testbed.CheckKinds(kinds); err != nil {
			return err
		}
	}
	if o.shedding {
		sc.Operator = "[overload]\non = true\n"
	}
	if err := testbed.ApplyScenario(o.scenario, sc, kinds, o.every); err != nil {
		return err
	}
	if o.replayFile == "" {
		return nil
	}
	recorded, err := readRun(o.replayFile)
	if err != nil {
		return err
	}
	sc.Faults = recorded.Faults
	return nil
}

// spawner returns a function that prepares the command of a program under test. The programs must be in this program's directory.
func spawner(self string) testbed.Spawn {
	return func(kind, file string) *exec.Cmd {
		if kind == "ingress" {
			c := exec.Command(filepath.Join(filepath.Dir(self), "eiderspread"))
			c.Env = append(os.Environ(), "EDGE_CONFIG="+file)
			return c
		}
		return exec.Command(filepath.Join(filepath.Dir(self), "fleet"), kind, file)
	}
}
