// Command membershipagent merges the endpoint lists of a discovery service and of etcd into one list and serves it in the discovery
// protocol. Its nodes commands list nodes in etcd and set or remove drain marks. Its standin command runs a stand-in for etcd for trials.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"eiderspread/internal/membership/agent"
)

const usage = `usage: membershipagent COMMAND ...
  run [-check] FILE                  runs the agent with a configuration file (example: deploy/etcd.toml)
  nodes FILE list                    lists the nodes and drain marks in etcd
  nodes FILE drain [-hold] [-why W] ID   sets the drain mark of a node, with reason W; with -hold only while this command runs
  nodes FILE undrain ID              removes the drain mark of a node
  nodes FILE watch                   lists the nodes and drain marks, then prints changes as they happen
  lab [flags]                        runs a fleet on the stand-in with etcd faults and checks the rules; lab -h lists the flags
  standin [flags]                    runs a stand-in for etcd on loopback, to try the other commands; standin -h lists the flags
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, os.Args[1:], os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "membershipagent:", err)
		os.Exit(1)
	}
}

// run runs the command named by args[0].
func run(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return errors.New("no command given")
	}
	switch command, rest := args[0], args[1:]; command {
	case "run":
		return runAgent(ctx, rest)
	case "nodes":
		return runNodes(ctx, rest, out)
	case "lab":
		return runLab(rest, out)
	case "standin":
		return runStandin(ctx, rest, out)
	case "help", "-h", "--help":
		fmt.Fprint(out, usage)
		return nil
	default:
		fmt.Fprint(os.Stderr, usage)
		return fmt.Errorf("unknown command %q", command)
	}
}

// runAgent runs the agent until ctx ends. SIGHUP reloads its configuration file.
func runAgent(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	check := flags.Bool("check", false, "check the file and the files that it names, then exit")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return fmt.Errorf("run: expected one configuration file, got %d arguments", flags.NArg())
	}
	file := flags.Arg(0)
	cfg, err := agent.ReadFile(file)
	if err != nil || *check {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	a, err := agent.Open(cfg, log)
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1) // capacity 1: one pending reload covers all signals
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go reloadOn(ctx, hup, file, a, log)
	return a.Run(ctx)
}

// reloadOn reloads the agent's configuration file at each signal on hup, until ctx ends. It logs a file that is invalid or can't be read and
// keeps the previous configuration.
func reloadOn(ctx context.Context, hup <-chan os.Signal, file string, a *agent.Agent, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		cfg, err := agent.ReadFile(file)
		if err != nil {
			log.Error("configuration not reloaded", "error", err)
			continue
		}
		log.Info("configuration reloaded", "endpoints", cfg.Etcd.Endpoints)
		if a.Reload(cfg) {
			log.Warn("reload applies only endpoints, user, password and certificates; other changed settings need a restart")
		}
	}
}
