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

// Kinds are the fault kinds of a run, repeated by weight: faults of etcd and of agents, and a few of programs, nodes and rosters.
var Kinds = []string{"etcd trouble", "etcd trouble", "etcd trouble", "etcd trouble", "etcd trouble", "etcd trouble", "thousand", "unlisted", "mark", "mark", "mark", "mark", "agent", "agent hup", "drain", "drain", "crash",
	"late roster", "silent roster", "broken roster", "forwarder", "kill", "sick"}

// faultFunc injects one fault of etcd and returns the function that repairs it.
type faultFunc func(r *Rig, x testbed.Fault) (repair func())

type namedFault struct {
	name   string
	inject faultFunc
}

// FaultNames returns the names of all etcd faults, with hyphens as flags take them.
func FaultNames() (list []string) {
	for _, t := range etcdFaults {
		list = append(list, strings.ReplaceAll(t.name, " ", "-"))
	}
	return list
}

// etcdFaults are all faults of etcd; injectPair picks two of them.
var etcdFaults = []namedFault{
	{"cut and compacted", func(r *Rig, x testbed.Fault) func() {
		repair := r.cut(x.A%2, false)
		return func() { r.Etcd.CompactAll(); repair() }
	}},
	{"cut", func(r *Rig, x testbed.Fault) func() { return r.cut(x.A%2, false) }},
	{"cut from all", func(r *Rig, x testbed.Fault) func() { return r.cut(0, true) }},
	{"compacted", func(r *Rig, _ testbed.Fault) func() { r.Etcd.CompactAll(); return func() {} }},
	{"leader changed", func(r *Rig, _ testbed.Fault) func() { r.Etcd.ChangeLeader(); return func() {} }},
	{"member in a minority", func(r *Rig, x testbed.Fault) func() {
		i := x.B % len(r.Etcd.Addrs())
		r.Etcd.Isolate(i, true)
		return func() { r.Etcd.Isolate(i, false) }
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
		endOutage := r.beginOutage(func(*agentProc) bool { return true })
		r.Etcd.Stop()
		return func() { _ = r.Etcd.Start(); endOutage() }
	}},
	{"replaced by another cluster", func(r *Rig, x testbed.Fault) func() {
		endOutage := r.beginOutage(func(*agentProc) bool { return true })
		r.Etcd.Stop()
		return func() {
			r.mu.Lock()
			h := r.Etcd.Head()
			r.Etcd.Restore(etcdstandin.Head{Cluster: h.Cluster + 1, Revision: 2, Term: 2}, r.expectedKVs()...)
			r.mu.Unlock()
			_ = r.Etcd.Start()
			endOutage()
		}
	}},
	{"put back", func(r *Rig, x testbed.Fault) func() {
		endOutage := r.beginOutage(func(*agentProc) bool { return true })
		r.Etcd.Stop()
		return func() {
			r.mu.Lock()
			h := r.Etcd.Head()
			r.Etcd.Restore(etcdstandin.Head{Cluster: h.Cluster, Revision: max(2, h.Revision-100), Term: max(2, h.Term-1)}, r.expectedKVs()...)
			r.mu.Unlock()
			_ = r.Etcd.Start()
			endOutage()
		}
	}},
	{"a liar", func(r *Rig, x testbed.Fault) func() { // all connections break, so that agents reconnect and may reach the stale member
		i, h := x.B%len(r.Etcd.Addrs()), r.Etcd.Head()
		r.Etcd.ServeStale(i, max(r.Etcd.Compacted(), 1+h.Revision-int64(20+x.A%40)), h.Term)
		r.Etcd.StopMember(i)
		_ = r.Etcd.StartMember(i)
		r.breakAll()
		return func() { r.Etcd.ServeStale(i, 0, 0) }
	}},
	{"tokens forgotten", func(r *Rig, x testbed.Fault) func() { r.Etcd.InvalidateTokens(); r.breakAll(); return func() {} }},
	{"clock ahead by an hour", func(r *Rig, x testbed.Fault) func() { r.Etcd.AdvanceClock(time.Hour); return func() {} }},
	{"clock back by an hour", func(r *Rig, x testbed.Fault) func() { r.Etcd.AdvanceClock(-time.Hour); return func() {} }},
	{"slow", func(r *Rig, x testbed.Fault) func() {
		for _, side := range r.links {
			for _, k := range side {
				k.Set(testbed.LinkState{Delay: time.Duration(20+100*x.X) * time.Millisecond})
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

// breakAll closes all connections between agents and etcd, also in the middle of a message.
func (r *Rig) breakAll() {
	for _, side := range r.links {
		for _, k := range side {
			k.Break()
		}
	}
}

// beginOutage records that the affected agents receive nothing from etcd, until endOutage is called.
func (r *Rig) beginOutage(affected func(*agentProc) bool) (endOutage func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var observers []string
	for _, a := range r.agents {
		if affected(a) {
			observers = append(observers, a.observer)
		}
	}
	return r.hist.BeginSourceOutage(oracle.EtcdSource, observers)
}

// cut partitions the agents of one side, or all of them, from etcd without closing connections.
func (r *Rig) cut(side int, all bool) (repair func()) {
	endOutage := r.beginOutage(func(a *agentProc) bool { return all || a.side == side })
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
		endOutage()
	}
}

// rig is the rig that the registered fault kinds act on. One variable is enough because a process runs only one test fleet at a time.
var rig *Rig

// SetRig makes the fault kinds of this package act on r.
func SetRig(r *Rig) { rig = r }

// injectPair injects two faults of etcd at once, or one if both are the same or both exclusive, repairs them, and waits until
// the lists of all agents equal what the sources hold.
func (r *Rig) injectPair(x testbed.Fault, wait func(time.Duration) bool) {
	list := etcdFaults
	if len(r.SelectedFaults) > 0 {
		list = slices.DeleteFunc(slices.Clone(list), func(t namedFault) bool {
			return !slices.Contains(r.SelectedFaults, strings.ReplaceAll(t.name, " ", "-"))
		})
	}
	one, two := list[x.A%len(list)], list[x.B%len(list)]
	names := one.name
	repairs := []func(){one.inject(r, x)}
	r.mu.Lock()
	r.injected[one.name]++
	r.mu.Unlock()
	// At most one of the two faults stops or restores the cluster, cuts or delays links, or makes a member serve stale data.
	exclusive := func(name string) bool {
		return slices.Contains([]string{"all restarted", "replaced by another cluster", "put back", "cut", "cut and compacted", "cut from all", "slow", "a liar"}, name)
	}
	if one.name != two.name && (!exclusive(one.name) || !exclusive(two.name)) {
		names += " and " + two.name
		repairs = append(repairs, two.inject(r, x))
		r.mu.Lock()
		r.injected[two.name]++
		r.mu.Unlock()
	}
	wait(2*x.For + time.Second)
	for _, repair := range repairs {
		repair()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for wait(50 * time.Millisecond) {
		}
		cancel()
	}()
	r.awaitConvergence(ctx, names)
}

func init() {
	testbed.AddKind("etcd trouble", "two faults of etcd at once, then the repair", "etcd", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		rig.injectPair(x, wait)
	})
	testbed.AddKind("mark", "a node's drain mark is set in etcd, removed, set again 20 ms later, and removed", "", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
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
	testbed.AddKind("unlisted", "a node is removed from etcd but not from discovery, and added again", "unlisted", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		nodes := f.Nodes()
		if len(nodes) < 4 {
			return
		}
		n := nodes[x.A%len(nodes)]
		rig.unlist(n.ID, true)
		wait(x.For + time.Second)
		rig.unlist(n.ID, false)
	})
	testbed.AddKind("thousand", "drain marks of a thousand unlisted nodes are set in one transaction, and removed", "thousand", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		var ids []string
		for i := range 1000 {
			ids = append(ids, fmt.Sprint("ghost", i))
		}
		rig.mark(true, ids...)
		wait(x.For)
		rig.mark(false, ids...)
	})
	testbed.AddKind("agent", "an agent is killed and restarted", "agent", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		a := rig.agents[x.A%len(rig.agents)]
		a.proc.Kill()
		wait(x.For / 2)
		_ = a.proc.Start()
	})
	testbed.AddKind("agent hup", "an agent reloads new certificates and its endpoints in another order", "agent", func(f *testbed.Fleet, x testbed.Fault, wait func(time.Duration) bool) {
		a := rig.agents[x.A%len(rig.agents)]
		if rig.writeConfig(a) == nil {
			a.proc.HUP()
		}
	})
}
