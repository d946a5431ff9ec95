// Package reportqueue paces the reports that a gateway sends to its peers. Items are queued by peer and sent in
// batches; urgent ones are sent without waiting for the next batch. A token bucket limits the rate of all messages,
// because each message uses a part of the rate at which its receiver accepts messages. The package does no I/O;
// times are seconds of the caller's clock. Package policy decides what is reported and what is urgent.
package reportqueue

import "slices"

// BatchIntervalS is the shortest time between a message to a peer and the next one without urgent items, in
// seconds.
const BatchIntervalS = 0.1

const (
	// reserveTokens is the smallest capacity of the token bucket, in messages. A message without urgent items is sent
	// only while the bucket has this many tokens, and takes one: the other is left to items that become urgent.
	reserveTokens = 2
	// burstIntervals is the number of batch intervals whose messages may be sent at once after a pause.
	burstIntervals = 2
)

// Queue holds the items to be reported. The items for one peer keep their order.
type Queue[T any] struct {
	peers    []peer[T]
	pending  []int // peers with items, in the order of their first items
	tokens   float64
	tokensAt float64
}

type peer[T any] struct {
	items   []T
	sentAt  float64
	pending bool // it is in Queue.pending
	urgent  bool
}

// New returns an empty queue for the given number of peers.
func New[T any](peers int, now float64) Queue[T] {
	return Queue[T]{peers: make([]peer[T], peers), tokens: reserveTokens, tokensAt: now}
}

// Add adds an item for a peer.
func (q *Queue[T]) Add(to int, item T) {
	p := &q.peers[to]
	p.items = append(p.items, item)
	if !p.pending {
		p.pending = true
		q.pending = append(q.pending, to)
	}
}

// MarkUrgent makes the peer's items urgent: they are sent as soon as the rate allows.
func (q *Queue[T]) MarkUrgent(to int) { q.peers[to].urgent = true }

// PendingPeers returns how many peers have items.
func (q *Queue[T]) PendingPeers() int { return len(q.pending) }

// Flush sends the messages that are due, at a rate in messages per second. It calls send with a peer's items, oldest
// first; send returns how many of them, from the front, it has sent or dropped, and may call Add.
func (q *Queue[T]) Flush(now, rate float64, send func(to int, items []T) int) {
	q.refill(now, rate)
	pending := q.pending
	q.pending = nil // send may add peers
	var remaining []int
	for _, to := range pending {
		p := &q.peers[to]
		if q.canSend(p, now) {
			q.tokens--
			n := send(to, p.items)
			p.items = slices.Delete(p.items, 0, n)
			p.sentAt, p.urgent = now, p.urgent && len(p.items) > 0
		}
		if p.pending = len(p.items) > 0; p.pending {
			remaining = append(remaining, to)
		}
	}
	q.pending = append(remaining, q.pending...)
}

func (q *Queue[T]) refill(now, rate float64) {
	q.tokens = min(max(reserveTokens, rate*BatchIntervalS*burstIntervals), q.tokens+rate*(now-q.tokensAt))
	q.tokensAt = now
}

// canSend reports whether the peer's items may be sent now.
func (q *Queue[T]) canSend(p *peer[T], now float64) bool {
	return p.urgent && q.tokens >= 1 || q.tokens >= reserveTokens && now-p.sentAt >= BatchIntervalS
}
