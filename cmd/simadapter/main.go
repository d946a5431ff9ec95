// Command simadapter hosts gateways for the simulator: it reads the simulator's events from standard input and writes the gateways' actions
// to standard output. It only translates between the simulator's protocol and package policy.
//
// It exits with status 0 at the end of the input. If it can't read the input or write the output, it writes one line to standard error and
// exits with status 1.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
