package ingress

import "eiderspread/internal/dataplane/sockets"

// maxDrainLogLines limits the log lines about closed connections in one drain or shutdown, and those about connections that are left.
const maxDrainLogLines = 60

// draining reports whether clients' connections are being closed or transferred, in a drain by operators, a hot restart or a shutdown.
func (in *Ingress) draining() bool { return in.drain.Active() || in.shutdown.closingClients }

// logClientClose logs the close of one client connection. It logs only while the ingress is draining, at most maxDrainLogLines lines in
// one drain.
func (in *Ingress) logClientClose(c *clientConn) {
	if !in.draining() || in.drainLogLines >= maxDrainLogLines {
		return
	}
	in.drainLogLines++
	in.logClientConn("connection closed", c, "reason", c.closeReason, "ended_by_us_first", c.state == connClosing, "dropped_calls", c.droppedCalls,
		"writing", c.writing, "unwritten_bytes", c.unwrittenBytes(), "undelivered_bytes", sockets.UnackedBytes(c.rawConn), "unread_bytes", sockets.UnreadBytes(c.rawConn))
}

// logClientConn logs an event of one client connection.
func (in *Ingress) logClientConn(message string, c *clientConn, more ...any) {
	attrs := []any{"conn", c.connID, "age", roundToMillis(in.now - c.acceptedAt), "requests", c.requestCount, "open", len(c.answerSlots)}
	if c.lastCallAt > 0 {
		attrs = append(attrs, "last_asked_ago", roundToMillis(in.now-c.lastCallAt))
	}
	in.log.Info(message, append(attrs, more...)...)
}

// logOpenConns logs each connection that is still open at the end of a drain or shutdown, with its state.
func (in *Ingress) logOpenConns() {
	in.log.Warn("drain time is over", "connections", in.clients.open(), "requests", len(in.requests), "looks", in.drain.sweeps,
		"longest_gap", roundToMillis(in.drain.longestSweepGapS), "pings", in.drain.rejectedPings, "pings_behind_answers", in.drain.rejectedPingsQueued,
		"accepted", in.counters.accepted-in.drain.acceptedBefore, "accept_queue", acceptQueueLength(in.listener), "loop_lag", roundToMillis(in.clock.Now()-in.now))
	lines := 0
	for c := range in.clients.conns {
		if lines++; lines > maxDrainLogLines {
			break
		}
		in.logClientConn("connection still open after drain", c, "command_received", c.commandReceived, "idle", roundToMillis(in.now-c.lastUsedAt), "reader_stopped", c.reader != readerRunning, "loop_owns_input", c.reader >= readerStopped,
			"ending", c.state == connClosing, "writing", c.writing, "unread_bytes", sockets.UnreadBytes(c.rawConn), "queued_commands", len(c.pipelinePermits),
			"receiving", c.receivingCommand.Load(), "unwritten_bytes", c.unwrittenBytes(), "undelivered_bytes", sockets.UnackedBytes(c.rawConn))
	}
}

// waitingAnswerBytes returns the length of the final answers that wait behind others, without the batch or value that is being written.
func (c *clientConn) waitingAnswerBytes() (n int) {
	for _, slot := range c.answerSlots {
		n += len(slot.answer)
	}
	return n
}

// roundToMillis rounds a duration in seconds to whole milliseconds, for the log.
func roundToMillis(spanS float64) float64 { return float64(int(spanS*1000+0.5)) / 1000 }
