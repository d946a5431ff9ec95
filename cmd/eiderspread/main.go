// Command eiderspread is one ingress with the decision module in its own process.
//
// EDGE_CONFIG names the configuration file, EDGE_OPERATOR the operator's file, if there is one, and EDGE_CONSOLE the address at which operators
// call, where the configuration names none. SIGHUP reads both files again, SIGTERM drains. With -check it reads the files, says what is wrong
// with them, and ends.
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

// maxProcs is 1: an ingress has one core.
const maxProcs = 1

var errNoConfig = errors.New("EDGE_CONFIG names no configuration file")

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "eiderspread:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	set := flag.NewFlagSet("eiderspread", flag.ContinueOnError)
	check := set.Bool("check", false, "check the configuration and the operator's file, and end")
	if err := set.Parse(args); err != nil {
		return err
	}
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return errNoConfig
	}
	hup := make(chan os.Signal, 1) // one that waits stands for all: the file is read when it is taken
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
	reread := make(chan ingressconfig.Config)
	done := make(chan struct{})
	defer close(done)
	go reloadOnSignal(hup, done, path, cfg, reread, log)
	return ingress.Run(ctx, cfg, reread, log)
}

// readConfig reads the configuration, and the operator's file if EDGE_OPERATOR names one.
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

// reloadOnSignal reads the configuration again at each signal and hands it on, until done is closed.
func reloadOnSignal(hup <-chan os.Signal, done <-chan struct{}, path string, first ingressconfig.Config, to chan<- ingressconfig.Config, log *slog.Logger) {
	ingressconfig.Reload(hup, done, func() (ingressconfig.Config, error) { return readConfig(path) }, first, to, log)
}
