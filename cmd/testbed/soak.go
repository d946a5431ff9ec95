package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"eiderspread/internal/testbed"
)

// runSoak runs soak tests of real processes, one seed after the other, and prints for each whether the rules held.
func runSoak(args []string, w io.Writer) error {
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	from := set.Uint64("from", 1, "seed of the first run; a seed always yields the same schedule of faults and traffic")
	runs := set.Int("runs", 10, "number of runs")
	length := set.Duration("for", 20*time.Second, "duration of client traffic in each run")
	dir := set.String("dir", "", "directory for files and logs of runs that violate a rule; empty: a new temporary one")
	keep := set.Bool("keep", false, "keep files and logs of all runs")
	if err := set.Parse(args); err != nil {
		return err
	}
	if *dir == "" {
		var err error
		if *dir, err = os.MkdirTemp("", "eidersoak"); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	testbed.Host = testbed.OwnHost()
	bad := 0
	for number := *from; number < *from+uint64(*runs); number++ {
		folder := filepath.Join(*dir, fmt.Sprint(number))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
		sc, err := testbed.Soak(number, *length, testbed.FleetConfig{Dir: folder, Spawn: soakSpawner(self)})
		if err != nil {
			return err
		}
		verdict, err := playSoak(sc, folder)
		if err != nil {
			return fmt.Errorf("%v: %w", sc, err)
		}
		if verdict == nil {
			fmt.Fprintf(w, "%v: the rules hold\n", sc)
			if !*keep {
				os.RemoveAll(folder)
			}
			continue
		}
		bad++
		fmt.Fprintf(w, "%v: %v; %s\n", sc, verdict, folder)
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d runs violated a rule", bad, *runs)
	}
	return nil
}

// playSoak executes one run and writes its report to folder. For a run that violates a rule it also writes the history, for testbed judge.
func playSoak(sc testbed.Scenario, folder string) (verdict, err error) {
	report, err := os.Create(filepath.Join(folder, "report.txt"))
	if err != nil {
		return nil, err
	}
	defer report.Close()
	fleet, result, err := testbed.Run(sc, report)
	if err != nil {
		return nil, err
	}
	for _, x := range fleet.Hist.Faults {
		fmt.Fprintf(report, "did %8.3f %s\n", x.At.Seconds(), x.What)
	}
	result.Print(report)
	if verdict = result.Verdict(); verdict != nil {
		return verdict, writeHistory(filepath.Join(folder, "run.json.history"), sc, fleet)
	}
	return nil, nil
}

// soakSpawner returns a function that prepares the command of an ingress: this program, which can inject faults into its process.
func soakSpawner(self string) testbed.Spawn {
	return func(_, file string) *exec.Cmd { return exec.Command(self, "ingress", file) }
}
