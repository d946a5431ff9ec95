package ingress

import "eiderspread/internal/dataplane/sockets"

// maxDrainLogLines bounds the lines of one drain or shutdown on single connections.
const maxDrainLogLines = 60

// draining reports whether clients are being let go of, by operators or as the process ends.
func (in *Ingress) draining() bool { return in.drain.Active() || in.shutdown.closingClients }

// logClientConn writes a line on one connection while the ingress drains, at most maxDrainLogLines a drain.
func (in *Ingress) logClientConn(message string, c *clientConn, more ...any) {
	if !in.draining() || in.drainLogLines >= maxDrainLogLines {
		return
	}
	in.drainLogLines++
	attrs := []any{"conn", c.connID, "age", roundToMillis(in.now - c.acceptedAt), "requests", c.requestCount, "open", len(c.answerSlots)}
	if c.lastCallAt > 0 {
		attrs = append(attrs, "last_asked_ago", roundToMillis(in.now-c.lastCallAt))
	}
	in.log.Info(message, append(attrs, more...)...)
}

// logOpenConns writes a line on each connection that is still open at the end of the time for a drain, and what it is doing.
func (in *Ingress) logOpenConns() {
	in.log.Warn("drain time is over", "connections", in.clients.open(), "requests", len(in.requests), "looks", in.drain.sweeps,
		"longest_gap", roundToMillis(in.drain.longestSweepGapS), "pings", in.drain.rejectedPings, "pings_behind_answers", in.drain.rejectedPingsQueued)
	for c := range in.clients.conns {
		in.logClientConn("connection outlived the drain", c, "reader_stopped", c.reader != readerRunning, "loop_owns_input", c.reader >= readerStopped,
			"ending", c.state == connClosing, "writing", c.writing, "unread_bytes", sockets.UnreadBytes(c.rawConn))
	}
}

// roundToMillis rounds a span of seconds to milliseconds, for the log.
func roundToMillis(spanS float64) float64 { return float64(int(spanS*1000+0.5)) / 1000 }
