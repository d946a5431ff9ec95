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
	dir, err := os.MkdirTemp("", "eidermutants")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r := mutation.Runner{Root: *root, Dir: dir, Most: *most}
	var list []mutation.Mutation
	for _, m := range mutation.List {
		if strings.Contains(m.Name, *only) {
			list = append(list, m)
		}
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	missed, wrong := 0, 0
	next := make(chan mutation.Mutation)
	fmt.Printf("%d mutants, %d at a time, %d cores\n| guard | rule | caught by | after | verdict | unit tests |\n|---|---|---|---|---|---|\n", len(list), *jobs, runtime.NumCPU())
	for range *jobs {
		all.Go(func() {
			for m := range next {
				var res mutation.Result
				var err error
				if *check {
					_, err = r.Build(context.Background(), m)
					res.Caught = true
				} else {
					res, err = r.Play(context.Background(), m, *unit)
				}
				mu.Lock()
				switch {
				case err != nil:
					wrong++
					fmt.Fprintln(os.Stderr, err)
				case !res.Caught && m.Reason == "":
					missed++
					fmt.Printf("| %s | %s | **nothing** | | | %s |\n", m.Name, m.Rule, res.Unit)
				default:
					fmt.Printf("| %s | %s | %s | %.1f s | %.90s | %s |\n", m.Name, m.Rule, short(res.Run), res.After.Seconds(), res.Verdict, res.Unit)
				}
				mu.Unlock()
			}
		})
	}
	for _, m := range list {
		next <- m
	}
	close(next)
	all.Wait()
	if missed+wrong > 0 {
		return fmt.Errorf("of %d mutants %d were not caught, %d could not be tried", len(list), missed, wrong)
	}
	return nil
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
