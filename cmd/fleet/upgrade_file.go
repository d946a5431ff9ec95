package main

import (
	"fmt"

	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/controlplane/rollout"
)

// upgradeFile is an operator's file of the upgrade command.
type upgradeFile struct {
	Programs []upgradeProgram `toml:"program"`
	StartS   float64          `toml:"up_s"`     // seconds for a restarted program to be ready; 0: the rollout's default
	StableS  float64          `toml:"settle_s"` // seconds for which it has to stay ready; 0: the rollout's default
}

// upgradeProgram is one of a rollout's programs: with an admin interface and a command that restarts it, or with two admin
// interfaces and a command that starts the next version beside it.
type upgradeProgram struct {
	Name    string       `toml:"name"`
	Kind    rollout.Kind `toml:"kind"`
	Admin   string       `toml:"door"`
	Status  string       `toml:"status"`  // its status address; empty: whether requests are left on it is not asked
	Restart []string     `toml:"restart"` // the command that ends it and starts the next version; it returns when it has done so
	Admins  []string     `toml:"doors"`   // of its processes, one after the other
	Replace []string     `toml:"replace"` // the command that starts the next version beside it, with adminEnv in its environment
}

// hotRestart reports whether the program is replaced beside itself.
func (p upgradeProgram) hotRestart() bool { return len(p.Replace) > 0 }

// admins returns the addresses of all admin interfaces that the program may have.
func (p upgradeProgram) admins() []string {
	if len(p.Admins) > 0 {
		return p.Admins
	}
	return []string{p.Admin}
}

func (p upgradeProgram) check() error {
	switch {
	case p.hotRestart() && p.Kind == rollout.Planner:
		return fmt.Errorf("program %q: a planner hands its cells over and is restarted, it is not replaced beside itself", p.Name)
	case p.hotRestart() && (len(p.Admins) != 2 || p.Admins[0] == p.Admins[1] || p.Admin != "" || len(p.Restart) > 0):
		return fmt.Errorf("program %q: replace goes with two doors, and with neither door nor restart", p.Name)
	case !p.hotRestart() && (p.Admin == "" || len(p.Restart) == 0 || len(p.Admins) > 0):
		return fmt.Errorf("program %q: door and restart are needed, or doors and replace", p.Name)
	}
	return nil
}

// readUpgradeFile reads and checks a file. Errors name it.
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

// timeouts returns the rollout's timeouts, with those that the file sets.
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
