// Package inputbuffer bounds the memory that buffered input takes. Each connection may hold a small buffer of its own; all memory beyond
// these buffers is reserved from one shared budget.
package inputbuffer

import "sync/atomic"

// ReadSize is the size in bytes of a connection's own buffer, which is not counted in the budget.
const ReadSize = 4 << 10

// Budget bounds the bytes that all connections buffer together, beyond the first ReadSize bytes of each buffer. It is safe for concurrent
// use. The zero value has no bytes available.
type Budget struct{ available atomic.Int64 }

// Reset makes n bytes available, whatever has been reserved.
func (b *Budget) Reset(n int64) { b.available.Store(n) }

// Available returns the number of bytes that are not reserved.
func (b *Budget) Available() int64 { return b.available.Load() }

// Reserve reserves n bytes, or none and returns false if fewer are available.
func (b *Budget) Reserve(n int) bool {
	if b.available.Add(-int64(n)) < 0 {
		b.available.Add(int64(n))
		return false
	}
	return true
}

// ReserveExcess reserves n bytes even if fewer are available. It is for bytes that are in memory already and can't be dropped; until as many are
// released, Reserve fails.
func (b *Budget) ReserveExcess(n int) { b.available.Add(-int64(n)) }

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Buffer holds bytes that were read from one connection. It is not safe for concurrent use.
type Buffer struct {
	data     []byte
	budget   *Budget
	reserved int // bytes reserved from the budget for the capacity of data above ReadSize
}

// New returns an empty buffer that reserves bytes from budget as it grows.
func New(budget *Budget) Buffer { return Buffer{budget: budget} }

// NewUncounted returns a buffer with a copy of data, which is not counted in the budget because the sender of data has bounded its size.
func NewUncounted(budget *Budget, data []byte) Buffer {
	return Buffer{budget: budget, data: append(make([]byte, 0, ReadSize), data...)}
}

// Fill sets the content of the buffer to a copy of data, which is counted even if the budget has too few bytes available: data is in memory
// already, and its sender has bounded it.
func (f *Buffer) Fill(data []byte) {
	f.data = append(make([]byte, 0, max(ReadSize, len(data))), data...)
	f.reserved = max(0, cap(f.data)-ReadSize)
	f.budget.ReserveExcess(f.reserved)
}

// Bytes returns the content: the bytes that were read and are not discarded yet. The slice is valid until the next call of another method.
func (f *Buffer) Bytes() []byte { return f.data }

// Len returns the length of the content in bytes.
func (f *Buffer) Len() int { return len(f.data) }

// Space returns the free space into which the caller reads, and reserves bytes from the budget if the buffer has to grow. It returns nil if
// the budget has too few bytes available. After a read, the caller passes the number of bytes read to Advance.
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

// Discard removes the first n bytes of the content. If no content is left, it releases a buffer that a large message has grown beyond
// ReadSize.
func (f *Buffer) Discard(n int) {
	rest := f.data[n:]
	if len(rest) == 0 && cap(f.data) > ReadSize {
		f.Release()
		return
	}
	f.data = f.data[:copy(f.data, rest)]
}

// Release drops the content and returns the reserved bytes to the budget. The buffer may be used again.
func (f *Buffer) Release() {
	f.budget.Release(f.reserved)
	f.data, f.reserved = nil, 0
}
