package main

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"eiderspread/internal/decision/errorbound"
)

// printBudget tells by how much the count of one account of one level may be wrong in each failure.
func printBudget(args []string, w io.Writer) error {
	set := flag.NewFlagSet("budget", flag.ContinueOnError)
	var a errorbound.Account
	set.IntVar(&a.Gateways, "gateways", 3, "that the account comes through")
	set.Float64Var(&a.Rate, "rate", 38, "units a second of its plan")
	set.Float64Var(&a.Burst, "burst", 76, "units that may be used at once")
	set.Float64Var(&a.LargestRequest, "largest", 3, "units of the largest request")
	set.Float64Var(&a.Demand, "demand", 0, "units a second that are asked for, at the most; 0: six times the rate")
	length := set.Duration("for", 5*time.Second, "how long a failure lasts")
	sides := set.Int("sides", 2, "of a split")
	loss := set.Float64("loss", 0.12, "share of messages lost in fog")
	if err := set.Parse(args); err != nil {
		return err
	}
	if a.Gateways < 1 || a.Rate <= 0 || a.Burst <= 0 || a.LargestRequest <= 0 || a.Demand < 0 || *length <= 0 || *sides < 2 || *loss < 0 || *loss > 1 || set.NArg() > 0 {
		return fmt.Errorf("budget wants gateways, rate, burst, largest and -for above 0, sides from 2 on, loss from 0 to 1, and nothing else")
	}
	if a.Demand == 0 {
		a.Demand = 6 * a.Rate
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "failure\tbeyond, units\tof 10 s\tof 60 s\twithheld, units\tof 10 s\tof 60 s\n")
	for k := range errorbound.FaultKinds {
		x := errorbound.Fault{Kind: k, To: length.Seconds(), Sides: *sides, LossRate: *loss}
		list := []errorbound.Fault{x}
		switch k {
		case errorbound.NoFault:
			list = nil
		case errorbound.OwnerRestarted:
			list[0].To = 0
		}
		row := func(of func(from, to float64) float64) (s string) {
			s = fmt.Sprintf("%.0f", of(0, 10))
			for _, span := range []float64{10, 60} {
				s += fmt.Sprintf("\t%.0f%%", 100*of(0, span)/(a.Rate*span))
			}
			return s
		}
		fmt.Fprintf(t, "%v\t%s\t%s\n", k, row(func(from, to float64) float64 { over, _ := errorbound.ExcessWithin(a, list, from, to); return over }),
			row(func(from, to float64) float64 { return errorbound.RejectionsWithin(a, list, from, to) }))
	}
	return t.Flush()
}
