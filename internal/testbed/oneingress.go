package testbed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/dataplane/ingressconfig"
)

// Environment of an ingress that the laboratory runs.
const (
	envOperator  = "EDGE_OPERATOR"
	envDialLate  = "LAB_DIAL_LATE"  // share of the connections to nodes that come up late, from 0 to 1
	maxDialDelayS = 1.5              // seconds by which they do
	reloadSignal = syscall.SIGHUP   // has the configuration read again
	endSignal    = syscall.SIGTERM  // begins the shutdown
	minDialDelay = time.Millisecond // the least that a late one waits
)

// RunIngress is what cmd/eiderspread does, but for its limits on processors and memory, with the faults that the environment asks for. The product's
// program holds none of them.
func RunIngress(file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), endSignal, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, reloadSignal)
	defer signal.Stop(hup)
	read := func() (ingressconfig.Config, error) { return ingressconfig.Read(file) }
	cfg, err := read()
	if err != nil {
		return err
	}
	if path := os.Getenv(envOperator); path != "" {
		if cfg.OperatorConfig, err = ingressconfig.ReadOperator(path); err != nil {
			return err
		}
	}
	if share, err := strconv.ParseFloat(os.Getenv(envDialLate), 64); err == nil && share > 0 {
		cfg.Dial = lateDialer(share)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("ingress", cfg.Name, "pid", os.Getpid())
	reread, done := make(chan ingressconfig.Config), make(chan struct{})
	defer close(done)
	go ingressconfig.Reload(hup, done, read, cfg, reread, log)
	return ingress.Run(ctx, cfg, reread, log)
}

// lateDialer makes connections of which a share comes up late, or not in time at all.
func lateDialer(share float64) func(addr string, timeout time.Duration) (net.Conn, error) {
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		if rand.Float64() >= share {
			return net.DialTimeout("tcp", addr, timeout)
		}
		late := max(time.Duration(rand.Float64()*maxDialDelayS*float64(time.Second)), minDialDelay)
		if late >= timeout {
			time.Sleep(timeout)
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		time.Sleep(late)
		return net.DialTimeout("tcp", addr, timeout-late)
	}
}
