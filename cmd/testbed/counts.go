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

// printCounts plays each failure of a shared count by itself in virtual time, and puts what it let in beyond and withheld beside its budget.
func printCounts(args []string, w io.Writer) error {
	set := flag.NewFlagSet("counts", flag.ContinueOnError)
	sizes := set.String("ingresses", "4,12,80", "sizes of the fleet, apart by commas")
	seeds := set.Int("seeds", 8, "how many runs of each")
	if err := set.Parse(args); err != nil {
		return err
	}
	type cell struct {
		failure       string
		n             int
		beyond, short map[int]oracle.Margin
		err           error
	}
	var cells []*cell
	for _, s := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 2 || n > 1000 || *seeds < 1 {
			return fmt.Errorf("counts wants sizes from 2 to 1000 and at least one seed, not %q and %d", s, *seeds)
		}
		for _, f := range simulation.CountFailures {
			cells = append(cells, &cell{failure: f, n: n})
		}
	}
	var all sync.WaitGroup
	places := make(chan struct{}, runtime.NumCPU())
	for _, c := range cells {
		all.Go(func() {
			places <- struct{}{}
			c.beyond, c.short, c.err = simulation.CountWorst(c.failure, c.n, *seeds)
			<-places
		})
	}
	all.Wait()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "one account, 25 units a second, burst 48, asked for 150, worst of %d seeds, units (allowed)\n", *seeds)
	fmt.Fprintf(t, "ingresses\tfailure\tbeyond in 1 s\t10 s\t60 s\twithheld in 10 s\t60 s\n")
	for _, c := range cells {
		if c.err != nil {
			return c.err
		}
		fmt.Fprintf(t, "%d\t%s", c.n, c.failure)
		for _, m := range []oracle.Margin{c.beyond[1], c.beyond[10], c.beyond[60], c.short[10], c.short[60]} {
			fmt.Fprintf(t, "\t%.0f (%.0f)", m.Units, m.Allowed)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
