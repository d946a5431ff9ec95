package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"eiderspread/internal/testbed/mutation"
)

// mutationRun runs mutations and prints a table row for each. mu guards the fields below it.
type mutationRun struct {
	runner mutation.Runner
	check  bool // only build the mutants
	unit   bool // run unit tests as well

	mu             sync.Mutex
	missed, failed int // mutants that no run caught, and mutants that could not be run
}

// runMutants removes guards one by one and prints for each which run detected the removal.
func runMutants(args []string) error {
	set := flag.NewFlagSet("mutants", flag.ContinueOnError)
	root := set.String("root", ".", "root directory of the sources")
	only := set.String("only", "", "run only mutants whose name contains this text")
	jobs := set.Int("jobs", max(1, runtime.NumCPU()/2), "number of mutants to run at a time")
	unit := set.Bool("unit", false, "run the unit tests of each guard's package as well")
	check := set.Bool("check", false, "only check that every mutant applies and builds")
	timeout := set.Duration("most", 3*time.Minute, "timeout of one run")
	if err := set.Parse(args); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "mutations")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var list []mutation.Mutation
	for _, m := range mutation.List {
		if strings.Contains(m.Name, *only) {
			list = append(list, m)
		}
	}
	fmt.Printf("%d mutants, %d at a time, %d cores\n| guard | rule | caught by | after | verdict | unit tests |\n|---|---|---|---|---|---|\n", len(list), *jobs, runtime.NumCPU())
	run := &mutationRun{runner: mutation.Runner{Root: *root, Dir: dir, Timeout: *timeout}, check: *check, unit: *unit}
	next := make(chan mutation.Mutation)
	var workers sync.WaitGroup
	for range *jobs {
		workers.Go(func() {
			for m := range next {
				run.play(m)
			}
		})
	}
	for _, m := range list {
		next <- m
	}
	close(next)
	workers.Wait()
	if run.missed+run.failed > 0 {
		return fmt.Errorf("of %d mutants %d were not caught, %d could not be run", len(list), run.missed, run.failed)
	}
	return nil
}

// play runs one mutant, or with check only builds it, and prints its row.
func (run *mutationRun) play(m mutation.Mutation) {
	var res mutation.Result
	var err error
	if run.check {
		_, err = run.runner.Build(context.Background(), m)
		res.Caught = true
	} else {
		res, err = run.runner.Play(context.Background(), m, run.unit)
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	switch {
	case err != nil:
		run.failed++
		fmt.Fprintln(os.Stderr, err)
	case !res.Caught && m.Reason == "":
		run.missed++
		fmt.Printf("| %s | %s | **nothing** | | | %s |\n", m.Name, m.Rule, res.Unit)
	default:
		fmt.Printf("| %s | %s | %s | %.1f s | %.90s | %s |\n", m.Name, m.Rule, describeRun(res.Run), res.After.Seconds(), res.Verdict, res.Unit)
	}
}

// describeRun shortens the arguments of a run to its command, its last argument and the levels of its fleet.
func describeRun(args string) string {
	list := strings.Fields(args)
	if len(list) == 0 {
		return ""
	}
	levels := "one level"
	if strings.Contains(args, "-planners 3") {
		levels = "two levels"
	}
	return list[0] + " " + list[len(list)-1] + ", " + levels
}
