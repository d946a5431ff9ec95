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

// Environment variables of an ingress under test, and constants of the faults and signals that RunIngress handles.
const (
	envOperator   = "EDGE_OPERATOR"
	envDialLate   = "LAB_DIAL_LATE"  // fraction of the connections to nodes that are established late, 0 to 1
	maxDialDelayS = 1.5              // longest delay of a late connection, in seconds
	reloadSignal  = syscall.SIGHUP   // makes the ingress read its configuration again
	endSignal     = syscall.SIGTERM  // starts the shutdown
	minDialDelay  = time.Millisecond // shortest delay of a late connection
)

// RunIngress runs an ingress with the configuration in file until it is told to end. It does the same as cmd/eiderspread, except
// that it sets no limits on processors and memory and injects the faults that the environment variables ask for. The fault
// injection is not compiled into the product's program.
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

// lateDialer returns a dial function that delays the given fraction of the connections by up to maxDialDelayS. A delay that reaches
// the timeout makes the dial fail with a timeout.
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
