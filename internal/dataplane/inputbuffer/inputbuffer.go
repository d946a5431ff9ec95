// Package inputbuffer bounds the memory that input takes: each connection has a small buffer of its own, and what all of them hold beyond
// that comes from one budget.
package inputbuffer

import "sync/atomic"

// ReadSize is the size in bytes of a connection's own buffer, which no budget counts.
const ReadSize = 4 << 10

// Budget bounds the bytes that goroutines hold for others, beyond the first ReadSize of each buffer. It is safe for concurrent use; the zero
// value has nothing to give.
type Budget struct{ available atomic.Int64 }

// Reset makes n bytes available, whatever is reserved.
func (b *Budget) Reset(n int64) { b.available.Store(n) }

// Available is how many bytes are left.
func (b *Budget) Available() int64 { return b.available.Load() }

// Reserve takes n bytes, or nothing if so many are not left.
func (b *Budget) Reserve(n int) bool {
	if b.available.Add(-int64(n)) < 0 {
		b.available.Add(int64(n))
		return false
	}
	return true
}

// Release gives n reserved bytes back.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Buffer gathers what is read from one connection. One goroutine uses it at a time.
type Buffer struct {
	data     []byte
	budget   *Budget
	reserved int // of the budget, for what data's capacity has above ReadSize
}

// New returns an empty buffer that grows by the budget.
func New(budget *Budget) Buffer { return Buffer{budget: budget} }

// NewUncounted returns a buffer that holds a copy of data, which the budget does not count: its sender has bounded it.
func NewUncounted(budget *Budget, data []byte) Buffer {
	return Buffer{budget: budget, data: append(make([]byte, 0, ReadSize), data...)}
}

// Fill makes a copy of data the buffer's content; false if the budget does not reach.
func (f *Buffer) Fill(data []byte) bool {
	f.data = append(make([]byte, 0, max(ReadSize, len(data))), data...)
	if more := cap(f.data) - ReadSize; more > 0 {
		if !f.budget.Reserve(more) {
			return false
		}
		f.reserved = more
	}
	return true
}

// Bytes is what was read and not discarded yet, until the next call of another method.
func (f *Buffer) Bytes() []byte { return f.data }

// Len is how many bytes that is.
func (f *Buffer) Len() int { return len(f.data) }

// Space is where to read into, nil if the budget does not reach; Advance says how much came.
func (f *Buffer) Space() []byte {
	if cap(f.data)-len(f.data) < ReadSize/2 {
		size := max(ReadSize, 2*len(f.data)+ReadSize/2)
		if more := size - ReadSize - f.reserved; more > 0 {
			if !f.budget.Reserve(more) {
				return nil
			}
			f.reserved += more
		}
		f.data = append(make([]byte, 0, size), f.data...)
	}
	return f.data[len(f.data):cap(f.data)]
}

// Advance adds the first n bytes of Space to the content.
func (f *Buffer) Advance(n int) { f.data = f.data[:len(f.data)+n] }

// Discard forgets the first n bytes, and lets go of a buffer that one large message blew up.
func (f *Buffer) Discard(n int) {
	rest := f.data[n:]
	if len(rest) == 0 && cap(f.data) > ReadSize {
		f.Release()
		return
	}
	f.data = f.data[:copy(f.data, rest)]
}

// Release lets go of all; the buffer is empty and may be used again.
func (f *Buffer) Release() {
	f.budget.Release(f.reserved)
	f.data, f.reserved = nil, 0
}
