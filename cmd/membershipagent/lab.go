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

// runLab runs a fleet whose membership comes from the stand-in for etcd through agents, while etcd breaks, and has the auditor
// judge. fleet and eiderspread must lie beside this program.
func runLab(args []string, w io.Writer) error {
	set := flag.NewFlagSet("lab", flag.ContinueOnError)
	forwarders := set.Int("forwarders", 20, "forwarders, or one-program ingresses with -planners 0")
	planners := set.Int("planners", 3, "planners; 0 for a fleet of one level")
	nodes := set.Int("nodes", 6, "zone nodes")
	members := set.Int("members", 3, "members of the etcd cluster")
	length := set.Duration("for", time.Minute, "how long clients ask")
	every := set.Duration("every", 600*time.Millisecond, "mean time between two faults")
	seed := set.Uint64("seed", 1, "of accounts, traffic and faults")
	scale := set.Float64("scale", 1, "of the number of accounts")
	dir := set.String("dir", "", "where files and logs go (a new folder)")
	troubles := set.String("troubles", "", "troubles of etcd to choose from, by commas; all of them: "+strings.Join(etcdfleet.Troubles(), ", "))
	sizes := set.String("sizes", "", "in place of a run, measure agent and ingress at these numbers of nodes, by commas, -for each")
	quiet := set.Bool("quiet", false, "do not print each fault")
	if err := set.Parse(args); err != nil {
		return err
	}
	if *dir == "" {
		var err error
		if *dir, err = os.MkdirTemp("", "membershipagent"); err != nil {
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
	if *sizes != "" {
		var list []int
		for _, text := range strings.Split(*sizes, ",") {
			n, err := strconv.Atoi(text)
			if err != nil || n < 1 || n > 50000 {
				return fmt.Errorf("sizes: %q is no number of nodes, 1 to 50000", text)
			}
			list = append(list, n)
		}
		return etcdfleet.Sizes(list, *length, *seed, *dir, spawner(self), w)
	}
	n := func(x int) int { return max(1, int(float64(x)**scale)) }
	sc := testbed.Scenario{Length: *length, Accounts: testbed.Accounts(n(20), n(10), n(3), *forwarders, 4, *seed),
		FleetConfig: testbed.FleetConfig{Forwarders: *forwarders, Planners: *planners, Nodes: *nodes, Classes: testbed.LabClasses, Plans: testbed.LabPlans,
			Node: testbed.LabNode, Seed: *seed, Dir: *dir, Spawn: spawner(self)}}
	if err := testbed.Make("etcd", &sc, etcdfleet.Kinds, *every); err != nil {
		return err
	}
	rig, err := etcdfleet.New(*dir, *members)
	if err != nil {
		return err
	}
	defer rig.Close()
	if *troubles != "" {
		rig.Only = strings.Split(*troubles, ",")
		for _, name := range rig.Only {
			if !slices.Contains(etcdfleet.Troubles(), name) {
				return fmt.Errorf("unknown trouble %q; known are %s", name, strings.Join(etcdfleet.Troubles(), ", "))
			}
		}
	}
	rig.Use(&sc.FleetConfig)
	etcdfleet.Play(rig)
	fmt.Fprintf(w, "etcd: %d cores, %d members, %d forwarders, %d planners, %d nodes, %d accounts, %v, seed %d, %d faults; logs in %s\n", runtime.NumCPU(),
		*members, *forwarders, *planners, sc.Nodes, len(sc.Accounts), *length, *seed, len(sc.Faults), *dir)
	log := w
	if *quiet {
		log = io.Discard
	}
	f, rep, err := testbed.RunWith(sc, log, func() { rig.Print(w) })
	if err != nil {
		return err
	}
	rep.Print(w)
	fmt.Fprintf(w, "the laboratory was %v late at worst\n", f.Hist.Late.Round(time.Millisecond))
	return rep.Verdict()
}

// spawner starts the programs under test: this one, and those that lie beside it.
func spawner(self string) testbed.Spawn {
	return func(kind, file string) *exec.Cmd {
		switch kind {
		case "agent":
			return exec.Command(self, "run", file)
		case "ingress":
			c := exec.Command(filepath.Join(filepath.Dir(self), "eiderspread"))
			c.Env = append(os.Environ(), "EDGE_CONFIG="+file)
			return c
		}
		return exec.Command(filepath.Join(filepath.Dir(self), "fleet"), kind, file)
	}
}
