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

// What a running ingress takes over from a configuration that is read again: the address of discovery, the classes and the number of attempts.
// All of a file is taken or none of it.

var errNoClasses = errors.New("settings: no classes")

// Reload reads the configuration again at each signal and hands it on, until done is closed. What can't be read or used is logged, and the ingress
// goes on as it is; first is the configuration that it started with.
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
			log.Error("configuration not taken over", "error", err)
			continue
		}
		if cfg.NeedsRestart(first) {
			log.Warn("of the new configuration the address of discovery, classes and attempts alone are taken over before a restart")
		}
		select {
		case to <- cfg:
		case <-done:
			return
		}
	}
}

// NeedsRestart reports whether more differs than what a running ingress takes over from a configuration that is read again, or than what is new
// with each start.
func (c Config) NeedsRestart(from Config) bool {
	c.Discovery, c.InitialEndpoints, c.Seed, c.keys = from.Discovery, from.InitialEndpoints, from.Seed, from.keys
	c.Dial, from.Dial = nil, nil
	c.Settings.Classes, c.Settings.MaxAttempts = from.Settings.Classes, from.Settings.MaxAttempts
	return !reflect.DeepEqual(c, from)
}

// CheckReload returns what is wrong with a configuration that was read again, beside one that holds: a key that is missing now, or a figure that
// no request can be served by.
func (c Config) CheckReload(from Config) error {
	missing := slices.DeleteFunc(slices.Sorted(maps.Keys(from.keys)), func(k string) bool { return c.keys[k] })
	if len(missing) > 0 {
		return fmt.Errorf("%s is missing", strconv.Quote(missing[0]))
	}
	if c.Settings.MaxAttempts <= 0 {
		return fmt.Errorf("settings: limits.maxAttempts is %d", c.Settings.MaxAttempts)
	}
	seen := map[string]bool{}
	for _, class := range c.Settings.Classes {
		if !(class.DeadlineS > 0) || !(class.LatencyObjectiveS > 0) || class.Name == "" || seen[class.Name] {
			return fmt.Errorf("settings: class %q: a name of its own, a deadline and an aim above 0 are needed", class.Name)
		}
		seen[class.Name] = true
	}
	if len(c.Settings.Classes) == 0 {
		return errNoClasses
	}
	return nil
}
