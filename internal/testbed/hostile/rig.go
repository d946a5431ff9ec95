package hostile

import (
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/testbed"
	"eiderspread/policy"
)

// Shape is the way in which the product is deployed.
type Shape string

// The shapes.
const (
	OneProgram Shape = "program" // an ingress with the decision module in the same process
	Forwarder  Shape = "forwarder"
)

const (
	startTimeout = 20 * time.Second
	backendCount = 32
	ingresses    = 2 // the cases use the first; requests of some accounts belong to both
	planners     = 2
	waitS        = 1.2 // deadline of the operators' classes, in seconds
	drainTime    = 100 * time.Millisecond
	otherClass   = "lookup"
	otherWaitS   = 3.0 // deadline of otherClass, in seconds
)

// classes of the cases: those of the operators, with objectives that are the same fractions of the deadline, and one for other clients.
var classes = []policy.Class{
	{Name: "zone-check", LatencyObjectiveS: waitS / 4, DeadlineS: waitS, Idempotency: policy.Idempotent, PriorityWeight: 1},
	{Name: otherClass, LatencyObjectiveS: otherWaitS / 2, DeadlineS: otherWaitS, Idempotency: policy.Idempotent, PriorityWeight: 1},
	{Name: "slot-hold", LatencyObjectiveS: waitS / 4, DeadlineS: waitS, Idempotency: policy.KeyedIdempotent, KeyScope: policy.ScopeAll, KeyTTLS: 4, PriorityWeight: 3},
	{Name: "courier-send", LatencyObjectiveS: waitS * 3 / 8, DeadlineS: waitS, Idempotency: policy.NonIdempotent, KeyTTLS: 5, PriorityWeight: 5},
}

// Plans of the cases: one without a quota, and one whose quota counts accounts.
const (
	planFree  = "free"
	planBasic = "basic"
)

var plans = []policy.Plan{{Name: planFree, Weight: 1}, {Name: planBasic, Rate: 5, Burst: 10, Weight: 1}}

// Config describes a rig.
type Config struct {
	Shape    Shape
	Programs string // folder with the programs eiderspread and fleet
	Dir      string // for configurations and logs
	MemoryMB int    // the programs' limit
	Sockets  int    // the programs' limit
	Seed     uint64 // of what the case draws
	Classes  []policy.Class
}

// Rig is a running ingress with its stand-ins.
type Rig struct {
	Backends []*Backend

	cfg   Config
	fleet *testbed.Fleet
	mu    sync.Mutex
	conns []net.Conn // of clients, closed at the end
}

// Start starts the stand-ins and the programs. The caller has to close the rig.
func Start(cfg Config) (*Rig, error) {
	r := &Rig{cfg: cfg}
	for i := range backendCount {
		b, err := startBackend(fmt.Sprint("s", i), "")
		if err != nil {
			r.Close()
			return nil, err
		}
		r.Backends = append(r.Backends, b)
	}
	fleetConfig := testbed.FleetConfig{Forwarders: ingresses, Classes: cfg.Classes, Plans: plans, Seed: 1, Dir: cfg.Dir, MemoryMB: cfg.MemoryMB, Sockets: cfg.Sockets,
		Direct: true, Spawn: r.command, Discovery: r.announceBackends}
	if cfg.Shape == Forwarder {
		fleetConfig.Planners = planners
	}
	var err error
	if r.fleet, err = testbed.StartFleet(fleetConfig); err == nil {
		err = r.fleet.WaitForLeaders(startTimeout)
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// command returns the command of a program with its configuration file.
func (r *Rig) command(kind, file string) *exec.Cmd {
	if kind == "ingress" {
		cmd := exec.Command(filepath.Join(r.cfg.Programs, "eiderspread"))
		cmd.Env = append(cmd.Environ(), "EDGE_CONFIG="+file, "TMPDIR="+r.cfg.Dir)
		return cmd
	}
	cmd := exec.Command(filepath.Join(r.cfg.Programs, "fleet"), kind, file)
	cmd.Env = append(cmd.Environ(), "TMPDIR="+r.cfg.Dir)
	return cmd
}

// announceBackends opens discovery for a program, which lists the backends.
func (r *Rig) announceBackends(f *testbed.Fleet, party string) (string, error) {
	for _, b := range r.Backends {
		f.Discovery.Set(discovery.Endpoint{ID: b.id, Addr: b.addr, Zone: "a", State: "in_service", Weight: 1})
	}
	return f.Discovery.For(party)
}

// drainAndReturn announces that a backend drains, and a moment later that it is in service again. What it has begun goes on.
func (r *Rig) drainAndReturn(b *Backend) {
	for _, state := range []string{"terminating", "in_service"} {
		r.fleet.Discovery.Set(discovery.Endpoint{ID: b.id, Addr: b.addr, Zone: "a", State: state, Weight: 1})
		time.Sleep(drainTime)
	}
}

// ingress returns the program that serves clients.
func (r *Rig) ingress() *testbed.Proc { return r.fleet.Forwarders[0] }

// programs returns all programs of the product.
func (r *Rig) programs() []*testbed.Proc {
	return append(append([]*testbed.Proc{}, r.fleet.Forwarders...), r.fleet.Planners...)
}

// Close ends the programs and the stand-ins.
func (r *Rig) Close() {
	r.mu.Lock()
	for _, c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	if r.fleet != nil {
		r.fleet.Stop()
	}
	for _, b := range r.Backends {
		b.close()
	}
}
