package testbed

import (
	"sync"
	"time"

	"eiderspread/internal/testbed/node"
)

// kinds are the kinds of faults of fleets on sockets, by name. docs/testbed.md explains how to add one.
var kinds = map[string]kind{
	"kill": {"a planner is killed and restarted", 2, 2, onPlanner, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		p := f.Planners[x.A%len(f.Planners)]
		p.Kill()
		wait(x.For)
		_ = p.Start()
	}},
	"term": {"a planner is terminated with SIGTERM and restarted", 1, 2, onPlanner, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		p := f.Planners[x.A%len(f.Planners)]
		p.Term()
		wait(x.For)
		_ = p.Start()
	}},
	"pause": {"a planner is paused and resumed", 1, 2, onPlanner, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		p := f.Planners[x.A%len(f.Planners)]
		p.Pause()
		wait(2 * x.For)
		p.Resume()
	}},
	"all": {"all planners are killed at once and restarted", 1, 2, fixedTarget("planners"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		for _, p := range f.Planners {
			p.Kill()
		}
		wait(x.For / 2)
		for _, p := range f.Planners {
			if p.Incarnation() < 0 {
				_ = p.Start()
			}
		}
	}},
	"cut": {"a planner is cut off from half of the forwarders", 1, 2, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.cutPlanner(x, wait, func(i int) bool { return i%2 == x.B%2 })
	}},
	"split": {"a planner is cut off from all forwarders", 1, 2, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.cutPlanner(x, wait, func(int) bool { return true })
	}},
	"lone": {"a forwarder is cut off from all planners", 1, 2, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.cutPlanners(x, wait, func(_, i int) bool { return i == x.A%len(f.Forwarders) })
	}},
	"peers": {"the ingresses are partitioned into two halves", 1, 1, fixedTarget("peers"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		defer f.Hist.BeginPeerFault(2, 0)()
		f.Peers.All(PacketConditions{Cut: true}, func(i, j int) bool { return i%2 != j%2 })
		wait(x.For)
		f.Peers.All(PacketConditions{}, nil)
	}},
	"fog": {"messages between ingresses are lost, delayed and duplicated", 1, 1, fixedTarget("peers"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		defer f.Hist.BeginPeerFault(0, 0.3*x.X)()
		f.Peers.All(PacketConditions{Loss: 0.3 * x.X, Double: 0.2, Delay: 20 * time.Millisecond, Jitter: 60 * time.Millisecond}, nil)
		wait(x.For)
		f.Peers.All(PacketConditions{}, nil)
	}},
	"deaf": {"an ingress receives no messages from the others, and the oracle is not told: a planted violation", 0, 4, fixedTarget("peers"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.Peers.All(PacketConditions{Cut: true}, func(i, j int) bool { return j == x.A%len(f.Forwarders) })
		wait(x.For)
		f.Peers.All(PacketConditions{}, nil)
	}},
	"babel": {"two halves of the ingresses can't decode each other's messages, and the oracle is not told: a planted violation", 0, 4, fixedTarget("peers"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.Peers.All(PacketConditions{UnknownVersion: true}, func(i, j int) bool { return i%2 != j%2 })
		wait(x.For)
		f.Peers.All(PacketConditions{}, nil)
	}},
	"liar": {"an ingress reports false load-shedding levels to the others, none and full in turn", 0, 4, fixedTarget("peers"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.Peers.All(PacketConditions{FalseLoadShedState: true}, func(i, _ int) bool { return i == x.A%len(f.Forwarders) })
		wait(x.For)
		f.Peers.All(PacketConditions{}, nil)
	}},
	"half heavy": {"every second node is three times as slow", 0, 5, fixedTarget("weather"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		var half []*Node
		for i, n := range f.Nodes() {
			if i%2 == 0 {
				half = append(half, n)
			}
		}
		f.changeConditions(Fault{For: x.For / 2}, wait, half, func(w *node.Conditions) { w.Slow = 3 })
	}},
	"thick fog": {"half of all messages between ingresses are lost", 0, 4, fixedTarget("peers"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		defer f.Hist.BeginPeerFault(0, 0.5)()
		f.Peers.All(PacketConditions{Loss: 0.5}, nil)
		wait(x.For)
		f.Peers.All(PacketConditions{}, nil)
	}},
	"mass kill": {"seven in ten ingresses are killed at once and restarted", 0, 4, fixedTarget("mass"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		var all sync.WaitGroup
		for i := range f.Forwarders {
			if i%10 < 7 {
				all.Go(func() { f.killAndRestart(i, x.For, wait) })
			}
		}
		all.Wait()
	}},
	"heavy": {"every node is three times as slow", 0, 5, fixedTarget("weather"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		defer f.Hist.BeginSlowdown(3)()
		f.changeConditions(Fault{For: x.For / 2}, wait, f.Nodes(), func(w *node.Conditions) { w.Slow = 3 })
	}},
	"forwarder": {"a forwarder or ingress is killed and restarted", 1, 0, onForwarder, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.killAndRestart(x.A%len(f.Forwarders), x.For, wait)
	}},
	"blink": {"a forwarder or ingress is killed and restarted at once", 1, 0, onForwarder, func(f *Fleet, x Fault, _ func(time.Duration) bool) {
		i := x.A % len(f.Forwarders)
		p, from := f.Forwarders[i], f.Hist.Now()
		p.Kill()
		f.restartForwarder(i)
		f.Hist.AddOutage(i, from, f.Hist.Now())
	}},
	"restart": {"a forwarder or ingress is terminated with SIGTERM and restarted", 1, 0, onForwarder, func(f *Fleet, x Fault, _ func(time.Duration) bool) {
		f.restart(x.A % len(f.Forwarders))
	}},
	"roll": {"up to five ingresses are terminated with SIGTERM and restarted, one after the other", 1, 0, fixedTarget("roll"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		for k := range min(len(f.Forwarders), 5) {
			y := Fault{A: x.A + k}
			f.claim(onForwarder(f, y), func() { f.restart(y.A % len(f.Forwarders)) })
			if !wait(200 * time.Millisecond) {
				return
			}
		}
	}},
	"lost client": {"the link from clients to an ingress is cut; connections stay open", 1, 0, onForwarder, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		i, from := x.A%len(f.Forwarders), f.Hist.Now()
		f.FrontLinks[i].Cut()
		wait(x.For / 2)
		f.FrontLinks[i].Heal()
		f.Hist.AddOutage(i, from, f.Hist.Now()+50*time.Millisecond)
	}},
	"drain": {"discovery reports that a node is draining, and another node starts", 2, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		if n := f.pick(x.A); n != nil {
			_, _ = f.AddNode(true)
			f.Drain(n, 2*time.Second)
		}
	}},
	"crash": {"a node crashes and restarts at its address with a new start time", 2, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.crash(f.pick(x.A), "", x, wait)
	}},
	"lone crash": {"the first node crashes, however few nodes run, and restarts", 0, 0, fixedTarget("first node"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		for _, n := range f.Nodes() {
			if n.ID == "z1" {
				f.crash(n, "", x, wait)
				return
			}
		}
	}},
	"replace": {"a node crashes, and a node with a new ID starts at its address", 1, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.crash(f.pick(x.A), f.newNodeID(), x, wait)
	}},
	"crashes": {"half of the nodes crash at the same time and restart cold", 1, 0, fixedTarget("nodes"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		var all sync.WaitGroup
		for i, n := range f.Nodes() {
			if i%2 == x.B%2 {
				all.Go(func() { f.crash(n, "", x, wait) })
			}
		}
		all.Wait()
	}},
	"node pause": {"a node is paused and resumed", 1, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		if n := f.pick(x.A); n != nil {
			n.Pause()
			wait(x.For)
			n.Resume()
		}
	}},
	"slow": {"a node is 2 to 6 times as slow", 1, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		if n := f.pick(x.A); n != nil {
			f.changeConditions(x, wait, []*Node{n}, func(w *node.Conditions) { w.Slow = 2 + 4*x.X })
		}
	}},
	"snow": {"every node is 1.4 to 2.8 times as slow", 1, 0, fixedTarget("weather"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.changeConditions(x, wait, f.Nodes(), func(w *node.Conditions) { w.Slow = 1.4 + 1.4*x.X })
	}},
	"sick": {"a node returns errors, resets connections, does not answer and sends malformed answers", 2, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		if n := f.pick(x.A); n != nil {
			f.changeConditions(x, wait, []*Node{n}, func(w *node.Conditions) { *w = node.FailingConditions(0.4 + 0.6*x.X) })
		}
	}},
	"node cut": {"a node is cut off; connections stay open", 1, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.changeLinks(x, wait, LinkState{Cut: true}, true)
	}},
	"node half cut": {"a node is cut off from half of the ingresses; connections stay open", 1, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.changeLinks(x, wait, LinkState{Cut: true}, false)
	}},
	"one way": {"the answers of a node are lost; connections stay open", 1, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.changeLinks(x, wait, LinkState{Cut: true, Back: true}, true)
	}},
	"refused": {"new connections to a node are reset at once", 1, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.changeLinks(x, wait, LinkState{Refuse: true}, true)
	}},
	"far": {"the link to a node has a delay of 10 to 90 ms in each direction", 1, 0, nil, func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.changeLinks(x, wait, LinkState{Delay: time.Duration(10+80*x.X) * time.Millisecond}, true)
	}},
	"late roster": {"discovery sends changes 1 to 5 s late", 1, 0, fixedTarget("roster"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.Discovery.SetDelay(time.Duration((1 + 4*x.X) * float64(time.Second)))
		wait(x.For)
		f.Discovery.SetDelay(0)
	}},
	"silent roster": {"discovery sends nothing, not even heartbeats", 1, 0, fixedTarget("roster"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		f.Discovery.SetSilent(true)
		wait(2 * x.For)
		f.Discovery.SetSilent(false)
	}},
	"broken roster": {"discovery ends all watches and forgets the changes that it has sent", 1, 0, nil, func(f *Fleet, x Fault, _ func(time.Duration) bool) {
		f.Discovery.EndWatches()
	}},
	"shift": {"accounts shift their load to others of their ingresses at the same time", 1, 0, nil, func(f *Fleet, x Fault, _ func(time.Duration) bool) {
		f.Front.Shift(0.11 + 0.48*x.X)
	}},
	"flood": {"an account of the last plan requests 3 to 8 times as many units", 1, 0, fixedTarget("flood"), func(f *Fleet, x Fault, wait func(time.Duration) bool) {
		list := f.clients.cfg.Accounts
		a := list[len(list)-1-x.A%min(3, len(list))]
		f.clients.Flood(a.Name, 3+5*x.X)
		wait(2 * x.For)
		f.clients.Flood(a.Name, 1)
	}},
}
