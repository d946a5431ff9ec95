package ingress

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"eiderspread/internal/trace"
	"eiderspread/policy"
)

// tracing is the trace of decisions of an ingress whose operator's file asks for one.
type tracing struct{ to *trace.Recorder }

// startTracing has the module's decisions written until ctx ends; at SIGUSR1 what is there is written at once. It returns nil where no
// trace is asked for.
func startTracing(ctx context.Context, cfg Config, now float64, gate *policy.Gateway, log *slog.Logger) (*tracing, error) {
	if cfg.Operator.Trace == "" {
		return nil, nil
	}
	s := cfg.Settings.Settings
	to, err := trace.Open(ctx, cfg.Operator.Trace, cfg.Operator.TraceMB, trace.Header{Name: cfg.Name, Me: s.Me, Gateways: s.Gateways, Started: now,
		Plans: s.Plans, Classes: s.Classes}, log)
	if err != nil {
		return nil, err
	}
	gate.Trace(to.Put)
	flush := make(chan os.Signal, 1)
	signal.Notify(flush, syscall.SIGUSR1)
	go func() {
		defer signal.Stop(flush)
		for {
			select {
			case <-flush:
				to.Flush(ctx)
			case <-to.Done():
				return
			}
		}
	}()
	return &tracing{to}, nil
}

// wait returns when all is written, once the context that tracing was started with has ended.
func (t *tracing) wait() {
	if t != nil {
		<-t.to.Done()
	}
}
