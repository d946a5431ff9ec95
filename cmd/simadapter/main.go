// Command simadapter hosts gateways on the simulator's wire: it reads events from standard input and writes what the gateways
// want done to standard output. It translates between the wire and package policy, and decides nothing.
//
// It ends with status 0 at the end of the input, and with status 1 and one line on standard error if the input can't be read.
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
