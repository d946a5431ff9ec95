package main

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/hostile"
)

// runHostile plays cases of misbehaving peers against the product's programs, which lie beside this one, and prints what each found.
func runHostile(args []string, w io.Writer) error {
	var names []string
	for _, c := range hostile.Cases() {
		names = append(names, c.Name+": "+c.What)
	}
	set := flag.NewFlagSet("hostile", flag.ContinueOnError)
	only := set.String("case", "", "name of the case to play, or a part of the names of several; empty: all of\n"+strings.Join(names, "\n"))
	shape := set.String("shape", "", "program or forwarder; empty: both")
	length := set.Duration("for", 4*time.Second, "duration of cases that have no end of their own")
	from := set.Uint64("from", 1, "seed of the first run of cases that draw")
	runs := set.Uint64("runs", 1, "number of runs of each case, with one seed after the other")
	dir := set.String("dir", "", "directory for configurations and logs; empty: a new temporary one")
	if err := set.Parse(args); err != nil {
		return err
	}
	self, err := os.Executable()
	if err == nil && *dir == "" {
		*dir, err = os.MkdirTemp("", "hostile")
	}
	if err != nil {
		return err
	}
	testbed.Host = testbed.OwnHost()
	exact := slices.ContainsFunc(hostile.Cases(), func(c hostile.Case) bool { return c.Name == *only })
	broken := 0
	breaches := map[string]int{} // by case
	for _, c := range hostile.Cases() {
		for _, s := range []hostile.Shape{hostile.OneProgram, hostile.Forwarder} {
			if exact && c.Name != *only || !strings.Contains(c.Name, *only) || *shape != "" && *shape != string(s) {
				continue
			}
			for seed := *from; seed < *from+*runs; seed++ {
				folder := filepath.Join(*dir, fmt.Sprintf("%s-%s-%d", c.Name, s, seed))
				if err := os.MkdirAll(folder, 0o700); err != nil {
					return err
				}
				res, err := c.Play(hostile.Options{Shape: s, Programs: filepath.Dir(self), Dir: folder, Length: *length, Seed: seed})
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "%s, %s, seed %d: %v\n", c.Name, s, seed, res)
				if res.Broken() {
					broken++
					breaches[c.Name] += res.BreachCount()
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(breaches)) {
		fmt.Fprintf(w, "%s %d breaches\n", name, breaches[name])
	}
	if broken > 0 {
		fmt.Fprintf(w, "verdict: %d runs broke a rule\n", broken)
		return fmt.Errorf("%d runs broke a rule; logs in %s", broken, *dir)
	}
	return nil
}
