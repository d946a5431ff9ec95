package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"eiderspread/internal/fleet"
	"eiderspread/internal/lab"
)

func runLab(args []string) error {
	set := flag.NewFlagSet("lab", flag.ContinueOnError)
	forwarders := set.Int("forwarders", 20, "forwarders, or one-program ingresses with -planners 0")
	planners := set.Int("planners", 3, "planners; 0 for a fleet of one level")
	nodes := set.Int("nodes", 10, "zone nodes")
	length := set.Duration("for", time.Minute, "how long clients ask")
	faults := set.Bool("faults", true, "have things go wrong")
	every := set.Duration("every", 2*time.Second, "mean time between two faults")
	kinds := set.String("kinds", "", "faults to choose from: kill, term, pause, cut, split, lone, all, forwarder, drain")
	seed := set.Uint64("seed", 1, "of accounts, traffic and faults")
	scale := set.Float64("scale", 1, "of the number of accounts")
	spread := set.Int("spread", 4, "forwarders that an account comes through")
	dir := set.String("dir", "", "where files and logs go (a new folder)")
	cost := set.Bool("cost", false, "measure what a request costs, without faults, at -sizes")
	sizes := set.String("sizes", "5/0,5/3", "with -cost: forwarders/planners, by commas; 0 planners for one level")
	failsafes := set.Int("failsafes", 0, "stop all planners so many times, and measure the time into the fail-safe and back")
	deaths := set.Int("deaths", 0, "kill a planner so many times, and measure the time until all cells are led again")
	plan := set.Float64("rate", 1, "of what each account asks")
	if err := set.Parse(args); err != nil {
		return err
	}
	if *dir == "" {
		var err error
		if *dir, err = os.MkdirTemp("", "eiderfleet"); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(*dir, 0o700); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	n := func(x int) int { return max(1, int(float64(x)**scale)) }
	sc := lab.Scenario{Length: *length, Faults: *faults, Every: *every,
		Accounts: lab.Accounts(n(20), n(10), n(3), *forwarders, *spread, *seed),
		FleetConfig: lab.FleetConfig{Forwarders: *forwarders, Planners: *planners, Nodes: *nodes, Classes: lab.LabClasses,
			Plans: lab.LabPlans, Node: lab.LabNode, Seed: *seed, Dir: *dir, Params: fleet.Params{},
			Spawn: func(kind, file string) *exec.Cmd {
				if kind == "ingress" {
					c := exec.Command(filepath.Join(filepath.Dir(self), "eiderspread"))
					c.Env = append(os.Environ(), "EDGE_CONFIG="+file)
					return c
				}
				return exec.Command(self, kind, file)
			}}}
	if *kinds != "" {
		sc.Kinds = strings.Split(*kinds, ",")
	}
	for i := range sc.Accounts {
		sc.Accounts[i].Rate *= *plan
	}
	if *failsafes > 0 {
		into, back, err := lab.Failsafes(sc.FleetConfig, *failsafes)
		if err != nil {
			return err
		}
		fmt.Printf("%d cores, %d forwarders, %d planners, %d times: into the fail-safe median %v, worst %v; led again median %v, worst %v\n",
			runtime.NumCPU(), *forwarders, *planners, len(into), into[len(into)/2].Round(time.Millisecond), into[len(into)-1].Round(time.Millisecond),
			back[len(back)/2].Round(time.Millisecond), back[len(back)-1].Round(time.Millisecond))
		return nil
	}
	if *deaths > 0 {
		back, err := lab.Deaths(sc.FleetConfig, *deaths)
		if err != nil {
			return err
		}
		fmt.Printf("%d cores, %d forwarders, %d planners, %d deaths: led again median %v, worst %v\n", runtime.NumCPU(), *forwarders, *planners,
			len(back), back[len(back)/2].Round(time.Millisecond), back[len(back)-1].Round(time.Millisecond))
		return nil
	}
	if *cost {
		fmt.Printf("%d cores, %d nodes, %d accounts, %v, seed %d\n%s\n", runtime.NumCPU(), *nodes, len(sc.Accounts), *length, *seed, lab.CostHeader)
		for _, size := range strings.Split(*sizes, ",") {
			if _, err := fmt.Sscanf(size, "%d/%d", &sc.Forwarders, &sc.Planners); err != nil {
				return fmt.Errorf("size %q: %w", size, err)
			}
			sc.Accounts = lab.Accounts(n(20), n(10), n(3), sc.Forwarders, *spread, *seed)
			for i := range sc.Accounts {
				sc.Accounts[i].Rate *= *plan
			}
			sc.Dir = filepath.Join(*dir, strings.ReplaceAll(size, "/", "-"))
			if err := os.MkdirAll(sc.Dir, 0o700); err != nil {
				return err
			}
			c, rep, err := lab.MeasureCost(sc, 3*time.Second)
			if err != nil {
				return err
			}
			c.Print(os.Stdout, size)
			if len(rep.Breaches) > 0 {
				rep.Print(os.Stdout)
			}
		}
		return nil
	}
	fmt.Printf("%d cores, %d forwarders, %d planners, %d nodes, %d accounts, %v, seed %d, faults %v; logs in %s\n",
		runtime.NumCPU(), *forwarders, *planners, *nodes, len(sc.Accounts), *length, *seed, *faults, *dir)
	f, rep, err := lab.Run(sc, os.Stdout)
	if err != nil {
		return err
	}
	rep.Print(os.Stdout)
	var fc, pc time.Duration
	for _, p := range f.Forwarders {
		fc += p.CPU()
	}
	for _, p := range f.Planners {
		pc += p.CPU()
	}
	fmt.Printf("CPU a try: forwarders %.0f us, planners %.0f us\n", fc.Seconds()*1e6/float64(max(rep.Tries, 1)),
		pc.Seconds()*1e6/float64(max(rep.Tries, 1)))
	if len(rep.Breaches) > 0 {
		return fmt.Errorf("%d breaches", len(rep.Breaches))
	}
	return nil
}
