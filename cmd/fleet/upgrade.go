package main

import (
	"flag"
	"fmt"
	"io"
	"time"

	"eiderspread/internal/controlplane/rollout"
)

// upgradeTick is the interval of the rollout's ticks.
const upgradeTick = 20 * time.Millisecond

// upgrade upgrades a fleet's programs as a configuration file lists them (deploy/upgrade.toml). If the rollout is aborted, the error names
// the program and the phase that it had reached.
func upgrade(args []string, log io.Writer) error {
	set := flag.NewFlagSet("upgrade", flag.ContinueOnError)
	from := set.String("from", "", "start with the program of this name and skip those before it")
	check := set.Bool("check", false, "check the file, print the programs in the order of their upgrade, then exit")
	if err := set.Parse(args); err != nil {
		return err
	}
	if set.NArg() != 1 {
		return fmt.Errorf("upgrade takes exactly one file, got %d arguments", set.NArg())
	}
	file, err := readUpgradeFile(set.Arg(0))
	if err != nil {
		return err
	}
	startedAt := time.Now()
	clock := func() float64 { return time.Since(startedAt).Seconds() }
	u, err := newUpgrader(file, *from, clock())
	if err != nil {
		return fmt.Errorf("%s: %w", set.Arg(0), err)
	}
	if *check {
		for _, program := range u.programs {
			fmt.Fprintln(log, program.Kind, program.Name)
		}
		return nil
	}
	return u.run(clock, log)
}

// run runs the rollout until it is done or aborted, and logs each change of its progress.
func (u *upgrader) run(clock func() float64, log io.Writer) error {
	tick := time.NewTicker(upgradeTick)
	defer tick.Stop()
	lastLine := ""
	for {
		select {
		case handle := <-u.events:
			handle(clock())
		case <-tick.C:
			u.rollout.Tick(clock())
		}
		done, program, phase := u.rollout.Progress()
		if line := fmt.Sprintf("%d of %d done; %s %s", done, len(u.programs), program.Name, phase); line != lastLine {
			lastLine = line
			fmt.Fprintf(log, "%7.2f  %s\n", clock(), line)
		}
		if over, err := u.rollout.Done(); over {
			return err
		}
	}
}

// newRolloutPrograms converts the programs of a file to the rollout's type.
func newRolloutPrograms(list []upgradeProgram) []rollout.Program {
	programs := make([]rollout.Program, len(list))
	for i, p := range list {
		programs[i] = rollout.Program{Name: p.Name, Kind: p.Kind, HotRestart: p.hotRestart()}
	}
	return programs
}
