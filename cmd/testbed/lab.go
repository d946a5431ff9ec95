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

// costWarmUp is how long a fleet runs before what a request costs is measured.
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

	set *flag.FlagSet // the flags as they were given, for a recorded run
}

func parseLabOptions(args []string) (o labOptions, err error) {
	set := flag.NewFlagSet("lab", flag.ContinueOnError)
	o.set = set
	set.IntVar(&o.forwarders, "forwarders", 20, "forwarders, or one-program ingresses with -planners 0")
	set.IntVar(&o.planners, "planners", 3, "planners; 0 for a fleet of one level")
	set.IntVar(&o.nodes, "nodes", 10, "zone nodes")
	set.DurationVar(&o.length, "for", time.Minute, "how long clients ask")
	set.StringVar(&o.scenario, "scenario", "storm", "what goes wrong, one of:\n"+strings.Join(testbed.ScenarioNames(), "\n"))
	set.DurationVar(&o.every, "every", 0, "mean time between two faults, in place of the scenario's")
	set.IntVar(&o.upgrades, "upgrades", 0, "upgrade the whole fleet so many times meanwhile, program by program")
	set.StringVar(&o.kinds, "kinds", "", "faults to choose from, by commas, in place of the scenario's:\n"+strings.Join(testbed.KindNames(), "\n"))
	set.StringVar(&o.recordFile, "record", "", "keep the run in this file, for testbed judge, replay and shrink")
	set.StringVar(&o.replayFile, "replay", "", "play the faults that this file of -record holds")
	set.Uint64Var(&o.seed, "seed", 1, "of accounts, traffic and faults")
	set.Float64Var(&o.scale, "scale", 2, "of the number of accounts")
	set.IntVar(&o.spread, "spread", 4, "forwarders that an account comes through")
	set.StringVar(&o.dir, "dir", "", "where files and logs go (a new folder)")
	set.BoolVar(&o.cost, "cost", false, "measure what a request costs, without faults, at -sizes")
	set.StringVar(&o.sizes, "sizes", "5/0,5/3", "with -cost: forwarders/planners, by commas; 0 planners for one level")
	set.IntVar(&o.failsafes, "failsafes", 0, "stop all planners so many times, and measure the time into the fail-safe and back")
	set.IntVar(&o.deaths, "deaths", 0, "kill a planner so many times, and measure the time until all cells are led again")
	set.BoolVar(&o.shedding, "overload", false, "ingresses or planners shed load as one")
	set.Float64Var(&o.rate, "rate", 1, "of what each account asks")
	return o, set.Parse(args)
}

func runLab(args []string) error {
	report, err := labRun(args, os.Stdout)
	if err != nil || report == nil {
		return err
	}
	return report.Verdict()
}

// playRecorded runs what a kept run's arguments say and returns its breaches by rule.
func playRecorded(args []string) (map[string]int, error) {
	report, err := labRun(args, io.Discard)
	if err != nil || report == nil || report.Void != "" {
		return nil, err
	}
	return report.ViolationCounts, nil
}

// labRun does what testbed lab is asked for. Its report is nil where that was a measurement.
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

// newScenario returns a fleet of the size asked for, without faults, and makes its folder.
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
		return sc, errors.New("-upgrades is for fleets of two levels")
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

// accounts returns the accounts of a fleet of so many forwarders.
func (o *labOptions) accounts(forwarders int) []testbed.Account {
	scaled := func(n int) int { return max(1, int(float64(n)*o.scale)) }
	accounts := testbed.Accounts(scaled(20), scaled(10), scaled(3), forwarders, o.spread, o.seed)
	for i := range accounts {
		accounts[i].Rate *= o.rate
	}
	return accounts
}

func (o *labOptions) measureFailsafes(sc testbed.Scenario, out io.Writer) error {
	into, back, err := testbed.Failsafes(sc.FleetConfig, o.failsafes)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d cores, %d forwarders, %d planners, %d times: into the fail-safe %s; led again %s\n", runtime.NumCPU(), o.forwarders,
		o.planners, len(into), medianAndWorst(into), medianAndWorst(back))
	return nil
}

func (o *labOptions) measureDeaths(sc testbed.Scenario, out io.Writer) error {
	back, err := testbed.Deaths(sc.FleetConfig, o.deaths)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d cores, %d forwarders, %d planners, %d deaths: led again %s\n", runtime.NumCPU(), o.forwarders, o.planners, len(back),
		medianAndWorst(back))
	return nil
}

// medianAndWorst describes sorted times.
func medianAndWorst(sorted []time.Duration) string {
	return fmt.Sprintf("median %v, worst %v", sorted[len(sorted)/2].Round(time.Millisecond), sorted[len(sorted)-1].Round(time.Millisecond))
}

// measureCost plays a fleet of each size without faults and prints what a request costs.
func (o *labOptions) measureCost(sc testbed.Scenario, out io.Writer) error {
	fmt.Fprintf(out, "%d cores, %d nodes, %d accounts, %v, seed %d\n%s\n", runtime.NumCPU(), o.nodes, len(sc.Accounts), o.length, o.seed, testbed.CostHeader)
	for size := range strings.SplitSeq(o.sizes, ",") {
		if _, err := fmt.Sscanf(size, "%d/%d", &sc.Forwarders, &sc.Planners); err != nil {
			return fmt.Errorf("size %q: %w", size, err)
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
	microsecondsATry := func(list []*testbed.Proc) float64 {
		var cpu time.Duration
		for _, process := range list {
			cpu += process.CPU()
		}
		return cpu.Seconds() * 1e6 / math.Max(float64(report.Requests), 1)
	}
	fmt.Fprintf(out, "CPU a try: forwarders %.0f us, planners %.0f us; the laboratory was %v late at worst\n", microsecondsATry(fleet.Forwarders),
		microsecondsATry(fleet.Planners), fleet.Hist.MaxLateness.Round(time.Millisecond))
	return report, nil
}

// addFaults gives the scenario its faults: those of its name and kinds, or those of a recorded run.
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
	if err := testbed.Make(o.scenario, sc, kinds, o.every); err != nil {
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

// spawner starts the programs under test, which lie beside this one.
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
