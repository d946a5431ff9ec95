package main

import (
	"flag"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"

	"eiderspread/internal/testbed/oracle"
	"eiderspread/internal/testbed/simulation"
)

// printCounts simulates each failure of a shared count separately in virtual time. It prints the units admitted beyond rate and burst
// and the units of the quota that were withheld, each with its error bound.
func printCounts(args []string, w io.Writer) error {
	set := flag.NewFlagSet("counts", flag.ContinueOnError)
	sizes := set.String("ingresses", "4,12,80", "fleet sizes, separated by commas")
	seeds := set.Int("seeds", 8, "number of runs of each failure at each size")
	if err := set.Parse(args); err != nil {
		return err
	}
	type cell struct {
		failure           string
		n                 int
		excess, shortfall map[int]oracle.Margin // by window in seconds
		err               error
	}
	var cells []*cell
	for _, s := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 2 || n > 1000 || *seeds < 1 {
			return fmt.Errorf("counts: expected sizes from 2 to 1000 and at least one seed, got size %q and %d seeds", s, *seeds)
		}
		for _, f := range simulation.CountFailures {
			cells = append(cells, &cell{failure: f, n: n})
		}
	}
	var all sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU()) // limits the number of concurrent runs
	for _, c := range cells {
		all.Go(func() {
			slots <- struct{}{}
			c.excess, c.shortfall, c.err = simulation.WorstCountErrors(c.failure, c.n, *seeds)
			<-slots
		})
	}
	all.Wait()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "one account, 25 units per second, burst 48, demand 150 units per second, worst of %d seeds, in units (error bound)\n", *seeds)
	fmt.Fprintf(t, "ingresses\tfailure\texcess in 1 s\t10 s\t60 s\twithheld in 10 s\t60 s\n")
	for _, c := range cells {
		if c.err != nil {
			return c.err
		}
		fmt.Fprintf(t, "%d\t%s", c.n, c.failure)
		for _, m := range []oracle.Margin{c.excess[1], c.excess[10], c.excess[60], c.shortfall[10], c.shortfall[60]} {
			fmt.Fprintf(t, "\t%.0f (%.0f)", m.Units, m.Allowed)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
