package inputbuffer

import (
	"bytes"
	"testing"
)

func budgetOf(n int64) *Budget {
	b := &Budget{}
	b.Reset(n)
	return b
}

func TestBudget_ReserveIsAllOrNothing(t *testing.T) {
	b := budgetOf(10)
	if !b.Reserve(10) || b.Reserve(1) || b.Available() != 0 {
		t.Errorf("a budget of 10 does not give exactly one reservation of 10: %d bytes available, want 0", b.Available())
	}
	if b.Release(4); !b.Reserve(4) {
		t.Error("4 released bytes can't be reserved again")
	}
}

// Guards against bytes that are lost from the budget: a buffer reserves what it grows beyond ReadSize, and releases all
// of that once its content is discarded.
func TestBuffer_Grows(t *testing.T) {
	budget := budgetOf(1 << 20)
	f := New(budget)
	want := bytes.Repeat([]byte("0123456789abcdef"), 3*ReadSize/16)
	for rest := want; len(rest) > 0; {
		n := copy(f.Space(), rest)
		f.Advance(n)
		rest = rest[n:]
	}
	if !bytes.Equal(f.Bytes(), want) {
		t.Fatalf("the content of %d bytes differs from the %d bytes read into the buffer", f.Len(), len(want))
	}
	if budget.Available() >= 1<<20-2*ReadSize {
		t.Errorf("%d bytes available, want at least %d reserved", budget.Available(), 2*ReadSize)
	}
	f.Discard(ReadSize)
	if !bytes.Equal(f.Bytes(), want[ReadSize:]) {
		t.Errorf("the content after a discard of %d bytes differs from the rest of the input", ReadSize)
	}
	if f.Discard(f.Len()); f.Len() != 0 || budget.Available() != 1<<20 {
		t.Errorf("after a discard of all: content of %d bytes, want 0; %d bytes available, want %d", f.Len(), budget.Available(), 1<<20)
	}
}

func TestBuffer_WithoutBudget(t *testing.T) {
	f := New(budgetOf(0))
	f.Advance(copy(f.Space(), make([]byte, ReadSize)))
	if f.Space() != nil {
		t.Error("the buffer grows beyond ReadSize with an empty budget")
	}
}

// Guards against input of a connection from the predecessor that is dropped, or not counted, because the budget is exhausted.
func TestBuffer_FillBeyondBudget(t *testing.T) {
	budget := budgetOf(0)
	f := New(budget)
	f.Fill(make([]byte, ReadSize+1))
	if f.Len() != ReadSize+1 || budget.Available() >= 0 || budget.Reserve(1) {
		t.Errorf("content of %d bytes, want %d; %d bytes available, want under 0 and no further reservation", f.Len(), ReadSize+1, budget.Available())
	}
	if f.Release(); budget.Available() != 0 {
		t.Errorf("after Release: %d bytes available, want 0", budget.Available())
	}
}

func TestBuffer_Fill(t *testing.T) {
	budget := budgetOf(2 * ReadSize)
	f := New(budget)
	data := make([]byte, 2*ReadSize)
	if f.Fill(data); f.Len() != len(data) || budget.Available() > ReadSize {
		t.Errorf("content of %d bytes, want %d; %d bytes available, want %d at most", f.Len(), len(data), budget.Available(), ReadSize)
	}
	data[0] = 1
	if f.Bytes()[0] != 0 {
		t.Error("the content aliases the caller's data")
	}
	if f.Release(); budget.Available() != 2*ReadSize {
		t.Errorf("after Release: %d bytes available, want %d", budget.Available(), 2*ReadSize)
	}
	uncounted := NewUncounted(budget, data)
	if uncounted.Release(); budget.Available() != 2*ReadSize {
		t.Errorf("after Release of an uncounted buffer: %d bytes available, want %d", budget.Available(), 2*ReadSize)
	}
}
