package ingress

import "time"

// expiredDeadline interrupts a read, a write or an accept in progress.
var expiredDeadline = time.Unix(1, 0)

// Setting a deadline fails only on a closed connection. The next read, write or accept on it fails too, and its caller handles the failure.

func setReadDeadline(c interface{ SetReadDeadline(time.Time) error }, t time.Time) {
	_ = c.SetReadDeadline(t)
}

func setWriteDeadline(c interface{ SetWriteDeadline(time.Time) error }, t time.Time) {
	_ = c.SetWriteDeadline(t)
}

func setAcceptDeadline(l interface{ SetDeadline(time.Time) error }, t time.Time) {
	_ = l.SetDeadline(t)
}
