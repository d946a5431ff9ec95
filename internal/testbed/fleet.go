package testbed

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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

// nextPort is where freeAddr looks next: below what the system gives to connections and to listeners without a port,
// so that nobody takes an address before its program has started, and again after it was killed.
var nextPort atomic.Uint32

const portsFrom, ports = 20000, 12000

// freeAddr finds an address that nobody listens on.
func freeAddr() (string, error) {
	nextPort.CompareAndSwap(0, uint32(os.Getpid())*401+1)
	for range ports {
		addr := ownAddr(int(portsFrom + nextPort.Add(1)%ports))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free address")
}

// What the settings state of nodes that have just started; nodes keep to it or do better.
const (
	StatedSlowStartMinFraction = 0.26
	StatedSlowStartS           = 10.0
	StatedMultiple             = 3.0
	StatedFallS                = 1.0
)

// MaxAttempts is how often a request may be sent to nodes.
const MaxAttempts = 5

// SlowStartSlack is the share of a cold node's budget that chance and the network's delays may add.
const SlowStartSlack = 0.03

// ZoneOf is the zone of a node, of so many, by its id.
func ZoneOf(id string, zones int) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(id, "z"))
	return string(rune('a' + n%max(zones, 1)))
}

// settingsOf words classes and plans as the platform does.
func settingsOf(cfg FleetConfig, me int, peers bool) map[string]any {
	effects := map[policy.Idempotency]string{policy.Idempotent: "retryable", policy.KeyedIdempotent: "dedup", policy.NonIdempotent: "fragile"}
	scopes := map[policy.KeyScope]string{policy.ScopeAll: "all", policy.ScopeZone: "zone", policy.ScopeCell: "cell"}
	var profiles, packages []map[string]any
	for _, c := range cfg.Classes {
		profiles = append(profiles, map[string]any{"name": c.Name, "aimS": c.LatencyObjectiveS, "deadlineS": c.DeadlineS,
			"effect": effects[c.Idempotency], "keyScope": scopes[c.KeyScope], "keyTtlS": c.KeyTTLS, "worth": c.PriorityWeight})
	}
	for _, p := range cfg.Plans {
		packages = append(packages, map[string]any{"name": p.Name, "unitsPerS": p.Rate, "peakUnits": p.Burst,
			"parallel": p.MaxConcurrency, "pays": p.Weight, "hardRate": p.HardLimitRate, "capDepth": p.HardLimitBurst,
			"ceilingSlack": p.HardLimitSlack, "excessCost": 1.0})
	}
	return map[string]any{"balancers": cfg.Forwarders, "me": me, "myZone": "a",
		"familyInfo": map[string]any{"maxUnits": 6, "peerIntake": 40.0}, "feedback": map[string]any{"how": "answers"},
		"limits": map[string]any{"cancel": true, "connIdleS": 15.0, "dialTimeoutS": 0.25, "maxAttempts": MaxAttempts,
			"maxRetryAfterS": 1.0, "mostHeld": 20000, "peerMessages": peers, "retryAfter": true},
		"profiles": profiles, "packages": packages, "tickS": 0.004,
		"rules": map[string]any{"answerSlackS": 0.05, "coldFrom": StatedSlowStartMinFraction, "coldS": StatedSlowStartS, "fallMultiple": StatedMultiple,
			"fallS": StatedFallS}}
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

// base writes a configuration as the platform gives it.
func (f *Fleet) base(name string, number int, listen string, peers []string) (string, error) {
	ask := f.Discovery.For
	if f.cfg.Discovery != nil {
		ask = func(party string) (string, error) { return f.cfg.Discovery(f, party) }
	}
	discovery, err := ask(name)
	if err != nil {
		return "", err
	}
	c := map[string]any{"name": name, "listen": listen, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", f.cfg.Seed*1000+uint64(number)+1), "limits": map[string]any{"memory_mb": max(f.cfg.MemoryMB, 64), "sockets": max(f.cfg.Sockets, 512)},
		"known": f.Discovery.All(name), "settings": settingsOf(f.cfg, number, len(peers) > 0)}
	if len(peers) > 0 {
		c["peer_listen"], c["peers"] = peers[number], peers
	}
	return f.write(name+".json", c)
}

func (f *Fleet) write(name string, v any) (string, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.cfg.Dir, name)
	return path, os.WriteFile(path, text, 0o600)
}

func (f *Fleet) oneLevel() error {
	var peers []string
	for range f.cfg.Forwarders {
		c, err := net.ListenPacket("udp", ownAddr(0))
		if err != nil {
			return err
		}
		defer c.Close()
		peers = append(peers, c.LocalAddr().String())
	}
	var err error
	if f.Peers, err = NewPeerNet(peers, f.cfg.Seed); err != nil {
		return err
	}
	for i := range f.cfg.Forwarders {
		listen, err := freeAddr()
		if err != nil {
			return err
		}
		file, err := f.base(f.Observer(i), i, listen, f.Peers.Peers(i))
		if err != nil {
			return err
		}
		status := ""
		if f.cfg.Operator != "" {
			if status, err = freeAddr(); err != nil {
				return err
			}
			text := fmt.Sprintf("status = %q\n%s", status, f.cfg.Operator)
			if err := os.WriteFile(filepath.Join(f.cfg.Dir, f.Observer(i)+".toml"), []byte(text), 0o600); err != nil {
				return err
			}
		}
		p := f.proc("ingress", f.Observer(i), file, listen, status)
		if err := f.addAdminInterfaces(p, "ingress", file, nil); err != nil {
			return err
		}
		f.Forwarders = append(f.Forwarders, p)
	}
	return nil
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

// FreeAddr finds an address on loopback that nobody listens on, and that nobody is given.
func FreeAddr() (string, error) { return freeAddr() }

func (f *Fleet) proc(kind, name, file, listen, status string) *Proc {
	return &Proc{Name: name, Listen: listen, Status: status, log: filepath.Join(f.cfg.Dir, name+".log"),
		cmd: func() *exec.Cmd { return f.cfg.Spawn(kind, file) }}
}

func (f *Fleet) common(number int, base, status string) string {
	p := f.cfg.Params
	return fmt.Sprintf("fleet = \"lab\"\nnumber = %d\nforwarders = %d\nplanners = %d\ncells = %d\nlease_ms = %g\nbeat_ms = %g\n"+
		"silence_ms = %g\nwait_ms = %g\nfailsafe_ms = %g\nbase = %q\nstatus = %q\n", number, f.cfg.Forwarders, f.cfg.Planners,
		p.Cells, p.LeaseS*1e3, p.HeartbeatS*1e3, p.LinkTimeoutS*1e3, p.LeaderWaitS*1e3, p.FailsafeDelayS*1e3, base, status)
}

func (f *Fleet) twoLevels() error {
	f.cfg.Params.Name, f.cfg.Params.Forwarders, f.cfg.Params.Planners = "lab", f.cfg.Forwarders, f.cfg.Planners
	if err := f.cfg.Params.Check(); err != nil {
		return err
	}
	for i := range f.cfg.Planners {
		name := "p" + strconv.Itoa(i)
		listen, err := freeAddr()
		if err != nil {
			return err
		}
		status, err := freeAddr()
		if err != nil {
			return err
		}
		base, err := f.base(name, i, listen, nil)
		if err != nil {
			return err
		}
		file := filepath.Join(f.cfg.Dir, name+".toml")
		console, err := freeAddr()
		if err != nil {
			return err
		}
		text := f.common(i, base, status) + fmt.Sprintf("listen = %q\n", listen)
		if f.cfg.Params.LeaseS <= maxAdminLeaseS {
			text += fmt.Sprintf("console = %q\n", console)
		}
		if err := os.WriteFile(file, []byte(text+f.cfg.Operator), 0o600); err != nil {
			return err
		}
		p := f.proc("planner", name, file, listen, status)
		p.adminInterfaces = [2]adminInterface{{console, file}, {console, file}}
		f.Planners = append(f.Planners, p)
		var links []*Link
		for range f.cfg.Forwarders {
			k, err := NewLink(listen)
			if err != nil {
				return err
			}
			links = append(links, k)
		}
		f.Links = append(f.Links, links)
	}
	for i := range f.cfg.Forwarders {
		listen, err := freeAddr()
		if err != nil {
			return err
		}
		status, err := freeAddr()
		if err != nil {
			return err
		}
		base, err := f.base(f.Observer(i), i, listen, nil)
		if err != nil {
			return err
		}
		var at []string
		for p := range f.cfg.Planners {
			at = append(at, strconv.Quote(f.Links[p][i].Addr()))
		}
		p := f.proc("forwarder", f.Observer(i), "", listen, status)
		if err := f.addAdminInterfaces(p, "forwarder", base, func(n int, base string) (string, error) {
			file := filepath.Join(f.cfg.Dir, fmt.Sprintf("%s-%d.toml", f.Observer(i), n))
			text := f.common(i, base, status) + "planners_at = [" + strings.Join(at, ", ") + "]\n"
			return file, os.WriteFile(file, []byte(text), 0o600)
		}); err != nil {
			return err
		}
		f.Forwarders = append(f.Forwarders, p)
	}
	return nil
}

// openFront makes the way from clients to the ingresses.
func (f *Fleet) openFront() error {
	var addrs []string
	var front *Front
	for i, p := range f.Forwarders {
		addr := p.Listen
		if !f.cfg.Direct {
			k, err := NewLinkWith(addr, Hooks{Unreached: func(near string) { front.noteUnreached(near) }})
			if err != nil {
				return fmt.Errorf("link to forwarder %d: %w", i, err)
			}
			f.FrontLinks = append(f.FrontLinks, k)
			addr = k.Addr()
		}
		addrs = append(addrs, addr)
	}
	front = NewFront(f.Hist, addrs, func(i int) int { return f.Forwarders[i].Incarnation() }, f.cfg.Seed)
	front.leaves = func(i int) bool { return f.Forwarders[i].Leaving() > leaveAfter }
	if !f.cfg.Direct {
		front.cut = func(i int, since time.Time) bool { return f.FrontLinks[i].CutSince(since) }
	}
	f.Front = front
	return nil
}

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

// QuotaSlack is the stated slack of two levels, in units; docs/two-levels.md. One level states none.
const QuotaSlack = 6.0

// QuotaSeconds of its rate may an account be beyond its quota on top: what the module has counted waits in it for a server,
// for as long as the longest aim at most, while the window fills again.
func QuotaSeconds(exact bool, classes []policy.Class) (s float64) {
	for _, c := range classes {
		if !exact {
			s = max(s, c.LatencyObjectiveS)
		}
	}
	return s
}

// Rules are those that the fleet's history is judged by.
func (f *Fleet) Rules() oracle.Config {
	quota, caps := 0.0, 0.0
	if len(f.Planners) > 0 {
		quota, caps = QuotaSlack, 2
	}
	quota, caps = cmp.Or(f.cfg.Quota, quota), cmp.Or(f.cfg.CapX, caps)
	var homes map[string]oracle.GatewayRange
	if len(f.Planners) == 0 && f.cfg.Quota >= 0 {
		homes = Homes(f.accounts)
	}
	var stated *oracle.LoadSheddingBounds
	if f.cfg.MeasureOverload && f.cfg.Operator != "" {
		stated = &f.cfg.Stated
	}
	return oracle.Config{LoadShedding: stated, Homes: homes, Gateways: f.cfg.Forwarders, Overload: f.cfg.MeasureOverload, Peak: f.cfg.Peak, QuotaSlack: quota, QuotaSlackS: QuotaSeconds(f.cfg.Exact, f.cfg.Classes), Classes: f.cfg.Classes, Plans: f.cfg.Plans, DrainGraceS: 0.25 + f.cfg.SlowS, AnswerGraceS: 0.25 + f.cfg.SlowS + f.cfg.StallS,
		LateRejectionS: 0.03 + f.cfg.SlowS + f.cfg.StallS, MaxOverlapS: 0.1 + f.cfg.SlowS + f.cfg.StallS, HardLimitSlackS: 0.15, LargestRequest: 6, ConcurrencyFactor: caps, MaxAttempts: MaxAttempts, SlowStartFactor: f.cfg.Node.FallMultiple, SlowStartWindowS: f.cfg.Node.FallS,
		SlowStartSlack: SlowStartSlack, SlowStartChance: f.cfg.StallS > 0, MembershipTTLS: f.cfg.StaleS, MaxLateness: 90*time.Millisecond + seconds(f.cfg.SlowS)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Proc is one program under test.
type Proc struct {
	Name, Listen, Status string
	log                  string
	cmd                  func() *exec.Cmd
	adminInterfaces      [2]adminInterface // of an ingress; the one in use changes with each replacement

	mu     sync.Mutex
	run    *exec.Cmd
	exited chan struct{}
	paused bool
	starts int
	turn   int           // replacements
	termAt time.Time     // when it was asked to end, while it does
	cpu    time.Duration // of runs that have ended
}

// Start starts the program.
func (p *Proc) Start() error { return p.start(true) }

// start starts the program, for another life of it or in the one that goes on.
func (p *Proc) start(another bool) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := p.cmd()
	c.Stdout, c.Stderr = out, out
	if err := spawned(c); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.run, p.exited, p.paused = c, exited, false
	if another {
		p.starts++
	}
	p.mu.Unlock()
	go func() {
		_ = c.Wait()
		p.mu.Lock()
		p.cpu += c.ProcessState.UserTime() + c.ProcessState.SystemTime()
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Incarnation tells one run of the program from another; it is below 0 while the program does not run or is paused.
func (p *Proc) Incarnation() int {
	if !p.Up() {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// starting has all programs started by one thread that lives as long as the laboratory: a program ends with the thread
// that started it, so that none is left behind when the laboratory itself is killed.
var starting = sync.OnceValue(func() chan func() {
	todo := make(chan func())
	go func() {
		runtime.LockOSThread()
		for do := range todo {
			do()
		}
	}()
	return todo
})

func spawned(c *exec.Cmd) error {
	if c.SysProcAttr == nil {
		c.SysProcAttr = &syscall.SysProcAttr{}
	}
	c.SysProcAttr.Pdeathsig = syscall.SIGKILL
	done := make(chan error)
	starting() <- func() { done <- c.Start() }
	return <-done
}

// Up tells that the program runs and is not paused.
func (p *Proc) Up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil || p.paused {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *Proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		_ = p.run.Process.Signal(s)
	}
}

// HUP has the program read its files again.
func (p *Proc) HUP() { p.signal(syscall.SIGHUP) }

// RSS is the program's resident memory in bytes, 0 if it does not run.
func (p *Proc) RSS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.run.Process.Pid))
	if err != nil {
		return 0
	}
	if f := strings.Fields(string(text)); len(f) > 1 {
		pages, _ := strconv.ParseInt(f[1], 10, 64)
		return pages * int64(os.Getpagesize())
	}
	return 0
}

// Kill ends the program at once and waits for its end.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// leaveAfter a program was asked to end, the front sends it no new connections: between 0.2 and 0.4 s on the platform.
const leaveAfter = 300 * time.Millisecond

// Leaving is for how long the program has been asked to end; 0 while it has not, or has ended.
func (p *Proc) Leaving() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.termAt.IsZero() {
		return 0
	}
	return time.Since(p.termAt)
}

// Term asks the program to end and waits for its end.
func (p *Proc) Term() {
	p.mu.Lock()
	p.termAt = time.Now()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.termAt = time.Time{}
		p.mu.Unlock()
	}()
	p.signal(syscall.SIGTERM)
	p.wait()
}

func (p *Proc) wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Pause stops the program's time, Resume lets it go on.
func (p *Proc) Pause() {
	p.mu.Lock()
	p.paused = true
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
}

// Resume ends a pause.
func (p *Proc) Resume() {
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	p.paused = false
	p.mu.Unlock()
}

// Ready waits until the program answers PING.
func (p *Proc) Ready(most time.Duration) error {
	end := time.Now().Add(most)
	for time.Now().Before(end) {
		if c, err := net.DialTimeout("tcp", p.Listen, time.Second); err == nil {
			_ = c.SetDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if strings.HasPrefix(line, "+PONG") {
				return nil
			}
		}
		if !p.Up() {
			text, _ := os.ReadFile(p.log)
			return fmt.Errorf("%s ended: %s", p.Name, text)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", p.Name)
}

// CPU is what the program has used, all its runs together.
func (p *Proc) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	cpu := p.cpu
	if p.run != nil {
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.run.Process.Pid)); err == nil {
			f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
			if len(f) > 13 {
				user, _ := strconv.Atoi(f[11])
				sys, _ := strconv.Atoi(f[12])
				cpu += time.Duration(user+sys) * 10 * time.Millisecond
			}
		}
	}
	return cpu
}

// ReadStatus reads a program's status into v.
func (p *Proc) ReadStatus(ctx context.Context, v any) error {
	if p.Status == "" {
		return errors.New("no status")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Status+"/", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}
