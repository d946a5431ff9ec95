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

// Fault is one thing that goes wrong, and is mended. A and B pick its targets, X says how bad it is; what they mean hangs on
// the kind. A schedule is drawn before a run, so that it can be played again and cut down.
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

// kind is one kind of fault on sockets. Its do returns when the fault is mended; wait returns false when the run has ended,
// after which all is mended at once.
type kind struct {
	what   string
	weight int                            // how often it is drawn, of all
	level  int                            // 1: of one-level fleets alone, 2: of two-level ones alone, 0: of both, 3: of those with sources of their own, 4: of one-level ones, 5: of both, these three only when named
	target func(f *Fleet, x Fault) string // no two faults of a target overlap; nil: they may
	inject func(f *Fleet, x Fault, wait func(time.Duration) bool)
}

func onPlanner(f *Fleet, x Fault) string   { return fmt.Sprint("planner ", x.A%len(f.Planners)) }
func onForwarder(f *Fleet, x Fault) string { return fmt.Sprint("forwarder ", x.A%len(f.Forwarders)) }
func one(what string) func(*Fleet, Fault) string {
	return func(*Fleet, Fault) string { return what }
}

// pick chooses a node; nil if there are too few for one to be missed.
func (f *Fleet) pick(n int) *Node {
	nodes := f.Nodes()
	if len(nodes) < 3 {
		return nil
	}
	return nodes[n%len(nodes)]
}

// AddKind adds a kind of fault that another package of the laboratory knows how to do. Its weight is 1 and no two of a target
// overlap, "" if they may. It is for package initialisation alone.
func AddKind(name, what, target string, do func(f *Fleet, x Fault, wait func(time.Duration) bool)) {
	k := kind{what: what, weight: 1, level: 3, inject: do}
	if target != "" {
		k.target = one(target)
	}
	kinds[name] = k
}

// KindNames lists all kinds of faults for a fleet of that shape, or with two nil all of them, each with what it does.
func KindNames() (list []string) {
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		list = append(list, fmt.Sprintf("%-14s %s", name, kinds[name].what))
	}
	return list
}

// Fits tells whether a kind of fault is one of a shape: of two levels, or of one. Kinds that are none on sockets fit two.
func Fits(name string, two bool) bool {
	k, ok := kinds[name]
	return !ok && two || ok && (k.level == 0 || k.level < 3 && (k.level == 2) == two)
}

// Plays tells whether a kind of fault can be played by a shape, drawn or only when named.
func Plays(name string, two bool) bool {
	return Fits(name, two) || kinds[name].level == 5 || kinds[name].level == 4 && !two
}

// Schedule draws the faults of a run: one every so often in the mean, each for 0.5 to 3 s, so that they overlap. No kinds
// stand for all that fit the shape.
func Schedule(seed uint64, length, every time.Duration, two bool, names []string) (list []Fault) {
	rng := rand.New(rand.NewPCG(seed, 5))
	given := len(names) > 0
	if !given {
		names = slices.Sorted(maps.Keys(kinds))
	}
	var draws []string
	for _, name := range names {
		if Fits(name, two) || given && (kinds[name].level == 3 || kinds[name].level == 4 && !two || kinds[name].level == 5) {
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

// CheckKinds tells whether all names are kinds of faults.
func CheckKinds(names []string) error {
	for _, name := range names {
		if _, ok := kinds[name]; !ok {
			return fmt.Errorf("unknown kind of fault %q; known are %s", name, strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))
		}
	}
	return nil
}

// claim runs do unless another fault of the target is under way.
func (f *Fleet) claim(target string, do func()) bool {
	f.mu.Lock()
	if f.taken[target] {
		f.mu.Unlock()
		return false
	}
	f.taken[target] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.taken, target)
		f.mu.Unlock()
	}()
	do()
	return true
}

// play does what goes wrong, each thing at its time until ctx ends, and returns when all is mended: at the end of faulty at the latest.
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
	note := func(what string) {
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
				note(x.String())
				k.inject(f, x, wait)
			}
			if k.target == nil {
				do()
			} else if !f.claim(k.target(f, x), do) {
				note("left out, its target has a fault already: " + x.String())
			}
		})
	}
}

// killed kills a forwarder or ingress and starts it again a while later.
func (f *Fleet) killed(i int, after time.Duration, wait func(time.Duration) bool) {
	p, from := f.Forwarders[i], f.Hist.Now()
	p.Kill()
	wait(after)
	f.restartForwarder(i)
	f.Hist.AddOutage(i, from, f.Hist.Now())
}

// restartForwarder starts a forwarder's or an ingress's program for another life, with the list of nodes as it last had it, and waits until it is ready.
func (f *Fleet) restartForwarder(i int) {
	p := f.Forwarders[i]
	if err := f.refreshKnown(i); err != nil {
		f.Hist.AddFault(p.Name + " starts with an old list: " + err.Error())
	}
	if err := p.Start(); err != nil {
		f.Hist.AddFault("not started: " + err.Error())
		return
	}
	if err := p.Ready(10 * time.Second); err != nil {
		f.Hist.AddFault("after its start " + err.Error())
	}
}

// refreshKnown writes into the configuration of an ingress of one level what it was last told of nodes, as the platform does at each start.
func (f *Fleet) refreshKnown(i int) error {
	p := f.Forwarders[i]
	if len(f.Planners) > 0 || p.adminInterfaces[0].file == "" || f.cfg.Discovery != nil {
		return nil
	}
	told := f.Hist.LastStates(f.Observer(i))
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
		for _, t := range before.Known.Endpoints { // of which nothing was told since
			if told[t.ID] == "" {
				told[t.ID] = t.State
			}
		}
		known := f.Discovery.All(f.Observer(i))
		known.Endpoints = slices.DeleteFunc(known.Endpoints, func(t discovery.Endpoint) bool { return told[t.ID] == "" || told[t.ID] == "terminated" })
		for n := range known.Endpoints {
			known.Endpoints[n].State = told[known.Endpoints[n].ID]
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

// restart ends a forwarder or ingress in order and starts it again.
func (f *Fleet) restart(i int) {
	p := f.Forwarders[i]
	p.Term()
	from := f.Hist.Now()
	f.restartForwarder(i)
	f.Hist.AddRestart(i, from, f.Hist.Now())
}

func (f *Fleet) cutPlanner(x Fault, wait func(time.Duration) bool, which func(i int) bool) {
	f.cutPlanners(x, wait, func(p, i int) bool { return p == x.A%len(f.Planners) && which(i) })
}

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

// wayTo changes the way to a node from all ingresses or from half of them. A cut is healed late at times.
func (f *Fleet) wayTo(x Fault, wait func(time.Duration) bool, w Way, all bool) {
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

// changeConditions changes how things stand at nodes, for a while.
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

// crash ends a node at once. The roster knows only seconds later, and of the return a little later too. With an id another
// node comes in its place.
func (f *Fleet) crash(n *Node, id string, x Fault, wait func(time.Duration) bool) {
	if n == nil || !f.without(n) {
		return
	}
	links, addr := f.linksOf(n), n.Addr()
	n.Stop()
	notice := time.Duration((1 + 3*x.X) * float64(time.Second))
	told := x.For > notice || id != ""
	if told {
		wait(notice)
		f.notify(n, "terminated")
		wait(max(x.For-notice, 100*time.Millisecond))
	} else {
		wait(x.For)
	}
	if _, err := f.startNode(cmp.Or(id, n.ID), addr, links, true); err != nil {
		f.Hist.AddFault("node " + n.ID + " does not come back: " + err.Error())
	}
}
