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

// mutationRun plays mutations and prints a row for each. mu guards what is below it.
type mutationRun struct {
	runner mutation.Runner
	check  bool // only build
	unit   bool // run unit tests, too

	mu            sync.Mutex
	missed, wrong int
}

// runMutants takes guards out one by one and prints which run found out.
func runMutants(args []string) error {
	set := flag.NewFlagSet("mutants", flag.ContinueOnError)
	root := set.String("root", ".", "folder of the sources")
	only := set.String("only", "", "those whose name holds this")
	jobs := set.Int("jobs", max(1, runtime.NumCPU()/2), "mutants at a time")
	unit := set.Bool("unit", false, "run the unit tests of each guard's package, too")
	check := set.Bool("check", false, "only see that every mutant applies and builds")
	most := set.Duration("most", 3*time.Minute, "time for one run")
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
	run := &mutationRun{runner: mutation.Runner{Root: *root, Dir: dir, Most: *most}, check: *check, unit: *unit}
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
	if run.missed+run.wrong > 0 {
		return fmt.Errorf("of %d mutants %d were not caught, %d could not be tried", len(list), run.missed, run.wrong)
	}
	return nil
}

// play plays one mutation, or only builds it, and prints its row.
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
		run.wrong++
		fmt.Fprintln(os.Stderr, err)
	case !res.Caught && m.Reason == "":
		run.missed++
		fmt.Printf("| %s | %s | **nothing** | | | %s |\n", m.Name, m.Rule, res.Unit)
	default:
		fmt.Printf("| %s | %s | %s | %.1f s | %.90s | %s |\n", m.Name, m.Rule, short(res.Run), res.After.Seconds(), res.Verdict, res.Unit)
	}
}

// short words a run's arguments for a table.
func short(args string) string {
	list := strings.Fields(args)
	if len(list) == 0 {
		return ""
	}
	two := "one level"
	if strings.Contains(args, "-planners 3") {
		two = "two levels"
	}
	return list[0] + " " + list[len(list)-1] + ", " + two
}
