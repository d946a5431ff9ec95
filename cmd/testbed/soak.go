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

// runSoak plays soaks of real processes, one number after the other, and tells of each whether the rules held.
func runSoak(args []string, w io.Writer) error {
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	from := set.Uint64("from", 1, "number of the first run; a number always draws the same run")
	runs := set.Int("runs", 10, "runs")
	length := set.Duration("for", 20*time.Second, "how long clients ask in each")
	dir := set.String("dir", "", "where files and logs of runs that break a rule stay (a new folder)")
	keep := set.Bool("keep", false, "keep those of all runs")
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
		return fmt.Errorf("%d of %d runs", bad, *runs)
	}
	return nil
}

// playSoak plays one run. Its report goes into its folder, and the history of one that breaks a rule, for testbed judge.
func playSoak(sc testbed.Scenario, folder string) (verdict, err error) {
	report, err := os.Create(filepath.Join(folder, "report.txt"))
	if err != nil {
		return nil, err
	}
	defer report.Close()
	fleet, rep, err := testbed.Run(sc, report)
	if err != nil {
		return nil, err
	}
	for _, x := range fleet.Hist.Faults {
		fmt.Fprintf(report, "did %8.3f %s\n", x.At.Seconds(), x.What)
	}
	rep.Print(report)
	if verdict = rep.Verdict(); verdict != nil {
		return verdict, writeHistory(filepath.Join(folder, "run.json.history"), sc, fleet)
	}
	return nil, nil
}

// soakSpawner starts this program as an ingress, with the laboratory's faults in it.
func soakSpawner(self string) testbed.Spawn {
	return func(_, file string) *exec.Cmd { return exec.Command(self, "ingress", file) }
}
