// Command standins2 runs the cases of the second review: it starts the project's programs as processes, and stands in for clients,
// backends and the platform. It is called by the run.sh of a case: standins2 CASE ROOT FOLDER.
package main

import (
	"fmt"
	"os"
	"sort"
)

// cases holds the function of each case. A function returns an error if the case could not run, else whether the rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE ROOT FOLDER; cases:", names)
		os.Exit(2)
	}
	r, err := newRig(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := r.run(cases[os.Args[1]])
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
