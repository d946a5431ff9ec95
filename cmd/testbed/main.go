// Command testbed tries the ingress: fleets on sockets and in virtual time with injected faults, judged by an invariant checker.
package main

import (
	"fmt"
	"os"

	"eiderspread/internal/testbed"
)

const usage = `usage: testbed COMMAND ...
  lab [flags]               a fleet with stand-ins on loopback, with faults and an audit; lab -h lists the flags
  soak [flags]              real processes under faults that overlap, drawn from numbers, one run after the other; soak -h lists the flags
  judge FILE                judges a run that lab -record kept, without running it again
  shrink FILE [-runs N]     cuts the faults of a run that lab -record kept down to those that its breach needs
  sim [flags]               the decision parts alone in virtual time, many schedules; sim -h lists the flags
  budget [flags]            by how much the shared count of an account may be wrong in each failure; budget -h lists the flags
  counts [flags]            plays each such failure in virtual time, beside its budget; counts -h lists the flags
  overload [flags]          fleets that are asked for more than nodes can do, deciding on it as one and not, by turns; overload -h lists the flags
  subsets [flags]           which nodes each ingress of a fleet prefers: spread of load and movement, by size; subsets -h lists the flags
  mutants [flags]           takes guards out one by one and has the laboratory find out; mutants -h lists the flags
`

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return fmt.Errorf("no command given")
	}
	switch name, rest := args[0], args[1:]; name {
	case "lab":
		return runLab(rest)
	case "soak":
		return runSoak(rest, os.Stdout)
	case "ingress": // of a soak
		if len(rest) != 1 {
			return fmt.Errorf("ingress wants one file")
		}
		return testbed.RunIngress(rest[0])
	case "judge":
		return checkRecorded(rest)
	case "shrink":
		return shrink(rest)
	case "sim":
		return runSim(rest)
	case "budget":
		return printBudget(rest, os.Stdout)
	case "counts":
		return printCounts(rest, os.Stdout)
	case "overload":
		return runOverload(rest)
	case "subsets":
		return printSubsets(rest, os.Stdout)
	case "mutants":
		return runMutants(rest)
	case "help", "-h", "--help":
		fmt.Print(usage)
		return nil
	default:
		fmt.Fprint(os.Stderr, usage)
		return fmt.Errorf("unknown command %q", name)
	}
}
