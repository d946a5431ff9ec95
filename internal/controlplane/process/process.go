// Package process runs forwarders and planners as programs: it reads their configuration files, handles signals, sets resource limits and
// creates loggers. The testbed runs the same code in processes of its own.
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
	"eiderspread/internal/dataplane/ingressconfig"
)

const (
	// maxProcs is the GOMAXPROCS of a program, whose work is done by one event loop.
	maxProcs = 1
	// memoryLimitFraction is the fraction of the configured memory that is set as the soft memory limit of the Go runtime. Above this limit,
	// the garbage collector runs as often as it needs to.
	memoryLimitFraction = 0.6
)

// The kinds of programs, as they appear in command lines and logs.
const (
	kindForwarder = "forwarder"
	kindPlanner   = "planner"
)

// UnknownKindError reports a kind of program that is neither "forwarder" nor "planner". Its value is the unknown kind.
type UnknownKindError string

// Error implements error.
func (e UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind of program %q, want forwarder or planner", string(e))
}

// CheckConfig reads and checks the operators' file of a "forwarder" or "planner" at path, and the files that it names. For any other kind it
// returns an UnknownKindError.
func CheckConfig(kind, path string) (err error) {
	switch kind {
	case kindForwarder:
		_, err = forwarder.ReadFile(path)
	case kindPlanner:
		_, err = planner.ReadFile(path)
	default:
		err = UnknownKindError(kind)
	}
	return err
}

// Run runs a "forwarder" or "planner" with the operators' file at path until SIGTERM or SIGINT. For any other kind it returns an
// UnknownKindError.
func Run(kind, path string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch kind {
	case kindForwarder:
		return runForwarder(ctx, path)
	case kindPlanner:
		return runPlanner(ctx, path)
	}
	return UnknownKindError(kind)
}

func runPlanner(ctx context.Context, path string) error {
	cfg, err := planner.ReadFile(path)
	if err != nil {
		return err
	}
	applyLimits(cfg.Ingress.MemoryMB)
	log := newLogger(kindPlanner, cfg.Number)
	onSIGHUP(ctx, func() {
		if err := CheckConfig(kindPlanner, path); err != nil {
			log.Error("configuration is invalid", "error", err)
		} else {
			log.Info("configuration is valid and takes effect after a restart, during which other planners lead the cells")
		}
	})
	return planner.Run(ctx, cfg, log)
}

func runForwarder(ctx context.Context, path string) error {
	cfg, err := forwarder.ReadFile(path)
	if err != nil {
		return err
	}
	applyLimits(cfg.Ingress.MemoryMB)
	log := newLogger(kindForwarder, cfg.Number)
	reread := make(chan ingressconfig.Config)
	onSIGHUP(ctx, func() {
		next, err := forwarder.ReadFile(path)
		if err != nil {
			log.Error("configuration is invalid", "error", err)
			return
		}
		if next.Ingress.NeedsRestart(cfg.Ingress) {
			log.Warn("configuration changes other than the discovery address take effect only after a restart")
		}
		select {
		case reread <- next.Ingress:
		case <-ctx.Done():
		}
	})
	return ingress.RunWithDecider(ctx, cfg.Ingress, reread, log, forwarder.NewGatewayFunc(cfg))
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

// onSIGHUP calls do on each SIGHUP until ctx ends. After that the signal has no effect: by default it would end the process, which still
// answers its clients. The goroutine ends with the process.
func onSIGHUP(ctx context.Context, do func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			if ctx.Err() == nil {
				do()
			}
		}
	}()
}
