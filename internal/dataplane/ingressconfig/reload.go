package ingressconfig

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"reflect"
	"slices"
	"strconv"
)

// A running ingress applies only these values of a reloaded configuration: the address of discovery, the classes and the number of
// attempts. It applies all of them or, if the file has a fault, none.

var errNoClasses = errors.New("settings: no classes")

// Reload reads the configuration again at each signal and sends it to the channel to, until done is closed. A configuration that can't be
// read or applied is logged and skipped, and the ingress keeps its current one. first is the configuration that the ingress started with.
func Reload(hup <-chan os.Signal, done <-chan struct{}, read func() (Config, error), first Config, to chan<- Config, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-done:
			return
		}
		cfg, err := read()
		if err == nil {
			err = cfg.CheckReload(first)
		}
		if err != nil {
			log.Error("configuration not reloaded", "error", err)
			continue
		}
		if cfg.NeedsRestart(first) {
			log.Warn("configuration changes other than the discovery address, classes and attempts take effect only after a restart")
		}
		select {
		case to <- cfg:
		case <-done:
			return
		}
	}
}

// NeedsRestart reports whether c differs from another configuration in a value that a running ingress can't apply. It ignores the initial
// endpoints and the seed, which change with each start, and Dial.
func (c Config) NeedsRestart(from Config) bool {
	c.Discovery, c.InitialEndpoints, c.Seed, c.keys = from.Discovery, from.InitialEndpoints, from.Seed, from.keys
	c.Dial, from.Dial = nil, nil
	c.Settings.Classes, c.Settings.MaxAttempts = from.Settings.Classes, from.Settings.MaxAttempts
	return !reflect.DeepEqual(c, from)
}

// CheckReload returns an error if a reloaded configuration can't be applied in place of the configuration from: a key of from is missing,
// or the ingress could not serve requests with its classes or number of attempts.
func (c Config) CheckReload(from Config) error {
	missing := slices.DeleteFunc(slices.Sorted(maps.Keys(from.keys)), func(k string) bool { return c.keys[k] })
	if len(missing) > 0 {
		return fmt.Errorf("%s is missing", strconv.Quote(missing[0]))
	}
	if c.Settings.MaxAttempts <= 0 {
		return fmt.Errorf("settings: limits.maxAttempts is %d, must be above 0", c.Settings.MaxAttempts)
	}
	seen := map[string]bool{}
	for _, class := range c.Settings.Classes {
		if !(class.DeadlineS > 0) || !(class.LatencyObjectiveS > 0) || class.Name == "" || seen[class.Name] {
			return fmt.Errorf("settings: class %q: name must be unique and not empty, deadlineS and aimS must be above 0", class.Name)
		}
		seen[class.Name] = true
	}
	if len(c.Settings.Classes) == 0 {
		return errNoClasses
	}
	return nil
}
