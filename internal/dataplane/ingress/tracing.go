package ingress

import (
	"context"
	"log/slog"

	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/observability/trace"
	"eiderspread/policy"
)

// startTracing records decision traces until ctx ends. It returns nil if the operator's configuration names no directory for them.
func startTracing(ctx context.Context, cfg ingressconfig.Config, now float64, gateway *policy.Gateway, log *slog.Logger) (*trace.Recorder, error) {
	if cfg.OperatorConfig.Trace == "" {
		return nil, nil
	}
	s := cfg.Settings.Settings
	recorder, err := trace.Start(ctx, cfg.OperatorConfig.Trace, cfg.OperatorConfig.TraceMB, trace.Header{Name: cfg.Name, Gateway: s.Self, Gateways: s.Gateways,
		StartedAt: now, Plans: s.Plans, Classes: s.Classes}, log)
	if err == nil {
		gateway.SetTracer(recorder.Put)
	}
	return recorder, err
}
