package ingress

import (
	"syscall"
	"time"

	"eiderspread/internal/dataplane/sockets"
)

// stallDetector measures for how long a client has read nothing while output waits for it. The client's progress is what counts: a write of
// many bytes may take long although the client reads all the time, and the kernel may accept nothing for seconds while it acknowledges bytes.
// One goroutine uses it.
type stallDetector struct {
	raw        syscall.RawConn
	unacked    int // at the last check; -1: not known
	progressAt time.Time
}

// newStallDetector returns a detector for the connection of raw. The client counts as reading at now.
func newStallDetector(raw syscall.RawConn, now time.Time) stallDetector {
	return stallDetector{raw: raw, unacked: -1, progressAt: now}
}

// stalledFor returns the time without progress until now. written is the number of bytes that the socket has accepted since the last call.
func (d *stallDetector) stalledFor(now time.Time, written int) time.Duration {
	unacked := sockets.UnackedBytes(d.raw)
	if written > 0 || unacked >= 0 && unacked < d.unacked {
		d.progressAt = now
	}
	d.unacked = unacked
	return now.Sub(d.progressAt)
}
