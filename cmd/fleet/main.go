// Command fleet runs and operates the programs of a two-level fleet, in which forwarders carry out the decisions of planners.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"eiderspread/internal/controlplane/process"
)

const usage = `usage: fleet COMMAND ...
  forwarder [-check] FILE   runs a forwarder with a configuration file (example: deploy/forwarder.toml)
  planner [-check] FILE     runs a planner with a configuration file (example: deploy/planner.toml)
  upgrade [-check] [-from NAME] FILE   upgrades a fleet's programs one at a time (example: deploy/upgrade.toml)
  status ADDR [ADDR ...]    prints the JSON that forwarders and planners report at their status addresses, such as who leads each cell
`

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return fmt.Errorf("no command given")
	}
	switch name, rest := args[0], args[1:]; name {
	case "forwarder", "planner":
		return runProgram(name, rest)
	case "upgrade":
		return upgrade(rest, os.Stdout)
	case "status":
		return status(rest, os.Stdout)
	case "help", "-h", "--help":
		fmt.Print(usage)
		return nil
	default:
		fmt.Fprint(os.Stderr, usage)
		return fmt.Errorf("unknown command %q", name)
	}
}

// runProgram runs a forwarder or a planner with its configuration file, or only checks the file.
func runProgram(kind string, args []string) error {
	set := flag.NewFlagSet(kind, flag.ContinueOnError)
	check := set.Bool("check", false, "check the file and the files that it names, then exit")
	if err := set.Parse(args); err != nil {
		return err
	}
	if set.NArg() != 1 {
		return fmt.Errorf("%s takes exactly one file, got %d arguments", kind, set.NArg())
	}
	if *check {
		return process.CheckConfig(kind, set.Arg(0))
	}
	return process.Run(kind, set.Arg(0))
}

// status prints the JSON status of the program at each address. If a program does not answer, it goes on with the others and returns the
// last such error at the end.
func status(addrs []string, w io.Writer) error {
	client := http.Client{Timeout: 2 * time.Second}
	var last error
	for _, a := range addrs {
		resp, err := client.Get("http://" + a + "/")
		if err != nil {
			last = err
			continue
		}
		var v any
		err = json.NewDecoder(resp.Body).Decode(&v)
		resp.Body.Close()
		if err != nil {
			last = fmt.Errorf("%s: %w", a, err)
			continue
		}
		out := json.NewEncoder(w)
		out.SetIndent("", " ")
		if err := out.Encode(v); err != nil {
			return err
		}
	}
	return last
}
