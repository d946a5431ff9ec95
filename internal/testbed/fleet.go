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

// Spawn makes the command of one program: kind is forwarder, planner or ingress, file its configuration.
type Spawn func(kind, file string) *exec.Cmd

// FleetConfig describes a fleet under test and its stand-ins.
type FleetConfig struct {
	Forwarders, Planners int // with Planners 0 the forwarders are one-program ingresses that talk to each other
	Nodes                int
	Params               topology.Params // times; the rest is filled in
	Classes              []policy.Class
	Plans                []policy.Plan
	Node                 node.Config
	NodeConditions       node.Conditions // of nodes, from the start on
	Seed                 uint64
	Dir                  string
	Spawn                Spawn
	MemoryMB, Sockets    int
	StallS               float64 // by which a process may be late as it is held up: added to what counts to an answer, not to drains
	LateDials            float64 // share of the connections to nodes that come up late, where RunIngress is what runs
	SlowS                float64 // added to the auditor's time limits, for tests that a slow machine must pass too
	Exact                bool    // quotas have QuotaSlack alone: for runs in which no node is slow
	Quota                float64 // of the rule on quotas; 0: QuotaSlack in two levels, not judged in one
	CapX                 float64 // of the rule on caps; 0: 2 in two levels, not judged in one
	PeerLoss             float64 // of messages between ingresses in virtual time; 0 stands for 3%
	Operator             string  // more of the operator's file of ingresses of one level, or of planners
	MeasureOverload      bool    // more is asked for than nodes can do: the auditor works out what that came to
	Peak                 oracle.Peak
	Stated               oracle.LoadSheddingBounds // of a fleet that sheds as one, in such a run
	Zones                int                       // of nodes, in turn, each of which remembers keys for itself; 0: one, and all remember alike
	Direct               bool                      // no links between clients, ingresses and nodes: for measurements of cost
	// Discovery, if set, gives the address at which a party asks, in place of the stand-in roster.
	Discovery func(f *Fleet, party string) (string, error)
	// Source, if set, is told of each change of a node before the stand-in roster is, and says whether the roster is to be told too.
	Source  func(f *Fleet, t discovery.Endpoint) bool
	OneAddr bool    // all parties see a node at one address
	StaleS  float64 // of the rule on stale words; 0: not judged
}

// Fleet is a running fleet with its stand-ins.
type Fleet struct {
	cfg        FleetConfig
	Hist       *oracle.History
	Discovery  *Discovery
	Forwarders []*Proc
	Planners   []*Proc
	Links      [][]*Link // by planner and forwarder
	FrontLinks []*Link   // from clients, by forwarder; nil with Direct
	Front      *Front
	Peers      *PeerNet // of a fleet of one level

	mu        sync.Mutex
	nodes     []*Node            // that run and do not drain
	nodeLinks map[string][]*Link // by node: for forwarders of even and of odd numbers
	net       *NodeNet
	nodeSeq   int
	taken     map[string]bool // targets of faults that are under way
	clients   *Clients        // while they run
	accounts  []Account       // that ask
}

// ZoneOf is the zone of a node, of so many, by its id.
func ZoneOf(id string, zones int) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(id, "z"))
	return string(rune('a' + n%max(zones, 1)))
}

// StartFleet starts stand-ins and programs and waits until every forwarder takes requests.
func StartFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Hist: oracle.NewHistory(), nodeLinks: map[string][]*Link{}, taken: map[string]bool{}}
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
		err = f.twoLevels()
	} else {
		err = f.oneLevel()
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

// Observer is the roster's name of a forwarder.
func (f *Fleet) Observer(i int) string { return oracle.IngressName(i) }

// NewProc makes a program of the fleet that Stop does not know; what it says goes to a log in the fleet's folder.
func (f *Fleet) NewProc(kind, name, file string) *Proc { return f.proc(kind, name, file, "", "") }

// Dir is the fleet's folder.
func (f *Fleet) Dir() string { return f.cfg.Dir }

// Seed is the fleet's.
func (f *Fleet) Seed() uint64 { return f.cfg.Seed }

// Claim runs do unless another fault of the target is under way.
func (f *Fleet) Claim(target string, do func()) bool { return f.claim(target, do) }

// addrFor is where a party sees a node: behind a link.
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

// AddNode starts another node, cold or as one that has stood for long, and has the roster tell of it.
func (f *Fleet) AddNode(cold bool) (*Node, error) {
	return f.startNode(f.newNodeID(), "", nil, cold)
}

func (f *Fleet) newNodeID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodeSeq++
	return fmt.Sprintf("z%d", f.nodeSeq)
}

// startNode starts a node at an address, "" for one of its own, behind links that are there or behind new ones.
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

// Nodes are those that run and do not drain.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// linksOf are the links to a node.
func (f *Fleet) linksOf(n *Node) []*Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodeLinks[n.ID]
}

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

// AddrFor is the address at which a party sees a node.
func (f *Fleet) AddrFor(party string, t discovery.Endpoint) string { return f.addrFor(party, t) }

// without takes a node out of those that run, and tells whether it was among them.
func (f *Fleet) without(n *Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := len(f.nodes)
	f.nodes = slices.DeleteFunc(f.nodes, func(x *Node) bool { return x == n })
	return len(f.nodes) < before
}

// Drain has the roster tell that a node drains, and ends it a while later.
func (f *Fleet) Drain(n *Node, gone time.Duration) {
	if !f.without(n) {
		return
	}
	f.notify(n, "terminating")
	time.AfterFunc(gone, func() {
		f.notify(n, "terminated")
		n.Stop()
	})
}

// Stop ends all.
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
