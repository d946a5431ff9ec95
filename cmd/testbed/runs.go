package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/internal/testbed/simulation"
)

// recordedRun is the content of a file of lab -record. What nodes and clients saw is in a second file, FILE.history.
type recordedRun struct {
	Args   []string        `json:"args"` // flags of testbed lab
	Faults []testbed.Fault `json:"faults"`
}

func writeRun(path string, set *flag.FlagSet, sc testbed.Scenario, f *testbed.Fleet) error {
	recorded := recordedRun{Faults: sc.Faults}
	set.Visit(func(x *flag.Flag) {
		if x.Name != "record" && x.Name != "dir" && x.Name != "replay" {
			recorded.Args = append(recorded.Args, "-"+x.Name+"="+x.Value.String())
		}
	})
	text, err := json.MarshalIndent(recorded, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	return writeHistory(path+".history", sc, f)
}

// writeHistory writes what nodes and clients saw in a run, and the rules that the oracle checks it by.
func writeHistory(path string, sc testbed.Scenario, f *testbed.Fleet) error {
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	defer out.Close()
	rules := f.Rules()
	rules.MinOccasions = sc.MinOccasions
	return oracle.WriteHistory(out, f.Hist, rules)
}

func readRun(path string) (recorded recordedRun, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return recorded, err
	}
	if err := json.Unmarshal(text, &recorded); err != nil {
		return recorded, fmt.Errorf("parse recorded run %s: %w", path, err)
	}
	return recorded, nil
}

// checkRecorded checks the rules on a recorded run.
func checkRecorded(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("judge: expected one file of lab -record, got %d arguments", len(args))
	}
	in, err := os.Open(args[0] + ".history")
	if err != nil {
		return err
	}
	defer in.Close()
	h, rules, err := oracle.ReadHistory(in)
	if err != nil {
		return err
	}
	report := oracle.Check(h, rules)
	report.Print(os.Stdout)
	return report.Verdict()
}

// shrink reduces the faults of a recorded run and prints those that its first violation needs. It runs each selection of faults up to -runs
// times, because runs on sockets do not repeat exactly.
func shrink(args []string) error {
	set := flag.NewFlagSet("shrink", flag.ContinueOnError)
	runs := set.Int("runs", 2, "number of runs without the violation after which a selection of faults counts as not causing it")
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return fmt.Errorf("shrink: expected a file of lab -record before the flags")
	}
	if err := set.Parse(args[1:]); err != nil {
		return err
	}
	recorded, err := readRun(args[0])
	if err != nil {
		return err
	}
	in, err := os.Open(args[0] + ".history")
	if err != nil {
		return err
	}
	h, rules, err := oracle.ReadHistory(in)
	in.Close()
	if err != nil {
		return err
	}
	report := oracle.Check(h, rules)
	if len(report.Violations) == 0 {
		return fmt.Errorf("shrink: the run in %s violates no rule", args[0])
	}
	rule := report.Violations[0].Rule
	dir, err := os.MkdirTemp("", "eidershrink")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "run")
	left := simulation.Shrink(recorded.Faults, func(list []testbed.Fault) bool {
		text, _ := json.Marshal(recordedRun{Faults: list})
		if os.WriteFile(file, text, 0o600) != nil {
			return false
		}
		for range *runs {
			if counts, err := replayArgs(append(recorded.Args, "-replay="+file)); err == nil && counts[rule] > 0 {
				fmt.Printf("%d faults: %s\n", len(list), rule)
				return true
			}
		}
		return false
	})
	fmt.Printf("the violation of %q needs %d of %d faults:\n", rule, len(left), len(recorded.Faults))
	for _, x := range left {
		fmt.Printf("%8.3f %v\n", x.At.Seconds(), x)
	}
	return nil
}
