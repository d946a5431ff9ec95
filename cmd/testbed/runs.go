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

// recordedRun is what lab -record keeps: the call, the faults, and beside it, in FILE.history, what nodes and clients saw.
type recordedRun struct {
	Args   []string        `json:"args"` // of testbed lab
	Faults []testbed.Fault `json:"faults"`
}

func writeRun(path string, set *flag.FlagSet, sc testbed.Scenario, f *testbed.Fleet) error {
	k := recordedRun{Faults: sc.Faults}
	set.Visit(func(x *flag.Flag) {
		if x.Name != "record" && x.Name != "dir" && x.Name != "replay" {
			k.Args = append(k.Args, "-"+x.Name+"="+x.Value.String())
		}
	})
	text, err := json.MarshalIndent(k, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	return writeHistory(path+".history", sc, f)
}

// writeHistory keeps what nodes and clients saw of a run, and the rules that it is judged by.
func writeHistory(path string, sc testbed.Scenario, f *testbed.Fleet) error {
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	defer out.Close()
	rules := f.Rules()
	rules.MinOccasions = sc.Floors
	return oracle.WriteHistory(out, f.Hist, rules)
}

func readRun(path string) (k recordedRun, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return k, err
	}
	if err := json.Unmarshal(text, &k); err != nil {
		return k, fmt.Errorf("%s: %w", path, err)
	}
	return k, nil
}

// checkRecorded judges a kept run again.
func checkRecorded(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("judge wants one file of lab -record")
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
	rep := oracle.Check(h, rules)
	rep.Print(os.Stdout)
	return rep.Verdict()
}

// shrink plays a kept run with ever fewer of its faults, each choice a few times since sockets don't repeat to the letter,
// and prints those without which its breach is not seen.
func shrink(args []string) error {
	set := flag.NewFlagSet("shrink", flag.ContinueOnError)
	runs := set.Int("runs", 2, "how often a choice of faults is played before it counts as without the breach")
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return fmt.Errorf("shrink wants a file of lab -record")
	}
	if err := set.Parse(args[1:]); err != nil {
		return err
	}
	k, err := readRun(args[0])
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
	rep := oracle.Check(h, rules)
	if len(rep.Violations) == 0 {
		return fmt.Errorf("%s holds no breach", args[0])
	}
	rule := rep.Violations[0].Rule
	dir, err := os.MkdirTemp("", "eidershrink")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "run")
	left := simulation.Shrink(k.Faults, func(list []testbed.Fault) bool {
		text, _ := json.Marshal(recordedRun{Faults: list})
		if os.WriteFile(file, text, 0o600) != nil {
			return false
		}
		for range *runs {
			if counts, err := playRecorded(append(k.Args, "-replay="+file)); err == nil && counts[rule] > 0 {
				fmt.Printf("%d faults: %s\n", len(list), rule)
				return true
			}
		}
		return false
	})
	fmt.Printf("%q needs %d of %d faults:\n", rule, len(left), len(k.Faults))
	for _, x := range left {
		fmt.Printf("%8.3f %v\n", x.At.Seconds(), x)
	}
	return nil
}
