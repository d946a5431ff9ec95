package testbed

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"eiderspread/internal/controlplane/rollout"
)

// A whole fleet of two levels upgraded under load: planners hand over and are restarted, forwarders are replaced while they serve, one at a
// time, as internal/controlplane/rollout decides.

const upgradeTick = 20 * time.Millisecond

// upgrader carries a rollout out on a fleet's programs.
type upgrader struct {
	fleet   *Fleet
	procs   []*Proc
	number  []int // of forwarders; -1: a planner
	rollout *rollout.Rollout
	events  chan func(now float64)
	probing []bool
	done    chan struct{}
}

// post hands the rollout's goroutine an event; none is left behind when it is over.
func (u *upgrader) post(do func(now float64)) {
	select {
	case u.events <- do:
	case <-u.done:
	}
}

// Upgrade upgrades all programs once, and returns how long it took. Others may die meanwhile: the rollout waits for them.
func (f *Fleet) Upgrade(ctx context.Context) (time.Duration, error) {
	u := &upgrader{fleet: f, events: make(chan func(float64), 64), done: make(chan struct{})}
	defer close(u.done)
	var list []rollout.Program
	for _, p := range f.Planners {
		list = append(list, rollout.Program{Name: p.Name, Kind: rollout.Planner})
		u.procs, u.number = append(u.procs, p), append(u.number, -1)
	}
	for i, p := range f.Forwarders {
		list = append(list, rollout.Program{Name: p.Name, Kind: rollout.Forwarder, HotRestart: true})
		u.procs, u.number = append(u.procs, p), append(u.number, i)
	}
	u.probing = make([]bool, len(list))
	began := time.Now()
	now := func() float64 { return time.Since(began).Seconds() }
	times := rollout.DefaultTimeouts
	times.StableS, times.DrainS = 0.3, 1
	var err error
	if u.rollout, err = rollout.New(list, times, "", now(), u); err != nil {
		return 0, err
	}
	tick := time.NewTicker(upgradeTick)
	defer tick.Stop()
	for {
		select {
		case do := <-u.events:
			do(now())
		case <-tick.C:
			u.rollout.Tick(now())
		case <-ctx.Done():
			done, at, phase := u.rollout.Progress()
			return time.Since(began), fmt.Errorf("%d done, %s %s: %w", done, at.Name, phase, ctx.Err())
		}
		if over, err := u.rollout.Done(); over {
			return time.Since(began), err
		}
	}
}

// CheckReadiness implements rollout.Output.
func (u *upgrader) CheckReadiness(i int) {
	if u.probing[i] {
		return
	}
	u.probing[i] = true
	go func() {
		status, err := u.procs[i].Call(context.Background(), http.MethodGet, "/v1/readyz")
		u.post(func(now float64) {
			u.probing[i] = false
			u.rollout.HandleReadiness(now, i, err == nil, status == http.StatusOK, false)
		})
	}()
}

// Drain implements rollout.Output.
func (u *upgrader) Drain(i int) {
	go func() {
		status, err := u.procs[i].Call(context.Background(), http.MethodPost, "/v1/ingress/drain")
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("drain is answered with %d", status)
		}
		u.post(func(now float64) { u.rollout.HandleDrained(now, i, err) })
	}()
}

// Restart implements rollout.Output.
func (u *upgrader) Restart(i int) {
	p, n := u.procs[i], u.number[i]
	target := onPlanner(u.fleet, Fault{A: i})
	if n >= 0 {
		target = onForwarder(u.fleet, Fault{A: n})
	}
	restart := func() {
		var err error
		if from := u.fleet.Hist.Now(); n >= 0 {
			if err = p.Replace(); err == nil {
				u.fleet.Hist.AddReplacement(n, from, u.fleet.Hist.Now())
			}
		} else {
			p.Term()
			err = p.Start()
		}
		u.post(func(now float64) { u.rollout.HandleRestarted(now, i, err) })
	}
	go func() { // once no fault has the program
		for !u.fleet.claim(target, restart) {
			select {
			case <-u.done:
				return
			case <-time.After(upgradeTick):
			}
		}
	}()
}

// UpgradeAll upgrades the fleet again and again, so many times or until ctx ends, and returns how long each took.
func (f *Fleet) UpgradeAll(ctx context.Context, times int) (took []time.Duration, err error) {
	for range times {
		d, err := f.Upgrade(ctx)
		if err != nil {
			return took, fmt.Errorf("upgrade %d: %w", len(took)+1, err)
		}
		took = append(took, d)
	}
	return took, nil
}
