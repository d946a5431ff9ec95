package ingress

import "time"

// expiredDeadline ends a read, a write or an accept that is under way.
var expiredDeadline = time.Unix(1, 0)

// A deadline can fail to be set only on a closed connection, whose next read, write or accept fails too: that is where it is handled.

func setReadDeadline(c interface{ SetReadDeadline(time.Time) error }, t time.Time) {
	_ = c.SetReadDeadline(t)
}

func setWriteDeadline(c interface{ SetWriteDeadline(time.Time) error }, t time.Time) {
	_ = c.SetWriteDeadline(t)
}

func setAcceptDeadline(l interface{ SetDeadline(time.Time) error }, t time.Time) {
	_ = l.SetDeadline(t)
}
