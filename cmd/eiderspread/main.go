// Command eiderspread runs one ingress, with the decision module in the same process.
//
// Environment variables: EDGE_CONFIG names the configuration file, EDGE_OPERATOR the operator's file, which is optional, and EDGE_CONSOLE
// the address of the operators' interface, used if the configuration names none. SIGHUP reloads both files, SIGTERM drains the ingress and
// ends the process. With -check, the program checks the files, prints the first fault and exits.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/dataplane/ingressconfig"
)

// maxProcs limits the Go scheduler to the one core that an ingress has.
const maxProcs = 1

var errNoConfig = errors.New("EDGE_CONFIG names no configuration file")

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "eiderspread:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("eiderspread", flag.ContinueOnError)
	check := flags.Bool("check", false, "check the configuration and the operator's file, then exit")
	if err := flags.Parse(args); err != nil {
		return err
	}
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return errNoConfig
	}
	hup := make(chan os.Signal, 1) // one pending signal is enough: the files are read after it is received
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	cfg, err := readConfig(path)
	if err != nil || *check {
		return err
	}
	runtime.GOMAXPROCS(maxProcs)
	ingress.LimitMemory(cfg.MemoryMB, ingress.MemoryLimitFraction)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("ingress", cfg.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reloaded := make(chan ingressconfig.Config)
	done := make(chan struct{})
	defer close(done)
	go reloadOnSignal(hup, done, path, cfg, reloaded, log)
	return ingress.Run(ctx, cfg, reloaded, log)
}

// readConfig reads the configuration file at path, and the operator's file if EDGE_OPERATOR names one.
func readConfig(path string) (ingressconfig.Config, error) {
	cfg, err := ingressconfig.Read(path)
	if cfg.AdminAddr == "" && err == nil {
		cfg.AdminAddr, err = ingressconfig.CheckAdminAddr(os.Getenv("EDGE_CONSOLE"))
	}
	if file := os.Getenv("EDGE_OPERATOR"); file != "" && err == nil {
		cfg.OperatorConfig, err = ingressconfig.ReadOperator(file)
	}
	return cfg, err
}

// reloadOnSignal runs ingressconfig.Reload for the configuration file at path until done is closed.
func reloadOnSignal(hup <-chan os.Signal, done <-chan struct{}, path string, first ingressconfig.Config, to chan<- ingressconfig.Config, log *slog.Logger) {
	ingressconfig.Reload(hup, done, func() (ingressconfig.Config, error) { return readConfig(path) }, first, to, log)
}
