// Command eiderspread is one real ingress: the decision module on sockets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"cometpond/internal/ingress"
)

const (
	// There is one core: a second processor took 1.84 s of CPU a calm day against 1.71 and 1.73 s,
	// at the same result.
	processors = 1
	// From this share of the memory limit on, the collector works as hard as it must.
	memoryShare = 0.6
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "eiderspread:", err)
		os.Exit(1)
	}
}

func run() error {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return fmt.Errorf("EDGE_CONFIG names no configuration file")
	}
	cfg, err := ingress.ReadConfig(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(processors)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB<<20) * memoryShare))
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("ingress", cfg.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return ingress.Run(ctx, cfg, log)
}
