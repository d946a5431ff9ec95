package testbed

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/testbed/node"
)

// Fault is one fault of a run. At is its start, after the start of the run, and For its length. A and B select its targets, X is its severity;
// their meaning depends on the kind. A schedule of faults is drawn before a run, so that it can be replayed and reduced.
type Fault struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Kind string        `json:"kind"`
	A    int           `json:"a"`
	B    int           `json:"b"`
	X    float64       `json:"x"` // 0 to 1
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %d %d %.2f for %v", f.Kind, f.A, f.B, f.X, f.For.Round(time.Millisecond))
}

// kind is a kind of fault of fleets on sockets. inject applies a fault and returns when it has ended it. wait returns false as soon as the
// run is over; inject then ends the fault at once.
type kind struct {
	what   string // description, for the help text
	weight int    // how often it is drawn, relative to the others; 0 counts as 1
	// level tells which fleets the kind is for. Drawn by default: 0 for all, 1 for one-level, 2 for two-level fleets. Drawn only when named:
	// 3 for fleets with a FleetConfig.Source, 4 for one-level fleets, 5 for all.
	level int
	// target names what a fault affects. Faults with the same target don't overlap. nil: no restriction.
	target func(f *Fleet, x Fault) string
	inject func(f *Fleet, x Fault, wait func(time.Duration) bool)
}

func onPlanner(f *Fleet, x Fault) string   { return fmt.Sprint("planner ", x.A%len(f.Planners)) }
func onForwarder(f *Fleet, x Fault) string { return fmt.Sprint("forwarder ", x.A%len(f.Forwarders)) }
func fixedTarget(what string) func(*Fleet, Fault) string {
	return func(*Fleet, Fault) string { return what }
}

// pick selects one of the running nodes. It returns nil if fewer than three run, as such a fleet can't spare one.
func (f *Fleet) pick(n int) *Node {
	nodes := f.Nodes()
	if len(nodes) < 3 {
		return nil
	}
	return nodes[n%len(nodes)]
}

// AddKind adds a kind of fault that another package implements, with weight 1, for fleets with a FleetConfig.Source. Faults with the same
// target don't overlap; an empty target restricts nothing. It may be called only during package initialization.
func AddKind(name, what, target string, do func(f *Fleet, x Fault, wait func(time.Duration) bool)) {
	k := kind{what: what, weight: 1, level: 3, inject: do}
	if target != "" {
		k.target = fixedTarget(target)
	}
	kinds[name] = k
}

// KindNames returns a line for each kind of fault, with its name and description.
func KindNames() (list []string) {
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		list = append(list, fmt.Sprintf("%-14s %s", name, kinds[name].what))
	}
	return list
}

// DrawnByDefault tells whether a kind of fault is drawn by default for fleets of two levels, or of one. Unknown names, that is, kinds that
// only the simulation has, are drawn for two levels.
func DrawnByDefault(name string, two bool) bool {
	k, ok := kinds[name]
	return !ok && two || ok && (k.level == 0 || k.level < 3 && (k.level == 2) == two)
}

// CanInject reports whether a kind of fault can be injected, by default or when named, into a fleet of two levels (two; with planners) or of
// one level (without planners).
func CanInject(name string, two bool) bool {
	return DrawnByDefault(name, two) || kinds[name].level == 5 || kinds[name].level == 4 && !two
}

// Schedule draws the faults of a run. The mean interval between them is every, and each lasts 0.5 to 3 s, so that they overlap. Without names
// it draws from all kinds that fit the fleet.
func Schedule(seed uint64, length, every time.Duration, two bool, names []string) (list []Fault) {
	rng := rand.New(rand.NewPCG(seed, 5))
	named := len(names) > 0
	if !named {
		names = slices.Sorted(maps.Keys(kinds))
	}
	var draws []string
	for _, name := range names {
		if DrawnByDefault(name, two) || named && (kinds[name].level == 3 || kinds[name].level == 4 && !two || kinds[name].level == 5) {
			for range max(kinds[name].weight, 1) {
				draws = append(draws, name)
			}
		}
	}
	if len(draws) == 0 {
		return nil
	}
	for at := every; at < length; at += time.Duration(rng.ExpFloat64() * float64(every)) {
		list = append(list, Fault{At: at.Round(time.Millisecond), For: time.Duration((0.5 + 2.5*rng.Float64()) * float64(time.Second)).Round(time.Millisecond),
			Kind: draws[rng.IntN(len(draws))], A: rng.IntN(1000), B: rng.IntN(1000), X: float64(rng.IntN(101)) / 100})
	}
	return list
}

// CheckKinds returns an error if a name is not a kind of fault.
func CheckKinds(names []string) error {
	for _, name := range names {
		if _, ok := kinds[name]; !ok {
			return fmt.Errorf("unknown kind of fault %q, want one of %s", name, strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))
		}
	}
	return nil
}

// claim calls do unless another fault of the target is active, and tells whether it did.
func (f *Fleet) claim(target string, do func()) bool {
	f.mu.Lock()
	if f.busyTargets[target] {
		f.mu.Unlock()
		return false
	}
	f.busyTargets[target] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.busyTargets, target)
		f.mu.Unlock()
	}()
	do()
	return true
}

// play injects each fault of list at its time until ctx ends, and returns when all faults have ended. The end of faulty ends them early.
func (f *Fleet) play(ctx, faulty context.Context, list []Fault, log io.Writer) {
	var all sync.WaitGroup
	defer all.Wait()
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-faulty.Done():
			return false
		}
	}
	var mu sync.Mutex
	logLine := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(log, "%8.3f %s\n", f.Hist.Now().Seconds(), what)
	}
	began := time.Now()
	for _, x := range list {
		select {
		case <-time.After(x.At - time.Since(began)):
		case <-ctx.Done():
			return
		}
		k, ok := kinds[x.Kind]
		if !ok || k.level == 2 && len(f.Planners) == 0 || (k.level == 1 || k.level == 4) && len(f.Planners) > 0 || k.level == 3 && f.cfg.Source == nil {
			continue
		}
		all.Go(func() {
			do := func() {
				f.Hist.AddFault(x.String())
				logLine(x.String())
				k.inject(f, x, wait)
			}
			if k.target == nil {
				do()
			} else if !f.claim(k.target(f, x), do) {
				logLine("skipped, another fault of its target is active: " + x.String())
			}
		})
	}
}

// killAndRestart kills a forwarder or ingress and restarts it after a delay.
func (f *Fleet) killAndRestart(i int, after time.Duration, wait func(time.Duration) bool) {
	p, from := f.Forwarders[i], f.Hist.Now()
	p.Kill()
	wait(after)
	f.restartForwarder(i)
	f.Hist.AddOutage(i, from, f.Hist.Now())
}

// restartForwarder starts a new incarnation of a forwarder or ingress, with the endpoint list that it received last, and waits until it is
// ready.
func (f *Fleet) restartForwarder(i int) {
	p := f.Forwarders[i]
	if err := f.writeKnownEndpoints(i); err != nil {
		f.Hist.AddFault(p.Name + " starts with an outdated endpoint list: " + err.Error())
	}
	if err := p.Start(); err != nil {
		f.Hist.AddFault("restart failed: " + err.Error())
		return
	}
	if err := p.Ready(10 * time.Second); err != nil {
		f.Hist.AddFault("after its restart " + err.Error())
	}
}

// writeKnownEndpoints writes the endpoint list that a one-level ingress received last into its configuration, as the platform does at each
// start.
func (f *Fleet) writeKnownEndpoints(i int) error {
	p := f.Forwarders[i]
	if len(f.Planners) > 0 || p.adminInterfaces[0].file == "" || f.cfg.Discovery != nil {
		return nil
	}
	lastStates := f.Hist.LastStates(f.Observer(i))
	for _, d := range p.adminInterfaces {
		text, err := os.ReadFile(d.file)
		if err != nil {
			return err
		}
		var c map[string]any
		if err := json.Unmarshal(text, &c); err != nil {
			return err
		}
		var before struct{ Known discovery.List }
		if err := json.Unmarshal(text, &before); err != nil {
			return err
		}
		for _, t := range before.Known.Endpoints { // no later state was sent of these
			if lastStates[t.ID] == "" {
				lastStates[t.ID] = t.State
			}
		}
		known := f.Discovery.All(f.Observer(i))
		known.Endpoints = slices.DeleteFunc(known.Endpoints, func(t discovery.Endpoint) bool { return lastStates[t.ID] == "" || lastStates[t.ID] == "terminated" })
		for n := range known.Endpoints {
			known.Endpoints[n].State = lastStates[known.Endpoints[n].ID]
		}
		c["known"] = known
		if text, err = json.Marshal(c); err != nil {
			return err
		}
		if err := os.WriteFile(d.file, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// restart terminates a forwarder or ingress with SIGTERM and starts it again when it has ended.
func (f *Fleet) restart(i int) {
	p := f.Forwarders[i]
	p.Term()
	from := f.Hist.Now()
	f.restartForwarder(i)
	f.Hist.AddRestart(i, from, f.Hist.Now())
}

// cutPlanner cuts the links between one planner and the forwarders that which selects.
func (f *Fleet) cutPlanner(x Fault, wait func(time.Duration) bool, which func(i int) bool) {
	f.cutPlanners(x, wait, func(p, i int) bool { return p == x.A%len(f.Planners) && which(i) })
}

// cutPlanners cuts the links between planners p and forwarders i that which selects, for the length of the fault.
func (f *Fleet) cutPlanners(x Fault, wait func(time.Duration) bool, which func(p, i int) bool) {
	var links []*Link
	for p, list := range f.Links {
		for i, k := range list {
			if which(p, i) {
				k.Cut()
				links = append(links, k)
			}
		}
	}
	wait(x.For)
	for _, k := range links {
		k.Heal()
	}
}

// changeLinks changes the links to a node from all ingresses, or from those with even or odd numbers, and heals them after one to three times
// the length of the fault.
func (f *Fleet) changeLinks(x Fault, wait func(time.Duration) bool, w LinkState, all bool) {
	n := f.pick(x.A)
	if n == nil {
		return
	}
	links := f.linksOf(n)
	if !all && len(links) > 1 {
		links = links[x.B%2 : x.B%2+1]
	}
	for _, k := range links {
		k.Set(w)
	}
	wait(x.For * time.Duration(1+x.B%3))
	for _, k := range links {
		k.Heal()
	}
}

// changeConditions changes the conditions of nodes for twice the length of the fault.
func (f *Fleet) changeConditions(x Fault, wait func(time.Duration) bool, nodes []*Node, change func(*node.Conditions)) {
	w := f.cfg.NodeConditions
	change(&w)
	for _, n := range nodes {
		n.SetConditions(w)
	}
	wait(x.For * 2)
	for _, n := range nodes {
		n.SetConditions(f.cfg.NodeConditions)
	}
}

// crash stops a node and later starts one at its address: the same one, or with an id another in its place. Discovery reports the end only
// 1 to 4 s after the crash, or not at all if the same node is back by then. It reports the start once the node listens.
func (f *Fleet) crash(n *Node, id string, x Fault, wait func(time.Duration) bool) {
	if n == nil || !f.removeNode(n) {
		return
	}
	links, addr := f.linksOf(n), n.Addr()
	n.Stop()
	delay := time.Duration((1 + 3*x.X) * float64(time.Second))
	notified := x.For > delay || id != ""
	if notified {
		wait(delay)
		f.notify(n, "terminated")
		wait(max(x.For-delay, 100*time.Millisecond))
	} else {
		wait(x.For)
	}
	if _, err := f.startNode(cmp.Or(id, n.ID), addr, links, true); err != nil {
		f.Hist.AddFault("node " + n.ID + " was not restarted: " + err.Error())
	}
}
