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

// Cost is what a run without faults used, most of it per client request.
type Cost struct {
	Requests                     int
	ForwarderCPU, PlannerCPU     time.Duration // per request, summed over all programs of the kind
	IdleForwarder, IdlePlanner   float64       // cores that one program uses without load, mean over the programs
	LinkBytes                    float64       // bytes per request between forwarders and planners, both directions, with heartbeats
	IdleLinkBytes                float64       // bytes per second without load, of the whole fleet
	Datagrams                    float64       // between ingresses, per request
	OverheadP50, OverheadP99     time.Duration // client latency minus the node's time, of served requests with one attempt
	Service, Rate                float64       // Service: see oracle.Report; Rate: requests per second
	ForwarderCores, PlannerCores float64       // cores that one program uses under load, mean over the programs
}

// counters holds the values of a fleet's resource counters at one time.
type counters struct {
	forwarderCPU, plannerCPU time.Duration
	linkBytes                uint64
	datagrams                float64
	takenAt                  time.Time
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

// MeasureCost runs a fleet without faults, first without load for the time idle and then under load for sc.Length, and returns what
// requests cost and the oracle's report.
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
	loadedS, idleS := c.takenAt.Sub(b.takenAt).Seconds(), b.takenAt.Sub(a.takenAt).Seconds()
	coresPerProgram := func(d time.Duration, programs int, elapsed float64) float64 {
		return d.Seconds() / elapsed / float64(max(programs, 1))
	}
	cost := Cost{Requests: rep.Requests, ForwarderCPU: time.Duration(float64(c.forwarderCPU-b.forwarderCPU) / n), PlannerCPU: time.Duration(float64(c.plannerCPU-b.plannerCPU) / n),
		IdleForwarder: coresPerProgram(b.forwarderCPU-a.forwarderCPU, len(f.Forwarders), idleS),
		IdlePlanner:   coresPerProgram(b.plannerCPU-a.plannerCPU, len(f.Planners), idleS),
		LinkBytes:     float64(c.linkBytes-b.linkBytes) / n, IdleLinkBytes: float64(b.linkBytes-a.linkBytes) / idleS, Datagrams: (c.datagrams - b.datagrams) / n,
		Service: rep.Service, Rate: n / sc.Length.Seconds(), ForwarderCores: coresPerProgram(c.forwarderCPU-b.forwarderCPU, len(f.Forwarders), loadedS),
		PlannerCores: coresPerProgram(c.plannerCPU-b.plannerCPU, len(f.Planners), loadedS)}
	cost.OverheadP50, cost.OverheadP99 = overheadPercentiles(f.Hist)
	return cost, rep, nil
}

// overheadPercentiles returns the median and the 99th percentile of the client latency without the node's processing time, of served
// requests with exactly one attempt.
func overheadPercentiles(h *oracle.History) (p50, p99 time.Duration) {
	defer h.Lock()()
	attempts := map[string]*oracle.Attempt{} // by request; an empty one stands for more than one
	for _, a := range h.Attempts {
		if attempts[a.ID] != nil {
			a = &oracle.Attempt{}
		}
		attempts[a.ID] = a
	}
	var overheads []time.Duration
	for _, t := range h.Requests {
		if a := attempts[t.ID]; t.Result == oracle.Served && a != nil && a.Outcome == "served" {
			overheads = append(overheads, t.AnsweredAt-t.SentAt-(a.End-a.At))
		}
	}
	if len(overheads) == 0 {
		return 0, 0
	}
	slices.Sort(overheads)
	return overheads[len(overheads)/2], overheads[len(overheads)*99/100]
}

// Print writes one row of the table that CostHeader heads.
func (c Cost) Print(w io.Writer, name string) {
	fmt.Fprintf(w, "| %s | %.0f | %d | %d | %.1f%% | %.1f%% | %.0f | %.1f | %.2f | %.2f | %.2f | %.3f |\n", name, c.Rate, c.ForwarderCPU.Microseconds(),
		c.PlannerCPU.Microseconds(), 100*c.IdleForwarder, 100*c.IdlePlanner, c.LinkBytes, c.IdleLinkBytes/1e3, c.Datagrams,
		float64(c.OverheadP50.Microseconds())/1e3, float64(c.OverheadP99.Microseconds())/1e3, c.Service)
}

// CostHeader is the header of the table of costs, in Markdown.
const CostHeader = "| fleet | requests/s | forwarder us/request | planner us/request | idle forwarder | idle planner | link B/request | idle link kB/s | datagrams/request | overhead p50 ms | p99 ms | service |\n|---|---|---|---|---|---|---|---|---|---|---|---|"

// MeasureTakeovers kills one planner at a time, n times in all. It returns, in ascending order, how long each time it took until every
// forwarder saw a leader in every cell again.
func MeasureTakeovers(cfg FleetConfig, n int) (back []time.Duration, err error) {
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
		for leading := 0; leading < f.cfg.Params.Cells/len(f.Planners); { // until the restarted planner leads its part of the cells
			var st planner.Status
			leading = 0
			if p.ReadStatus(context.Background(), &st) == nil {
				for _, c := range st.Cells {
					if c.Leading {
						leading++
					}
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	slices.Sort(back)
	return back, nil
}

// MeasureFailsafes pauses all planners with SIGSTOP, so that their connections stay open, and resumes them, n times. It returns, each in
// ascending order, the times from the pause until every forwarder was in the fail-safe in all cells, and from the resume until
// every forwarder saw a leader in every cell again.
func MeasureFailsafes(cfg FleetConfig, n int) (into, back []time.Duration, err error) {
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
				return into, back, fmt.Errorf("after 10 s without planners some forwarders are not in the fail-safe in all cells")
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
