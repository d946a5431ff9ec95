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
		t.Errorf("%d left", b.Available())
	}
	if b.Release(4); !b.Reserve(4) {
		t.Error("what was released can't be reserved")
	}
}

// Guards the budget: a buffer takes from it what it grows beyond ReadSize, and gives all of that back.
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
		t.Fatalf("%d bytes, want %d", f.Len(), len(want))
	}
	if budget.Available() >= 1<<20-2*ReadSize {
		t.Errorf("%d bytes left of the budget", budget.Available())
	}
	f.Discard(ReadSize)
	if !bytes.Equal(f.Bytes(), want[ReadSize:]) {
		t.Error("the rest differs")
	}
	if f.Discard(f.Len()); f.Len() != 0 || budget.Available() != 1<<20 {
		t.Errorf("%d bytes, %d left of the budget", f.Len(), budget.Available())
	}
}

func TestBuffer_WithoutBudget(t *testing.T) {
	f := New(budgetOf(0))
	f.Advance(copy(f.Space(), make([]byte, ReadSize)))
	if f.Space() != nil {
		t.Error("it grows beyond its own buffer")
	}
	if (&Buffer{budget: budgetOf(0)}).Fill(make([]byte, ReadSize+1)) {
		t.Error("it is filled beyond its own buffer")
	}
}

func TestBuffer_Fill(t *testing.T) {
	budget := budgetOf(2 * ReadSize)
	f := New(budget)
	data := make([]byte, 2*ReadSize)
	if !f.Fill(data) || f.Len() != len(data) || budget.Available() > ReadSize {
		t.Errorf("%d bytes, %d left of the budget", f.Len(), budget.Available())
	}
	data[0] = 1
	if f.Bytes()[0] != 0 {
		t.Error("the content is the caller's")
	}
	if f.Release(); budget.Available() != 2*ReadSize {
		t.Errorf("%d left of the budget", budget.Available())
	}
	uncounted := NewUncounted(budget, data)
	if uncounted.Release(); budget.Available() != 2*ReadSize {
		t.Errorf("%d left of the budget", budget.Available())
	}
}
