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

// maxSize bounds the numbers of nodes that sizes are measured at.
const maxSize = 50000

// Accounts by class of plan in a fleet of scale 1, and how many gateways each has.
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
	flags.IntVar(&f.forwarders, "forwarders", 20, "forwarders, or one-program ingresses with -planners 0")
	flags.IntVar(&f.planners, "planners", 3, "planners; 0 for a fleet of one level")
	flags.IntVar(&f.nodes, "nodes", 6, "zone nodes")
	flags.IntVar(&f.members, "members", 3, "members of the etcd cluster")
	flags.DurationVar(&f.length, "for", time.Minute, "how long clients ask")
	flags.DurationVar(&f.every, "every", 600*time.Millisecond, "mean time between two faults")
	flags.Uint64Var(&f.seed, "seed", 1, "of accounts, traffic and faults")
	flags.Float64Var(&f.scale, "scale", 1, "of the number of accounts")
	flags.StringVar(&f.dir, "dir", "", "where files and logs go (a new folder)")
	flags.StringVar(&f.faults, "troubles", "", "troubles of etcd to choose from, by commas; all of them: "+strings.Join(etcdfleet.Troubles(), ", "))
	flags.StringVar(&f.sizes, "sizes", "", "in place of a run, measure agent and ingress at these numbers of nodes, by commas, -for each")
	flags.BoolVar(&f.quiet, "quiet", false, "do not print each fault")
	return f, flags.Parse(args)
}

// runLab runs a fleet whose endpoint list comes from the stand-in for etcd through agents, while etcd breaks, and returns the oracle's
// verdict. The programs fleet and eiderspread must be in this program's folder.
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
		return etcdfleet.Sizes(sizes, f.length, f.seed, f.dir, spawner(self), out)
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
	rig.Use(&scenario.FleetConfig)
	etcdfleet.Play(rig)
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
	fmt.Fprintf(out, "the laboratory was %v late at worst\n", fleet.Hist.MaxLateness.Round(time.Millisecond))
	return report.Verdict()
}

// scenario is the run that the flags describe.
func (f labFlags) scenario(self string) (testbed.Scenario, error) {
	scaled := func(n int) int { return max(1, int(float64(n)*f.scale)) }
	scenario := testbed.Scenario{Length: f.length,
		Accounts: testbed.Accounts(scaled(smallAccounts), scaled(mediumAccounts), scaled(largeAccounts), f.forwarders, gatewaysPerAccount, f.seed),
		FleetConfig: testbed.FleetConfig{Forwarders: f.forwarders, Planners: f.planners, Nodes: f.nodes, Classes: testbed.LabClasses,
			Plans: testbed.LabPlans, Node: testbed.LabNode, Seed: f.seed, Dir: f.dir, Spawn: spawner(self)}}
	return scenario, testbed.Make("etcd", &scenario, etcdfleet.Kinds, f.every)
}

// parseSizes reads numbers of nodes, by commas.
func parseSizes(text string) ([]int, error) {
	var sizes []int
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 || n > maxSize {
			return nil, fmt.Errorf("sizes: %q is no number of nodes, 1 to %d", part, maxSize)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// selectFaults has the rig play some faults alone, by commas; empty stands for all.
func selectFaults(rig *etcdfleet.Rig, names string) error {
	if names == "" {
		return nil
	}
	rig.Only = strings.Split(names, ",")
	for _, name := range rig.Only {
		if !slices.Contains(etcdfleet.Troubles(), name) {
			return fmt.Errorf("unknown trouble %q; known are %s", name, strings.Join(etcdfleet.Troubles(), ", "))
		}
	}
	return nil
}

// spawner starts the programs under test: this one, and those in its folder.
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
