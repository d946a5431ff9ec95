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

// memoryShare of the limit is what the heap may grow to before the collector works harder.
const memoryShare = 0.6

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
	runtime.GOMAXPROCS(1)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB<<20) * memoryShare))
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("ingress", cfg.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return ingress.Run(ctx, cfg, log)
}
