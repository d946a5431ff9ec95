package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/etcdfleet"
)

// maxSize is the maximum number of nodes in -sizes.
const maxSize = 50000

// The number of accounts per plan size in a fleet of scale 1, and the number of gateways per account.
const (
	smallAccounts, mediumAccounts, largeAccounts = 20, 10, 3
	gatewaysPerAccount                           = 4
)

// labFlags are the flags of the lab command.
type labFlags struct {
	forwarders, planners, nodes, members int
	length, every                        time.Duration
	seed                                 uint64
	scale                                float64
	dir, faults, sizes                   string
	quiet                                bool
}

func parseLabFlags(args []string) (labFlags, error) {
	var f labFlags
	flags := flag.NewFlagSet("lab", flag.ContinueOnError)
	flags.IntVar(&f.forwarders, "forwarders", 20, "number of forwarders or, with -planners 0, of single-process ingresses")
	flags.IntVar(&f.planners, "planners", 3, "number of planners; 0 for a single-level fleet")
	flags.IntVar(&f.nodes, "nodes", 6, "number of nodes")
	flags.IntVar(&f.members, "members", 3, "number of members of the etcd cluster")
	flags.DurationVar(&f.length, "for", time.Minute, "duration of client traffic, or of each measurement with -sizes")
	flags.DurationVar(&f.every, "every", 600*time.Millisecond, "mean time between two faults")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of accounts, traffic and faults")
	flags.Float64Var(&f.scale, "scale", 1, "factor on the number of accounts")
	flags.StringVar(&f.dir, "dir", "", "new directory for files and logs; empty: a temporary one")
	flags.StringVar(&f.faults, "troubles", "", "faults of etcd to choose from, separated by commas; empty: all of "+strings.Join(etcdfleet.FaultNames(), ", "))
	flags.StringVar(&f.sizes, "sizes", "", "instead of a run, measure agent and ingress for -for at each of these numbers of nodes, separated by commas")
	flags.BoolVar(&f.quiet, "quiet", false, "do not print each fault")
	return f, flags.Parse(args)
}

// runLab runs a fleet that gets its endpoint list from the stand-in for etcd through agents, injects etcd faults, and returns the oracle's
// verdict. With -sizes it measures agent and ingress instead. The programs fleet and eiderspread must be in this program's directory.
func runLab(args []string, out io.Writer) error {
	f, err := parseLabFlags(args)
	if err != nil {
		return err
	}
	if f.dir == "" {
		if f.dir, err = os.MkdirTemp("", "membershipagent"); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if f.sizes != "" {
		sizes, err := parseSizes(f.sizes)
		if err != nil {
			return err
		}
		return etcdfleet.MeasureSizes(sizes, f.length, f.seed, f.dir, spawner(self), out)
	}
	scenario, err := f.scenario(self)
	if err != nil {
		return err
	}
	rig, err := etcdfleet.New(f.dir, f.members)
	if err != nil {
		return err
	}
	defer rig.Close()
	if err := selectFaults(rig, f.faults); err != nil {
		return err
	}
	rig.ConfigureFleet(&scenario.FleetConfig)
	etcdfleet.SetRig(rig)
	fmt.Fprintf(out, "etcd: %d cores, %d members, %d forwarders, %d planners, %d nodes, %d accounts, %v, seed %d, %d faults; logs in %s\n",
		runtime.NumCPU(), f.members, f.forwarders, f.planners, scenario.Nodes, len(scenario.Accounts), f.length, f.seed, len(scenario.Faults), f.dir)
	log := out
	if f.quiet {
		log = io.Discard
	}
	fleet, report, err := testbed.RunWith(scenario, log, func() { rig.Print(out) })
	if err != nil {
		return err
	}
	report.Print(out)
	fmt.Fprintf(out, "the testbed itself was up to %v late\n", fleet.Hist.MaxLateness.Round(time.Millisecond))
	return report.Verdict()
}

// scenario returns the scenario that the flags describe.
func (f labFlags) scenario(self string) (testbed.Scenario, error) {
	scaled := func(n int) int { return max(1, int(float64(n)*f.scale)) }
	scenario := testbed.Scenario{Length: f.length,
		Accounts: testbed.Accounts(scaled(smallAccounts), scaled(mediumAccounts), scaled(largeAccounts), f.forwarders, gatewaysPerAccount, f.seed),
		FleetConfig: testbed.FleetConfig{Forwarders: f.forwarders, Planners: f.planners, Nodes: f.nodes, Classes: testbed.LabClasses,
			Plans: testbed.LabPlans, Node: testbed.LabNode, Seed: f.seed, Dir: f.dir, Spawn: spawner(self)}}
	return scenario, testbed.ApplyScenario("etcd", &scenario, etcdfleet.Kinds, f.every)
}

// parseSizes parses numbers of nodes that are separated by commas.
func parseSizes(text string) ([]int, error) {
	var sizes []int
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 || n > maxSize {
			return nil, fmt.Errorf("sizes: %q is not a number of nodes from 1 to %d", part, maxSize)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// selectFaults restricts the rig to the named faults, separated by commas. Empty names select all.
func selectFaults(rig *etcdfleet.Rig, names string) error {
	if names == "" {
		return nil
	}
	rig.SelectedFaults = strings.Split(names, ",")
	for _, name := range rig.SelectedFaults {
		if !slices.Contains(etcdfleet.FaultNames(), name) {
			return fmt.Errorf("troubles: unknown fault %q, want one of %s", name, strings.Join(etcdfleet.FaultNames(), ", "))
		}
	}
	return nil
}

// spawner returns a function that prepares the commands of the programs under test: this program and those in its directory.
func spawner(self string) testbed.Spawn {
	dir := filepath.Dir(self)
	return func(kind, file string) *exec.Cmd {
		switch kind {
		case "agent":
			return exec.Command(self, "run", file)
		case "ingress":
			c := exec.Command(filepath.Join(dir, "eiderspread"))
			c.Env = append(os.Environ(), "EDGE_CONFIG="+file)
			return c
		}
		return exec.Command(filepath.Join(dir, "fleet"), kind, file)
	}
}
