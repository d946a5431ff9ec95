package testbed

import (
	"io"
	"net"
	"syscall"
	"time"
)

// Faults in which an ingress has to end by itself before it is killed, and in which idle clients take its descriptors.

const (
	signalInterval    = 50 * time.Millisecond  // between two signals of a series
	killMargin        = 700 * time.Millisecond // SIGKILL comes no sooner than this after SIGTERM and the longest deadline,
	maxKillDeadline   = 3 * time.Second        // which counts up to here, as the protocol's page says
	crowdConnections  = 300                    // more than an ingress keeps idle with the descriptors of the testbed's configuration
	crowdDialInterval = time.Millisecond
)

// signalSeries is what an ingress receives at a termination: operators and scripts repeat their signals.
var signalSeries = []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}

// TermAndKill sends signalSeries, and kills the program if it still runs killAfter the first SIGTERM. It returns when the program has ended,
// and reports whether it had to be killed.
func (p *Proc) TermAndKill(killAfter time.Duration) (killed bool) {
	return p.TermAndKillAt(killAfter, func() {})
}

// TermAndKillAt is TermAndKill, and calls onKill directly before it kills the program.
func (p *Proc) TermAndKillAt(killAfter time.Duration, onKill func()) (killed bool) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	var kill <-chan time.Time
	for _, s := range signalSeries {
		if s == syscall.SIGTERM && kill == nil {
			p.mu.Lock()
			p.termSentAt = time.Now()
			p.mu.Unlock()
			kill = time.After(killAfter)
		}
		p.signal(s)
		time.Sleep(signalInterval)
	}
	defer func() {
		p.mu.Lock()
		p.termSentAt = time.Time{}
		p.mu.Unlock()
	}()
	select {
	case <-exited:
		return false
	case <-kill:
		onKill()
		p.Kill()
		return true
	}
}

// earliestKill returns how long after SIGTERM an ingress may be killed at the earliest.
func (f *Fleet) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, class := range f.cfg.Classes {
		longest = max(longest, seconds(class.DeadlineS))
	}
	return min(longest, maxKillDeadline) + killMargin
}

// terminateAndKill restarts an ingress with signalSeries and, at the earliest time that the page allows, SIGKILL. No request may be lost.
func (f *Fleet) terminateAndKill(i int) {
	if p := f.Forwarders[i]; p.TermAndKill(f.earliestKill()) {
		f.Hist.AddFault(p.Name + " had not ended when it was killed")
	}
	from := f.Hist.Now()
	f.restartForwarder(i)
	f.Hist.AddRestart(i, from, f.Hist.Now())
}

// crowd opens idle connections to an ingress and closes them after a time. Every other one sends PING first.
func (f *Fleet) crowd(i int, wait func(time.Duration) bool, openFor time.Duration) {
	var conns []net.Conn
	for n := range crowdConnections {
		conn, err := net.DialTimeout("tcp", f.Forwarders[i].Listen, time.Second)
		if err == nil {
			conns = append(conns, conn)
			if n%2 == 0 {
				_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n") // fails if the ingress has closed it already
			}
		}
		if !wait(crowdDialInterval) {
			break
		}
	}
	wait(openFor)
	for _, conn := range conns {
		conn.Close()
	}
}

func init() {
	kinds["terminated"] = kind{"an ingress gets a series of SIGHUP and SIGTERM, is killed at the earliest allowed time, and restarts", 1, 4, onForwarder,
		func(f *Fleet, x Fault, _ func(time.Duration) bool) { f.terminateAndKill(x.A % len(f.Forwarders)) }}
	kinds["crowd"] = kind{"idle clients take the descriptors of an ingress", 1, 4, fixedTarget("crowd"),
		func(f *Fleet, x Fault, wait func(time.Duration) bool) { f.crowd(x.A%len(f.Forwarders), wait, x.For) }}
}
