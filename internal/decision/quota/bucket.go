package quota

// Bucket is a token bucket local to one gateway. Its zero value is empty at time 0.
type Bucket struct {
	Level     float64 // units available at UpdatedAt
	UpdatedAt float64 // seconds
}

// Refill adds rate units for each second since UpdatedAt, up to capacity, and returns the level.
func (b *Bucket) Refill(now, rate, capacity float64) float64 {
	b.Level, b.UpdatedAt = min(capacity, b.Level+rate*(now-b.UpdatedAt)), now
	return b.Level
}
