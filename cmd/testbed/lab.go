package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
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

func runLab(args []string) error {
	rep, err := labRun(args, os.Stdout)
	if err != nil || rep == nil {
		return err
	}
	return rep.Verdict()
}

// playKept runs what a kept run's arguments say and returns its breaches by rule.
func playKept(args []string) (map[string]int, error) {
	rep, err := labRun(args, io.Discard)
	if err != nil || rep == nil || rep.Void != "" {
		return nil, err
	}
	return rep.ViolationCounts, nil
}

// labRun does what testbed lab is asked for. Its report is nil where that was a measurement.
func labRun(args []string, w io.Writer) (*oracle.Report, error) {
	set := flag.NewFlagSet("lab", flag.ContinueOnError)
	forwarders := set.Int("forwarders", 20, "forwarders, or one-program ingresses with -planners 0")
	planners := set.Int("planners", 3, "planners; 0 for a fleet of one level")
	nodes := set.Int("nodes", 10, "zone nodes")
	length := set.Duration("for", time.Minute, "how long clients ask")
	scenario := set.String("scenario", "storm", "what goes wrong, one of:\n"+strings.Join(testbed.ScenarioNames(), "\n"))
	every := set.Duration("every", 0, "mean time between two faults, in place of the scenario's")
	upgrades := set.Int("upgrades", 0, "upgrade the whole fleet so many times meanwhile, program by program")
	kinds := set.String("kinds", "", "faults to choose from, by commas, in place of the scenario's:\n"+strings.Join(testbed.KindNames(), "\n"))
	record := set.String("record", "", "keep the run in this file, for testbed judge, replay and shrink")
	replay := set.String("replay", "", "play the faults that this file of -record holds")
	seed := set.Uint64("seed", 1, "of accounts, traffic and faults")
	scale := set.Float64("scale", 2, "of the number of accounts")
	spread := set.Int("spread", 4, "forwarders that an account comes through")
	dir := set.String("dir", "", "where files and logs go (a new folder)")
	cost := set.Bool("cost", false, "measure what a request costs, without faults, at -sizes")
	sizes := set.String("sizes", "5/0,5/3", "with -cost: forwarders/planners, by commas; 0 planners for one level")
	failsafes := set.Int("failsafes", 0, "stop all planners so many times, and measure the time into the fail-safe and back")
	deaths := set.Int("deaths", 0, "kill a planner so many times, and measure the time until all cells are led again")
	shed := set.Bool("overload", false, "ingresses or planners decide on overload as one")
	plan := set.Float64("rate", 1, "of what each account asks")
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	if *dir == "" {
		var err error
		if *dir, err = os.MkdirTemp("", "testbed"); err != nil {
			return nil, err
		}
	}
	if err := os.MkdirAll(*dir, 0o700); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if *upgrades > 0 && *planners == 0 {
		return nil, errors.New("-upgrades is for fleets of two levels")
	}
	n := func(x int) int { return max(1, int(float64(x)**scale)) }
	sc := testbed.Scenario{Length: *length, Upgrades: *upgrades,
		Accounts: testbed.Accounts(n(20), n(10), n(3), *forwarders, *spread, *seed),
		FleetConfig: testbed.FleetConfig{Forwarders: *forwarders, Planners: *planners, Nodes: *nodes, Classes: testbed.LabClasses,
			Plans: testbed.LabPlans, Node: testbed.LabNode, Seed: *seed, Dir: *dir, Params: topology.Params{},
			Spawn: spawner(self)}}
	for i := range sc.Accounts {
		sc.Accounts[i].Rate *= *plan
	}
	if *failsafes > 0 {
		into, back, err := testbed.Failsafes(sc.FleetConfig, *failsafes)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "%d cores, %d forwarders, %d planners, %d times: into the fail-safe median %v, worst %v; led again median %v, worst %v\n",
			runtime.NumCPU(), *forwarders, *planners, len(into), into[len(into)/2].Round(time.Millisecond), into[len(into)-1].Round(time.Millisecond),
			back[len(back)/2].Round(time.Millisecond), back[len(back)-1].Round(time.Millisecond))
		return nil, nil
	}
	if *deaths > 0 {
		back, err := testbed.Deaths(sc.FleetConfig, *deaths)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "%d cores, %d forwarders, %d planners, %d deaths: led again median %v, worst %v\n", runtime.NumCPU(), *forwarders, *planners,
			len(back), back[len(back)/2].Round(time.Millisecond), back[len(back)-1].Round(time.Millisecond))
		return nil, nil
	}
	if *cost {
		fmt.Fprintf(w, "%d cores, %d nodes, %d accounts, %v, seed %d\n%s\n", runtime.NumCPU(), *nodes, len(sc.Accounts), *length, *seed, testbed.CostHeader)
		for _, size := range strings.Split(*sizes, ",") {
			if _, err := fmt.Sscanf(size, "%d/%d", &sc.Forwarders, &sc.Planners); err != nil {
				return nil, fmt.Errorf("size %q: %w", size, err)
			}
			sc.Accounts = testbed.Accounts(n(20), n(10), n(3), sc.Forwarders, *spread, *seed)
			for i := range sc.Accounts {
				sc.Accounts[i].Rate *= *plan
			}
			sc.Dir = filepath.Join(*dir, strings.ReplaceAll(size, "/", "-"))
			if err := os.MkdirAll(sc.Dir, 0o700); err != nil {
				return nil, err
			}
			c, rep, err := testbed.MeasureCost(sc, 3*time.Second)
			if err != nil {
				return nil, err
			}
			c.Print(w, size)
			if len(rep.Violations) > 0 {
				rep.Print(w)
			}
		}
		return nil, nil
	}
	var chosen []string
	if *kinds != "" {
		chosen = strings.Split(*kinds, ",")
		if err := testbed.CheckKinds(chosen); err != nil {
			return nil, err
		}
	}
	if *shed {
		sc.Operator = "[overload]\non = true\n"
	}
	if err := testbed.Make(*scenario, &sc, chosen, *every); err != nil {
		return nil, err
	}
	if *replay != "" {
		was, err := readRun(*replay)
		if err != nil {
			return nil, err
		}
		sc.Faults = was.Faults
	}
	fmt.Fprintf(w, "%s: %d cores, %d forwarders, %d planners, %d nodes, %d accounts, %v, seed %d, %d faults; logs in %s\n", *scenario,
		runtime.NumCPU(), *forwarders, *planners, sc.Nodes, len(sc.Accounts), *length, *seed, len(sc.Faults), *dir)
	f, rep, err := testbed.Run(sc, w)
	if err != nil {
		return nil, err
	}
	if *record != "" {
		if err := writeRun(*record, set, sc, f); err != nil {
			return nil, err
		}
	}
	rep.Print(w)
	var fc, pc time.Duration
	for _, p := range f.Forwarders {
		fc += p.CPU()
	}
	for _, p := range f.Planners {
		pc += p.CPU()
	}
	fmt.Fprintf(w, "CPU a try: forwarders %.0f us, planners %.0f us; the laboratory was %v late at worst\n", fc.Seconds()*1e6/float64(max(rep.Requests, 1)),
		pc.Seconds()*1e6/float64(max(rep.Requests, 1)), f.Hist.MaxLateness.Round(time.Millisecond))
	return rep, nil
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
