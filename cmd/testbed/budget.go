package main

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"eiderspread/internal/decision/errorbound"
)

// printBudget prints the error bounds of the shared count of one account in a single-level fleet, by kind of failure: in units for a time of
// 10 s, and as percentages of the quota for times of 10 and 60 s.
func printBudget(args []string, w io.Writer) error {
	set := flag.NewFlagSet("budget", flag.ContinueOnError)
	var a errorbound.Account
	set.IntVar(&a.Gateways, "gateways", 3, "number of gateways that the account uses")
	set.Float64Var(&a.Rate, "rate", 38, "rate of its plan, in units per second")
	set.Float64Var(&a.Burst, "burst", 76, "burst of its plan, in units")
	set.Float64Var(&a.LargestRequest, "largest", 3, "size of the largest request, in units")
	set.Float64Var(&a.Demand, "demand", 0, "highest demand, in units per second; 0: six times the rate")
	length := set.Duration("for", 5*time.Second, "duration of a failure")
	sides := set.Int("sides", 2, "number of groups in a partition (split)")
	loss := set.Float64("loss", 0.12, "fraction of messages lost, 0 to 1, while messages are lost (fog)")
	if err := set.Parse(args); err != nil {
		return err
	}
	if a.Gateways < 1 || a.Rate <= 0 || a.Burst <= 0 || a.LargestRequest <= 0 || a.Demand < 0 || *length <= 0 || *sides < 2 || *loss < 0 || *loss > 1 || set.NArg() > 0 {
		return fmt.Errorf("budget: -gateways must be at least 1, -rate, -burst, -largest and -for above 0, -demand not below 0, -sides at least 2, -loss from 0 to 1, and there are no arguments")
	}
	if a.Demand == 0 {
		a.Demand = 6 * a.Rate
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "failure\texcess, units\tof quota in 10 s\tin 60 s\trejected, units\tof quota in 10 s\tin 60 s\n")
	for k := range errorbound.FaultKinds {
		fault := errorbound.Fault{Kind: k, To: length.Seconds(), Sides: *sides, LossRate: *loss}
		faults := []errorbound.Fault{fault}
		switch k {
		case errorbound.NoFault:
			faults = nil
		case errorbound.OwnerRestarted:
			faults[0].To = 0
		}
		row := func(unitsWithin func(from, to float64) float64) (s string) {
			s = fmt.Sprintf("%.0f", unitsWithin(0, 10))
			for _, span := range []float64{10, 60} {
				s += fmt.Sprintf("\t%.0f%%", 100*unitsWithin(0, span)/(a.Rate*span))
			}
			return s
		}
		fmt.Fprintf(t, "%v\t%s\t%s\n", k,
			row(func(from, to float64) float64 {
				excess, _ := errorbound.ExcessWithin(a, faults, from, to)
				return excess
			}),
			row(func(from, to float64) float64 { return errorbound.RejectionsWithin(a, faults, from, to) }))
	}
	return t.Flush()
}
