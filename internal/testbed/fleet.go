package testbed

import (
	"fmt"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// Spawn returns the command of a program. kind is forwarder, planner or ingress, and file is the path of its configuration.
type Spawn func(kind, file string) *exec.Cmd

// FleetConfig describes a fleet under test and its stand-ins.
type FleetConfig struct {
	Forwarders, Planners int // without planners the forwarders are one-level ingresses, which exchange messages with each other
	Nodes                int
	Params               topology.Params // StartFleet sets Name, Forwarders and Planners
	Classes              []policy.Class
	Plans                []policy.Plan
	Node                 node.Config
	NodeConditions       node.Conditions // conditions of the nodes when no fault changes them
	Seed                 uint64
	Dir                  string
	Spawn                Spawn
	MemoryMB, Sockets    int
	StallS               float64 // seconds that a stalled process may be late; extends the oracle's limits for answers, but not those for drains
	LateDials            float64 // fraction of connections to nodes that are established late; needs programs that call RunIngress
	SlowS                float64 // seconds added to the oracle's time limits, for tests that must also pass on a slow machine
	Exact                bool    // the quota rule allows only its slack, without QuotaSeconds: for runs in which no node is slow
	QuotaSlack           float64 // slack of the quota rule, in units; 0: the constant QuotaSlack in two levels, not checked in one
	ConcurrencyFactor    float64 // factor of the rule on concurrency limits; 0: 2 in two levels, not checked in one
	PeerLoss             float64 // fraction of messages between ingresses that is lost in virtual time; 0: 3%
	Operator             string  // lines added to the operator's file of one-level ingresses, or of planners
	MeasureOverload      bool    // the demand exceeds the capacity of the nodes: the oracle measures the result
	Peak                 oracle.Peak
	LoadSheddingBounds   oracle.LoadSheddingBounds // with MeasureOverload and Operator: the bounds on load shedding that the oracle checks
	Zones                int                       // zones, assigned to nodes in turn, each with its own memory of keys; 0: one zone
	Direct               bool                      // no links between clients, ingresses and nodes: for measurements of cost
	// Discovery, if set, returns the address at which a party queries discovery, in place of the stand-in.
	Discovery func(f *Fleet, party string) (string, error)
	// Source, if set, receives each change of a node first, and tells whether the discovery stand-in is to receive the change too.
	Source  func(f *Fleet, t discovery.Endpoint) bool
	OneAddr bool    // all parties see a node at the same address
	StaleS  float64 // seconds, the oracle's MembershipTTLS; 0: not checked
}

// Fleet is a running fleet with its stand-ins.
type Fleet struct {
	cfg        FleetConfig
	Hist       *oracle.History
	Discovery  *Discovery
	Forwarders []*Proc
	Planners   []*Proc
	Links      [][]*Link // [planner][forwarder]
	FrontLinks []*Link   // from clients, by forwarder; nil if Direct
	Front      *Front
	Peers      *PeerNet // of a one-level fleet

	mu          sync.Mutex
	nodes       []*Node            // that run and are not draining
	nodeLinks   map[string][]*Link // by node: [0] for forwarders with even numbers, [1] for those with odd ones
	net         *NodeNet
	nodeSeq     int
	busyTargets map[string]bool // targets of active faults
	clients     *Clients        // set when the scenario starts
	accounts    []Account       // of the scenario
}

// ZoneOf returns the zone of the node with an ID, out of a number of zones.
func ZoneOf(id string, zones int) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(id, "z"))
	return string(rune('a' + n%max(zones, 1)))
}

// StartFleet starts the stand-ins and programs and waits until every forwarder answers PING. After an error the caller has to stop the returned
// fleet.
func StartFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Hist: oracle.NewHistory(), nodeLinks: map[string][]*Link{}, busyTargets: map[string]bool{}}
	f.net = NewNodeNet(f.Hist)
	f.Discovery = NewDiscovery(f.Hist)
	f.Discovery.AddrFor = f.addrFor
	for range cfg.Nodes {
		if _, err := f.AddNode(false); err != nil {
			return f, err
		}
	}
	var err error
	if cfg.Planners > 0 {
		err = f.addTwoLevelPrograms()
	} else {
		err = f.addOneLevelPrograms()
	}
	if err != nil {
		return f, err
	}
	if err := f.openFront(); err != nil {
		return f, err
	}
	for _, p := range append(append([]*Proc{}, f.Planners...), f.Forwarders...) {
		if err := p.Start(); err != nil {
			return f, err
		}
	}
	for _, p := range f.Forwarders {
		if err := p.Ready(20 * time.Second); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Observer returns the name that forwarder i has in the history and towards discovery.
func (f *Fleet) Observer(i int) string { return oracle.IngressName(i) }

// NewProc returns a program that Stop does not end. Its output goes to a log file in the directory of the fleet.
func (f *Fleet) NewProc(kind, name, file string) *Proc { return f.newProc(kind, name, file, "", "") }

// Dir returns the directory with the configurations and logs of the fleet.
func (f *Fleet) Dir() string { return f.cfg.Dir }

// Seed returns the random seed of the fleet.
func (f *Fleet) Seed() uint64 { return f.cfg.Seed }

// Claim calls do unless another fault of the target is active, and tells whether it did.
func (f *Fleet) Claim(target string, do func()) bool { return f.claim(target, do) }

// addrFor returns the address at which a party sees a node: that of a link to the node, if it has links.
func (f *Fleet) addrFor(party string, t discovery.Endpoint) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	links := f.nodeLinks[t.ID]
	if len(links) == 0 {
		return t.Addr
	}
	side := 0
	if n, err := strconv.Atoi(strings.TrimPrefix(party, "f")); err == nil && !f.cfg.OneAddr {
		side = n % len(links)
	}
	return links[side].Addr()
}

// AddNode starts a node and announces it to discovery. A cold node is in slow start, any other counts as long since started.
func (f *Fleet) AddNode(cold bool) (*Node, error) {
	return f.startNode(f.newNodeID(), "", nil, cold)
}

func (f *Fleet) newNodeID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodeSeq++
	return fmt.Sprintf("z%d", f.nodeSeq)
}

// startNode starts a node at addr, or at an address of its own if addr is empty. It uses the given links to it and opens the missing ones.
func (f *Fleet) startNode(id, addr string, links []*Link, cold bool) (*Node, error) {
	f.mu.Lock()
	f.nodeSeq++
	seed := f.cfg.Seed + uint64(f.nodeSeq)
	f.mu.Unlock()
	cfg := f.cfg.Node
	cfg.Zone = ZoneOf(id, f.cfg.Zones)
	n, err := f.net.Start(id, addr, cfg, cold, seed)
	if err != nil {
		return nil, err
	}
	n.SetConditions(f.cfg.NodeConditions)
	for len(links) < 2 && !f.cfg.Direct {
		k, err := NewLinkWith(n.Addr(), Hooks{NearEnd: f.Hist.ConnectionEnded})
		if err != nil {
			return nil, err
		}
		links = append(links, k)
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.nodeLinks[id] = links
	f.mu.Unlock()
	f.notify(n, "in_service")
	return n, nil
}

// Nodes returns the nodes that run and are not draining.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// linksOf returns the links to a node.
func (f *Fleet) linksOf(n *Node) []*Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodeLinks[n.ID]
}

// notify announces the state of a node to discovery.
func (f *Fleet) notify(n *Node, state string) {
	started := int64(0)
	if n.inSlowStart() {
		started = n.started.UnixMilli()
	}
	t := discovery.Endpoint{ID: n.ID, Addr: n.Addr(), Zone: ZoneOf(n.ID, f.cfg.Zones), State: state, Weight: 1, StartedMS: started}
	if f.cfg.Source == nil || f.cfg.Source(f, t) {
		f.Discovery.Set(t)
	}
}

// AddrFor returns the address at which a party sees a node.
func (f *Fleet) AddrFor(party string, t discovery.Endpoint) string { return f.addrFor(party, t) }

// removeNode removes a node from the running ones, and tells whether it was one of them.
func (f *Fleet) removeNode(n *Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := len(f.nodes)
	f.nodes = slices.DeleteFunc(f.nodes, func(x *Node) bool { return x == n })
	return len(f.nodes) < before
}

// Drain announces to discovery that a node is draining, and stops the node after stopAfter.
func (f *Fleet) Drain(n *Node, stopAfter time.Duration) {
	if !f.removeNode(n) {
		return
	}
	f.notify(n, "terminating")
	time.AfterFunc(stopAfter, func() {
		f.notify(n, "terminated")
		n.Stop()
	})
}

// Stop ends the programs, links and stand-ins.
func (f *Fleet) Stop() {
	for _, p := range append(append([]*Proc{}, f.Forwarders...), f.Planners...) {
		p.Kill()
	}
	for _, ks := range f.Links {
		for _, k := range ks {
			k.Close()
		}
	}
	if f.Peers != nil {
		f.Peers.Close()
	}
	for _, k := range f.FrontLinks {
		k.Close()
	}
	f.mu.Lock()
	for _, ks := range f.nodeLinks {
		for _, k := range ks {
			k.Close()
		}
	}
	f.mu.Unlock()
	for _, n := range f.Nodes() {
		n.Stop()
	}
	f.Discovery.Close()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
