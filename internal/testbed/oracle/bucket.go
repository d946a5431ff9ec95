package oracle

import "time"

// bucket is a token bucket of quota units that starts full.
type bucket struct {
	rate, burst, available float64 // units per second, units, units
	at                     time.Duration
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, available: burst}
}

// advance refills the bucket up to a time.
func (b *bucket) advance(at time.Duration) {
	b.available = min(b.burst, b.available+b.rate*(at-b.at).Seconds())
	b.at = at
}

// take takes units if the bucket holds them, and reports whether it did.
func (b *bucket) take(at time.Duration, units float64) bool {
	if b.advance(at); b.available < units {
		return false
	}
	b.available -= units
	return true
}

// overdraw takes units even if the bucket does not hold them.
func (b *bucket) overdraw(at time.Duration, units float64) {
	b.advance(at)
	b.available -= units
}
