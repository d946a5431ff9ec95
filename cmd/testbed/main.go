// Command testbed tests the ingress: it runs fleets on sockets and in virtual time, injects faults, and checks invariants with an oracle.
package main

import (
	"fmt"
	"os"

	"eiderspread/internal/testbed"
)

const usage = `usage: testbed COMMAND ...
  lab [flags]               runs a fleet and stand-ins on loopback, injects faults and checks the rules; lab -h lists the flags
  soak [flags]              runs real processes under overlapping random faults, one seeded run after the other; soak -h lists the flags
  hostile [flags]           plays cases of slow, abusive and vanishing peers against the product's programs; hostile -h lists the flags
  judge FILE                checks the rules on a run recorded by lab -record, without running it again
  shrink FILE [-runs N]     reduces the faults of a run recorded by lab -record to those that its violation needs
  sim [flags]               simulates many fault schedules of the decision modules in virtual time; sim -h lists the flags
  budget [flags]            prints the error bounds of an account's shared count in each failure; budget -h lists the flags
  counts [flags]            simulates each such failure in virtual time and prints its errors and bounds; counts -h lists the flags
  overload [flags]          runs overloaded fleets with and without coordinated load shedding; overload -h lists the flags
  subsets [flags]           prints load spread and churn of the ingresses' node subsets, by fleet size; subsets -h lists the flags
  mutants [flags]           removes guards one by one and checks that the testbed detects each removal; mutants -h lists the flags
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
	case "hostile":
		return runHostile(rest, os.Stdout)
	case "ingress": // started by soak; not in the usage text
		if len(rest) != 1 {
			return fmt.Errorf("ingress: expected one configuration file, got %d arguments", len(rest))
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
