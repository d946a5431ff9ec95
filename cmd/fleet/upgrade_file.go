package main

import (
	"fmt"

	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/controlplane/rollout"
)

// upgradeFile is the configuration file of the upgrade command.
type upgradeFile struct {
	Programs []upgradeProgram `toml:"program"`
	StartS   float64          `toml:"up_s"`     // time within which a restarted program must be ready, in seconds; 0: the rollout's default
	StableS  float64          `toml:"settle_s"` // time for which it must stay ready, in seconds; 0: the rollout's default
}

// upgradeProgram is one program of the rollout. It has either one admin address and a restart command, or two admin addresses and a replace
// command, which starts the next version while the present process still runs (hot restart).
type upgradeProgram struct {
	Name    string       `toml:"name"`
	Kind    rollout.Kind `toml:"kind"`
	Admin   string       `toml:"door"`    // admin address; with Restart
	Status  string       `toml:"status"`  // status address, for the number of open requests; empty: none are assumed
	Restart []string     `toml:"restart"` // command that stops the program and starts the next version, then returns
	Admins  []string     `toml:"doors"`   // the two admin addresses, which successive processes use in turn; with Replace
	Replace []string     `toml:"replace"` // command that starts the next version beside the present process, with adminEnv in its environment
}

// hotRestart reports whether the next version is started beside the present process and takes over from it.
func (p upgradeProgram) hotRestart() bool { return len(p.Replace) > 0 }

// admins returns all admin addresses that a process of the program may use.
func (p upgradeProgram) admins() []string {
	if len(p.Admins) > 0 {
		return p.Admins
	}
	return []string{p.Admin}
}

func (p upgradeProgram) check() error {
	switch {
	case p.hotRestart() && p.Kind == rollout.Planner:
		return fmt.Errorf("program %q: a planner can't be replaced by a hot restart, it needs door and restart", p.Name)
	case p.hotRestart() && (len(p.Admins) != 2 || p.Admins[0] == p.Admins[1] || p.Admin != "" || len(p.Restart) > 0):
		return fmt.Errorf("program %q: replace needs two different doors, and excludes door and restart", p.Name)
	case !p.hotRestart() && (p.Admin == "" || len(p.Restart) == 0 || len(p.Admins) > 0):
		return fmt.Errorf("program %q: must have either door and restart, or doors and replace", p.Name)
	}
	return nil
}

// readUpgradeFile reads and checks a file. Its errors contain the path.
func readUpgradeFile(path string) (file upgradeFile, err error) {
	if err := operatorconfig.Decode(path, &file); err != nil {
		return file, err
	}
	for _, program := range file.Programs {
		if err := program.check(); err != nil {
			return file, fmt.Errorf("%s: %w", path, err)
		}
	}
	return file, nil
}

// timeouts returns the rollout's default timeouts, overridden by those that the file sets.
func (f upgradeFile) timeouts() rollout.Timeouts {
	timeouts := rollout.DefaultTimeouts
	if f.StartS > 0 {
		timeouts.StartS = f.StartS
	}
	if f.StableS > 0 {
		timeouts.StableS = f.StableS
	}
	return timeouts
}
