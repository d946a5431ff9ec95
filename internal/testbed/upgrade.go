package testbed

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"eiderspread/internal/controlplane/rollout"
)

// Upgrades of a two-level fleet under load: planners are drained, so that they hand over, and restarted; forwarders are hot-restarted while they
// serve. One program is upgraded at a time, in the order that internal/controlplane/rollout decides.

const upgradeTick = 20 * time.Millisecond

// upgrader is the rollout.Output for the programs of a fleet.
type upgrader struct {
	fleet          *Fleet
	procs          []*Proc
	forwarderIndex []int // by program; -1: a planner
	rollout        *rollout.Rollout
	events         chan func(now float64)
	probing        []bool        // by program: a readiness check is in progress
	done           chan struct{} // closed when the upgrade is over
}

// post passes an event to the goroutine of the rollout, or drops it if the upgrade is over.
func (u *upgrader) post(do func(now float64)) {
	select {
	case u.events <- do:
	case <-u.done:
	}
}

// Upgrade upgrades all programs once, and returns the time it took. Faults may end other programs meanwhile: the rollout waits until they are
// ready again.
func (f *Fleet) Upgrade(ctx context.Context) (time.Duration, error) {
	u := &upgrader{fleet: f, events: make(chan func(float64), 64), done: make(chan struct{})}
	defer close(u.done)
	var list []rollout.Program
	for _, p := range f.Planners {
		list = append(list, rollout.Program{Name: p.Name, Kind: rollout.Planner})
		u.procs, u.forwarderIndex = append(u.procs, p), append(u.forwarderIndex, -1)
	}
	for i, p := range f.Forwarders {
		list = append(list, rollout.Program{Name: p.Name, Kind: rollout.Forwarder, HotRestart: true})
		u.procs, u.forwarderIndex = append(u.procs, p), append(u.forwarderIndex, i)
	}
	u.probing = make([]bool, len(list))
	began := time.Now()
	elapsed := func() float64 { return time.Since(began).Seconds() }
	times := rollout.DefaultTimeouts
	times.StableS, times.DrainS = 0.3, 1
	var err error
	if u.rollout, err = rollout.New(list, times, "", elapsed(), u); err != nil {
		return 0, err
	}
	tick := time.NewTicker(upgradeTick)
	defer tick.Stop()
	for {
		select {
		case do := <-u.events:
			do(elapsed())
		case <-tick.C:
			u.rollout.Tick(elapsed())
		case <-ctx.Done():
			done, at, phase := u.rollout.Progress()
			return time.Since(began), fmt.Errorf("%d programs done, %s %s: %w", done, at.Name, phase, ctx.Err())
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
			err = fmt.Errorf("drain %s: status %d, want 200", u.procs[i].Name, status)
		}
		u.post(func(now float64) { u.rollout.HandleDrained(now, i, err) })
	}()
}

// Restart implements rollout.Output.
func (u *upgrader) Restart(i int) {
	p, n := u.procs[i], u.forwarderIndex[i]
	target := onPlanner(u.fleet, Fault{A: i})
	if n >= 0 {
		target = onForwarder(u.fleet, Fault{A: n})
	}
	restart := func() {
		var err error
		if from := u.fleet.Hist.Now(); n >= 0 {
			if err = p.Replace(); err == nil {
				u.fleet.Hist.AddHotRestart(n, from, u.fleet.Hist.Now())
			}
		} else {
			p.Term()
			err = p.Start()
		}
		u.post(func(now float64) { u.rollout.HandleRestarted(now, i, err) })
	}
	go func() { // waits until no fault of the program is active
		for !u.fleet.claim(target, restart) {
			select {
			case <-u.done:
				return
			case <-time.After(upgradeTick):
			}
		}
	}()
}

// UpgradeRepeatedly upgrades the fleet as often as times says, and returns how long each upgrade took. It stops at the first error, also
// when ctx ends.
func (f *Fleet) UpgradeRepeatedly(ctx context.Context, times int) (took []time.Duration, err error) {
	for range times {
		d, err := f.Upgrade(ctx)
		if err != nil {
			return took, fmt.Errorf("upgrade %d: %w", len(took)+1, err)
		}
		took = append(took, d)
	}
	return took, nil
}
