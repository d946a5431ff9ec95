// Command eiderspread is one real ingress: the decision module on sockets.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"eiderspread/internal/dataplane/ingress"
)

const (
	// There is one core: a second processor took 1.84 s of CPU a calm day against 1.71 and 1.73 s,
	// at the same result.
	maxProcs = 1
)

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
		return fmt.Errorf("EDGE_CONFIG names no configuration file")
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
	reread := make(chan ingress.Config)
	done := make(chan struct{})
	defer close(done)
	go reloadOnSignal(hup, done, path, cfg, reread, log)
	return ingress.Run(ctx, cfg, reread, log)
}

// readConfig reads the configuration, and the operator's file if EDGE_OPERATOR names one.
func readConfig(path string) (ingress.Config, error) {
	cfg, err := ingress.ReadConfig(path)
	if cfg.AdminAddr == "" && err == nil {
		cfg.AdminAddr, err = ingress.CheckAdminAddr(os.Getenv("EDGE_CONSOLE"))
	}
	if file := os.Getenv("EDGE_OPERATOR"); file != "" && err == nil {
		cfg.OperatorConfig, err = ingress.ReadOperatorConfig(file)
	}
	return cfg, err
}

// reloadOnSignal reads the configuration again at each signal and hands it on. What can't be read is logged,
// and the ingress goes on as it is.
func reloadOnSignal(hup <-chan os.Signal, done <-chan struct{}, path string, first ingress.Config,
	to chan<- ingress.Config, log *slog.Logger) {
	ingress.Reload(hup, done, func() (ingress.Config, error) { return readConfig(path) }, first, to, log)
}
