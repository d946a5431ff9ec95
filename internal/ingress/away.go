package ingress

import "time"

// What an ingress does that operators have sent its clients away from: it says so at once, goes on serving, and closes
// each connection when nothing is open on it. Nothing of it outlives the process.
const (
	awayTick  = 100 * time.Millisecond
	awayFirst = 0.5  // seconds for which new connections go on coming after the front was told, and some more
	awayRest  = 0.15 // so long a connection has rested before it is closed: its client has read its answer
	awayOver  = 4.0  // by then no client may be left: what is, is logged
	awayLast  = 1.7  // from then on a connection ends with its next answer: at 4 s no request may be younger than 2 s
)

type awayState struct {
	on     bool
	since  float64
	timer  *timer // of the next look
	over   *timer // of the end of the time allowed
	looks  int    // so far
	lookAt float64
	gap    float64 // the longest between two looks
	pings  int     // answered with no
	behind int     // of these: behind other answers
}

// sendAway begins it; a second call changes nothing.
func (in *Ingress) sendAway() {
	if in.away.on || in.leaving {
		return
	}
	in.log.Info("clients are sent away", "connections", in.clients.open(), "requests", len(in.requests))
	in.drainLines = 0
	in.away = awayState{on: true, since: in.now}
	in.taking.Store(false)
	in.away.timer = in.after(awayFirst, in.thin)
	in.away.over = in.after(awayOver, in.logRemaining)
}

// takeBack ends it.
func (in *Ingress) takeBack() error {
	if in.leaving {
		return errNotReady
	}
	if in.away.on {
		in.log.Info("clients are taken again", "after", seconds(in.now-in.away.since))
		in.stopTimer(in.away.timer)
		in.stopTimer(in.away.over)
		in.away = awayState{}
	}
	in.taking.Store(true)
	return nil
}

// thin closes what waits for nothing, again and again while clients are away: the front goes on asking.
func (in *Ingress) thin() {
	in.away.timer = in.after(awayTick.Seconds(), in.thin)
	in.away.looked(in.now)
	last := in.awayLast()
	for c := range in.clients.all {
		switch {
		case c.quiet() && !c.ending && in.now-c.usedAt > awayRest && silent(c.raw):
			in.bid(c, closeDrained)
		case last && c.asked:
			c.halt()
		}
	}
}

// looked notes a look at all connections.
func (a *awayState) looked(now float64) {
	if a.looks++; a.looks > 1 {
		a.gap = max(a.gap, now-a.lookAt)
	}
	a.lookAt = now
}

// awayLast tells that a connection ends with its next answer.
func (in *Ingress) awayLast() bool { return in.away.on && in.now-in.away.since >= awayLast }
