package testbed

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"eiderspread/internal/controlplane/forwarder"
	"eiderspread/internal/controlplane/planner"
	"eiderspread/internal/testbed/oracle"
)

// Cost is what a run used, for a request of a client.
type Cost struct {
	Requests                     int
	ForwarderCPU, PlannerCPU     time.Duration // for a try, all programs of a kind together
	IdleForwarder, IdlePlanner   float64       // cores that one program uses while nobody asks
	LinkBytes                    float64       // for a try, both directions, liveness included
	IdleLinkBytes                float64       // a second, of the whole fleet
	Datagrams                    float64       // for a try
	OverheadP50, OverheadP99     time.Duration // between client and node, beside the node's own time, of tries with one attempt
	Service, Rate                float64       // Rate: tries a second
	ForwarderCores, PlannerCores float64       // of a core, one program's mean
}

// counters is what counters stood at.
type counters struct {
	forwarderCPU, plannerCPU time.Duration
	linkBytes     uint64
	datagrams float64
	takenAt   time.Time
}

func (f *Fleet) readCounters() (s counters) {
	s.takenAt = time.Now()
	for _, p := range f.Forwarders {
		s.forwarderCPU += p.CPU()
		var st forwarder.Status
		if p.ReadStatus(context.Background(), &st) == nil {
			s.linkBytes += st.BytesIn + st.BytesOut
		}
	}
	for _, p := range f.Planners {
		s.plannerCPU += p.CPU()
	}
	if f.Peers != nil {
		s.datagrams = float64(f.Peers.Sent())
	}
	return s
}

// MeasureCost runs a fleet without faults, first idle and then under load.
func MeasureCost(sc Scenario, idle time.Duration) (Cost, *oracle.Report, error) {
	sc.Direct = true
	f, err := StartFleet(sc.FleetConfig)
	defer f.Stop()
	if err != nil {
		return Cost{}, nil, err
	}
	if err := f.WaitForLeaders(20 * time.Second); err != nil {
		return Cost{}, nil, err
	}
	a := f.readCounters()
	time.Sleep(idle)
	b := f.readCounters()
	ctx, end := context.WithTimeout(context.Background(), sc.Length)
	defer end()
	f.Hist.ResetClock()
	NewClients(Traffic{Accounts: sc.Accounts, Classes: sc.Classes, ClassFractions: LabClassFractions, Units: LabUnits, Retries: 2, Seed: sc.Seed},
		f.Hist, f.Front).Run(ctx)
	c := f.readCounters()
	rep := oracle.Check(f.Hist, f.Rules())
	n := float64(max(rep.Requests, 1))
	span, rest := c.takenAt.Sub(b.takenAt).Seconds(), b.takenAt.Sub(a.takenAt).Seconds()
	share := func(d time.Duration, programs int, of float64) float64 {
		return d.Seconds() / of / float64(max(programs, 1))
	}
	cost := Cost{Requests: rep.Requests, ForwarderCPU: time.Duration(float64(c.forwarderCPU-b.forwarderCPU) / n), PlannerCPU: time.Duration(float64(c.plannerCPU-b.plannerCPU) / n),
		IdleForwarder: share(b.forwarderCPU-a.forwarderCPU, len(f.Forwarders), rest), IdlePlanner: share(b.plannerCPU-a.plannerCPU, len(f.Planners), rest),
		LinkBytes: float64(c.linkBytes-b.linkBytes) / n, IdleLinkBytes: float64(b.linkBytes-a.linkBytes) / rest, Datagrams: (c.datagrams - b.datagrams) / n,
		Service: rep.Service, Rate: n / sc.Length.Seconds(), ForwarderCores: share(c.forwarderCPU-b.forwarderCPU, len(f.Forwarders), span),
		PlannerCores: share(c.plannerCPU-b.plannerCPU, len(f.Planners), span)}
	cost.OverheadP50, cost.OverheadP99 = overheadPercentiles(f.Hist)
	return cost, rep, nil
}

func overheadPercentiles(h *oracle.History) (p50, p99 time.Duration) {
	defer h.Lock()()
	one := map[string]*oracle.Attempt{}
	for _, a := range h.Attempts {
		if one[a.ID] != nil {
			a = &oracle.Attempt{}
		}
		one[a.ID] = a
	}
	var list []time.Duration
	for _, t := range h.Requests {
		if a := one[t.ID]; t.Result == oracle.Served && a != nil && a.Outcome == "served" {
			list = append(list, t.AnsweredAt-t.SentAt-(a.End-a.At))
		}
	}
	if len(list) == 0 {
		return 0, 0
	}
	slices.Sort(list)
	return list[len(list)/2], list[len(list)*99/100]
}

// Print writes one row of a table.
func (c Cost) Print(w io.Writer, name string) {
	fmt.Fprintf(w, "| %s | %.0f | %d | %d | %.1f%% | %.1f%% | %.0f | %.1f | %.2f | %.2f | %.2f | %.3f |\n", name, c.Rate, c.ForwarderCPU.Microseconds(),
		c.PlannerCPU.Microseconds(), 100*c.IdleForwarder, 100*c.IdlePlanner, c.LinkBytes, c.IdleLinkBytes/1e3, c.Datagrams,
		float64(c.OverheadP50.Microseconds())/1e3, float64(c.OverheadP99.Microseconds())/1e3, c.Service)
}

// CostHeader is the head of the table.
const CostHeader = "| fleet | tries/s | forwarder us/try | planner us/try | idle forwarder | idle planner | link B/try | idle link kB/s | datagrams/try | overhead p50 ms | p99 ms | service |\n|---|---|---|---|---|---|---|---|---|---|---|---|"

// Deaths kills one planner after the other, n times, and returns how long it took until all cells were led at all
// forwarders again, in order.
func Deaths(cfg FleetConfig, n int) (back []time.Duration, err error) {
	f, err := StartFleet(cfg)
	defer f.Stop()
	if err != nil {
		return nil, err
	}
	for i := range n {
		if err := f.WaitForLeaders(20 * time.Second); err != nil {
			return back, err
		}
		p := f.Planners[i%len(f.Planners)]
		at := time.Now()
		p.Kill()
		if err := f.WaitForLeaders(10 * time.Second); err != nil {
			return back, err
		}
		back = append(back, time.Since(at))
		if err := p.Start(); err != nil {
			return back, err
		}
		for had := 0; had < f.cfg.Params.Cells/len(f.Planners); { // until it has its cells back
			var st planner.Status
			had = 0
			if p.ReadStatus(context.Background(), &st) == nil {
				for _, c := range st.Cells {
					if c.Leading {
						had++
					}
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	slices.Sort(back)
	return back, nil
}

// Failsafes stops all planners (without a word, as SIGSTOP does) and lets them go on, n times. It returns how long it took
// until every forwarder was in the fail-safe in all cells, and until all cells were led everywhere again, in order.
func Failsafes(cfg FleetConfig, n int) (into, back []time.Duration, err error) {
	f, err := StartFleet(cfg)
	defer f.Stop()
	if err != nil {
		return nil, nil, err
	}
	if err := f.WaitForLeaders(20 * time.Second); err != nil {
		return nil, nil, err
	}
	failsafe := func() bool {
		for _, p := range f.Forwarders {
			var st forwarder.Status
			if p.ReadStatus(context.Background(), &st) != nil {
				return false
			}
			for _, c := range st.Cells {
				if !c.Failsafe {
					return false
				}
			}
		}
		return true
	}
	for range n {
		at := time.Now()
		for _, p := range f.Planners {
			p.Pause()
		}
		for !failsafe() {
			if time.Since(at) > 10*time.Second {
				return into, back, fmt.Errorf("no fail-safe after 10 s")
			}
			time.Sleep(time.Millisecond)
		}
		into = append(into, time.Since(at))
		at = time.Now()
		for _, p := range f.Planners {
			p.Resume()
		}
		if err := f.WaitForLeaders(10 * time.Second); err != nil {
			return into, back, err
		}
		back = append(back, time.Since(at))
		var st planner.Status
		if err := f.Planners[0].ReadStatus(context.Background(), &st); err != nil {
			return into, back, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	slices.Sort(into)
	slices.Sort(back)
	return into, back, nil
}
