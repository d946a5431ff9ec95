// Package program runs forwarders and planners as programs: signals, limits, the log. The laboratory's tests run the
// same code in processes of their own.
package process

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"eiderspread/internal/controlplane/forwarder"
	"eiderspread/internal/controlplane/planner"
	"eiderspread/internal/dataplane/ingress"
)

const (
	maxProcs = 1 // each program is made for one core
	// From this share of the memory limit on, the collector works as hard as it must.
	memoryLimitFraction = 0.6
)

// CheckConfig reads an operator's file and all that it names; kind is forwarder or planner.
func CheckConfig(kind, path string) error {
	switch kind {
	case "forwarder":
		_, err := forwarder.ReadFile(path)
		return err
	case "planner":
		_, err := planner.ReadFile(path)
		return err
	}
	return fmt.Errorf("unknown kind %q", kind)
}

func applyLimits(memoryMB int) {
	runtime.GOMAXPROCS(maxProcs)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB<<20) * memoryLimitFraction))
	}
}

func newLogger(kind string, number int) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, nil)).With(kind, number)
}

// onSIGHUP calls do at each SIGHUP until ctx ends.
func onSIGHUP(ctx context.Context, do func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hup)
		for {
			select {
			case <-hup:
				do()
			case <-ctx.Done():
				return
			}
		}
	}()
}

// Run runs a forwarder or a planner to its end.
func Run(kind, path string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if kind == "planner" {
		cfg, err := planner.ReadFile(path)
		if err != nil {
			return err
		}
		applyLimits(cfg.Ingress.MemoryMB)
		log := newLogger(kind, cfg.Number)
		onSIGHUP(ctx, func() {
			if err := CheckConfig(kind, path); err != nil {
				log.Error("the file would not be taken", "error", err)
			} else {
				log.Info("the file is good; a restart takes it over, and hands the cells on meanwhile")
			}
		})
		return planner.Run(ctx, cfg, log)
	}
	if kind != "forwarder" {
		return fmt.Errorf("unknown kind %q", kind)
	}
	cfg, err := forwarder.ReadFile(path)
	if err != nil {
		return err
	}
	applyLimits(cfg.Ingress.MemoryMB)
	log := newLogger(kind, cfg.Number)
	reread := make(chan ingress.Config)
	onSIGHUP(ctx, func() {
		next, err := forwarder.ReadFile(path)
		if err != nil {
			log.Error("the file would not be taken", "error", err)
			return
		}
		if next.Ingress.NeedsRestart(cfg.Ingress) {
			log.Warn("of the new configuration only the address of discovery is taken over before a restart")
		}
		select {
		case reread <- next.Ingress:
		case <-ctx.Done():
		}
	})
	return ingress.RunWithDecider(ctx, cfg.Ingress, reread, log, forwarder.NewGatewayFunc(cfg))
}
