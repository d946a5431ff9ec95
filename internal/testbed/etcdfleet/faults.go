package etcdfleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/etcdstandin"
	"eiderspread/internal/testbed/oracle"
)

// Kinds are the faults of a run: those of etcd, those of agents, and a few of programs, nodes and the roster beside them.
var Kinds = []string{"etcd trouble", "etcd trouble", "etcd trouble", "etcd trouble", "etcd trouble", "etcd trouble", "thousand", "unlisted", "mark", "mark", "mark", "mark", "agent", "agent hup", "drain", "drain", "crash",
	"late roster", "silent roster", "broken roster", "forwarder", "kill", "sick"}

// faultFunc is one way in which etcd breaks; it returns what mends it.
type faultFunc func(r *Rig, x testbed.Fault) (mend func())

type namedFault struct {
	name   string
	inject faultFunc
}

// Troubles are the names of all troubles, as flags word them.
func Troubles() (list []string) {
	for _, t := range inOrder {
		list = append(list, strings.ReplaceAll(t.name, " ", "-"))
	}
	return list
}

// inOrder are all troubles; a round picks two.
var inOrder = []namedFault{
	{"cut and compacted", func(r *Rig, x testbed.Fault) func() {
		mend := r.cut(x.A%2, false)
		return func() { r.Etcd.CompactAll(); mend() }
	}},
	{"cut", func(r *Rig, x testbed.Fault) func() { return r.cut(x.A%2, false) }},
	{"cut from all", func(r *Rig, x testbed.Fault) func() { return r.cut(0, true) }},
	{"compacted", func(r *Rig, _ testbed.Fault) func() { r.Etcd.CompactAll(); return func() {} }},
	{"leader changed", func(r *Rig, _ testbed.Fault) func() { r.Etcd.ChangeLeader(); return func() {} }},
	{"member in a minority", func(r *Rig, x testbed.Fault) func() {
		i := x.B % len(r.Etcd.Addrs())
		r.Etcd.Cut(i, true)
		return func() { r.Etcd.Cut(i, false) }
	}},
	{"member lags", func(r *Rig, x testbed.Fault) func() {
		i := x.B % len(r.Etcd.Addrs())
		r.Etcd.Lag(i, true)
		return func() { r.Etcd.Lag(i, false) }
	}},
	{"member restarted", func(r *Rig, x testbed.Fault) func() {
		i := x.B % len(r.Etcd.Addrs())
		r.Etcd.StopMember(i)
		return func() { _ = r.Etcd.StartMember(i) }
	}},
	{"all restarted", func(r *Rig, x testbed.Fault) func() {
		seeing := r.blind(func(*beside) bool { return true })
		r.Etcd.Stop()
		return func() { _ = r.Etcd.Start(); seeing() }
	}},
	{"replaced by another cluster", func(r *Rig, x testbed.Fault) func() {
		seeing := r.blind(func(*beside) bool { return true })
		r.Etcd.Stop()
		return func() {
			r.mu.Lock()
			h := r.Etcd.Head()
			r.Etcd.Restore(etcdstandin.Head{Cluster: h.Cluster + 1, Revision: 2, Term: 2}, r.refill()...)
			r.mu.Unlock()
			_ = r.Etcd.Start()
			seeing()
		}
	}},
	{"put back", func(r *Rig, x testbed.Fault) func() {
		seeing := r.blind(func(*beside) bool { return true })
		r.Etcd.Stop()
		return func() {
			r.mu.Lock()
			h := r.Etcd.Head()
			r.Etcd.Restore(etcdstandin.Head{Cluster: h.Cluster, Revision: max(2, h.Revision-100), Term: max(2, h.Term-1)}, r.refill()...)
			r.mu.Unlock()
			_ = r.Etcd.Start()
			seeing()
		}
	}},
	{"a liar", func(r *Rig, x testbed.Fault) func() { // and its streams break, so that it is asked
		i, h := x.B%len(r.Etcd.Addrs()), r.Etcd.Head()
		r.Etcd.Lie(i, max(r.Etcd.Compacted(), 1+h.Revision-int64(20+x.A%40)), h.Term)
		r.Etcd.StopMember(i)
		_ = r.Etcd.StartMember(i)
		r.breakAll()
		return func() { r.Etcd.Lie(i, 0, 0) }
	}},
	{"tokens forgotten", func(r *Rig, x testbed.Fault) func() { r.Etcd.Forget(); r.breakAll(); return func() {} }},
	{"clock ahead by an hour", func(r *Rig, x testbed.Fault) func() { r.Etcd.Jump(time.Hour); return func() {} }},
	{"clock back by an hour", func(r *Rig, x testbed.Fault) func() { r.Etcd.Jump(-time.Hour); return func() {} }},
	{"slow", func(r *Rig, x testbed.Fault) func() {
		for _, side := range r.links {
			for _, k := range side {
				k.Set(testbed.Way{Delay: time.Duration(20+100*x.X) * time.Millisecond})
			}
		}
		return func() {
			for _, side := range r.links {
				for _, k := range side {
					k.Heal()
				}
			}
		}
	}},
	{"sessions broken", func(r *Rig, x testbed.Fault) func() { r.breakAll(); return func() {} }},
}

// breakAll ends all connections between agents and etcd, in the middle of whatever is under way.
func (r *Rig) breakAll() {
	for _, side := range r.links {
		for _, k := range side {
			k.Break()
		}
	}
}

// blind notes that agents hear nothing of etcd from now on.
func (r *Rig) blind(which func(*beside) bool) (seeing func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parties []string
	for _, a := range r.agents {
		if which(a) {
			parties = append(parties, a.observer)
		}
	}
	return r.hist.BeginSourceOutage(oracle.EtcdSource, parties)
}

// cut takes agents of one side, or all, from etcd without a word.
func (r *Rig) cut(side int, all bool) (mend func()) {
	seeing := r.blind(func(a *beside) bool { return all || a.side == side })
	for s, list := range r.links {
		if all || s == side {
			for _, k := range list {
				k.Cut()
			}
		}
	}
	return func() {
		for s, list := range r.links {
			if all || s == side {
				for _, k := range list {
					k.Heal()
				}
			}
		}
		seeing()
	}
}

// Kinds of faults are registered for the rig that is in use: one at a time, as a laboratory is one program.
var rig *Rig

// Play has the faults of this package act on a rig.
func Play(r *Rig) { rig = r }

// round has etcd break in two ways at once, mends it, and waits until all views equal the truth.
func (r *Rig) round(x testbed.Fault, wait func(time.Duration) bool) {
	list := inOrder
	if len(r.Only) > 0 {
		list = slices.DeleteFunc(slices.Clone(list), func(t namedFault) bool { return !slices.Contains(r.Only, strings.ReplaceAll(t.name, " ", "-")) })
	}
	one, two := list[x.A%len(list)], list[x.B%len(list)]
	what := one.name
	mends := []func(){one.inject(r, x)}
	r.mu.Lock()
	r.met[one.name]++
	r.mu.Unlock()
	// The whole cluster stops, or is put back, for one trouble alone; a cut does not meet another.
	heavy := func(name string) bool {
		return slices.Contains([]string{"all restarted", "replaced by another cluster", "put back", "cut", "cut and compacted", "cut from all", "slow", "a liar"}, name)
	}
	if one.name != two.name && (!heavy(one.name) || !heavy(two.name)) {
		what += " and " + two.name
		mends = append(mends, two.inject(r, x))
		r.mu.Lock()
		r.met[two.name]++
		r.mu.Unlock()
	}
	wait(2*x.For + time.Second)
	for _, mend := range mends {
		mend()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for wait(50 * time.Millisecond) {
		}
		cancel()
	}()
	r.equal(ctx, what)
}

func init() {
	testbed.AddKind("etcd trouble", "etcd breaks in two ways at once, and is mended", "etcd", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		rig.round(x, wait)
	})
	testbed.AddKind("mark", "a node is marked in etcd, the mark is taken back and set again at once, and taken back", "", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		nodes := f.Nodes()
		if len(nodes) < 4 {
			return
		}
		id := nodes[x.A%len(nodes)].ID
		f.Claim("mark "+id, func() {
			f.Claim(fmt.Sprint("marks ", x.B%2), func() { // two nodes at a time
				rig.mark(true, id)
				wait(x.For)
				rig.mark(false, id)
				wait(20 * time.Millisecond)
				rig.mark(true, id)
				wait(x.For + time.Second)
				rig.mark(false, id)
			})
		})
	})
	testbed.AddKind("unlisted", "etcd lists a node no more, its roster does, and then again", "unlisted", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		nodes := f.Nodes()
		if len(nodes) < 4 {
			return
		}
		n := nodes[x.A%len(nodes)]
		rig.unlist(n.ID, true)
		wait(x.For + time.Second)
		rig.unlist(n.ID, false)
	})
	testbed.AddKind("thousand", "a thousand nodes that nobody lists are marked in one transaction, and the marks taken back", "thousand", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		var ids []string
		for i := range 1000 {
			ids = append(ids, fmt.Sprint("ghost", i))
		}
		rig.mark(true, ids...)
		wait(x.For)
		rig.mark(false, ids...)
	})
	testbed.AddKind("agent", "an agent is killed and comes back", "agent", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		a := rig.agents[x.A%len(rig.agents)]
		a.proc.Kill()
		wait(x.For / 2)
		_ = a.proc.Start()
	})
	testbed.AddKind("agent hup", "an agent gets other certificates and its endpoints in another order", "agent", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		a := rig.agents[x.A%len(rig.agents)]
		if rig.write(a) == nil {
			a.proc.HUP()
		}
	})
}
