// Package outbox paces what a gateway tells its peers of its own accord: reports wait there by peer, those that somebody waits for go first, and all
// keep to a rate, since every message takes a place of the peer's intake. It does no I/O and takes time as a value, in seconds. What is told, and
// what is urgent, is the caller's word.
package reportqueue

import "slices"

// BatchIntervalS is the least time between two messages to one peer that nobody waits for.
const BatchIntervalS = 0.1

// reserveTokens is how many messages may always be sent at once after a pause.
const reserveTokens = 2

type peer[T any] struct {
	items           []T
	sentAt          float64
	pending, urgent bool
}

// Queue holds what is to be told.
type Queue[T any] struct {
	peers    []peer[T]
	pending  []int // peers with items, in the order in which they came to have some
	tokens   float64
	tokensAt float64
}

// New returns a box for so many peers.
func New[T any](peers int, now float64) Queue[T] {
	return Queue[T]{peers: make([]peer[T], peers), tokens: reserveTokens, tokensAt: now}
}

// Add adds an item for a peer.
func (b *Queue[T]) Add(to int, item T) {
	p := &b.peers[to]
	p.items = append(p.items, item)
	if !p.pending {
		p.pending = true
		b.pending = append(b.pending, to)
	}
}

// MarkUrgent has what is to be told to a peer go as soon as the rate allows.
func (b *Queue[T]) MarkUrgent(to int) { b.peers[to].urgent = true }

// PendingPeers is how many peers have items.
func (b *Queue[T]) PendingPeers() int { return len(b.pending) }

// Flush sends what is due at so many messages a second. tell gets a peer's items, oldest first, and returns how many of them it has told or dropped;
// it may put items in. What is not urgent leaves one message's place for what may become so.
func (b *Queue[T]) Flush(now, rate float64, tell func(to int, items []T) int) {
	b.tokens = min(max(reserveTokens, rate*BatchIntervalS*2), b.tokens+rate*(now-b.tokensAt))
	b.tokensAt = now
	list := b.pending
	b.pending = nil
	var left []int
	for _, to := range list {
		p := &b.peers[to]
		if p.urgent && b.tokens >= 1 || b.tokens >= reserveTokens && now-p.sentAt >= BatchIntervalS {
			b.tokens--
			n := tell(to, p.items)
			p.items = slices.Delete(p.items, 0, n)
			p.sentAt, p.urgent = now, p.urgent && len(p.items) > 0
		}
		if p.pending = len(p.items) > 0; p.pending {
			left = append(left, to)
		}
	}
	b.pending = append(left, b.pending...)
}
