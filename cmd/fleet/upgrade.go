package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"eiderspread/internal/controlplane/rollout"
)

// upgradeTick is the time between two looks of the rollout at its timeouts.
const upgradeTick = 20 * time.Millisecond

// upgrade rolls a fleet's programs by an operator's file (deploy/upgrade.toml). It returns an error that says where the rollout
// stands if it was aborted.
func upgrade(args []string, log io.Writer) error {
	set := flag.NewFlagSet("upgrade", flag.ContinueOnError)
	from := set.String("from", "", "the program to begin with; those before it are left alone")
	check := set.Bool("check", false, "check the file, say in which order programs are taken, and end")
	if err := set.Parse(args); err != nil {
		return err
	}
	if set.NArg() != 1 {
		return errors.New("upgrade wants one file")
	}
	file, err := readUpgradeFile(set.Arg(0))
	if err != nil {
		return err
	}
	began := time.Now()
	clock := func() float64 { return time.Since(began).Seconds() }
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

// run carries the rollout out until it is done or aborted, and logs each step.
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

// newRolloutPrograms returns the programs of a file as the rollout knows them.
func newRolloutPrograms(list []upgradeProgram) []rollout.Program {
	programs := make([]rollout.Program, len(list))
	for i, p := range list {
		programs[i] = rollout.Program{Name: p.Name, Kind: p.Kind, HotRestart: p.hotRestart()}
	}
	return programs
}
