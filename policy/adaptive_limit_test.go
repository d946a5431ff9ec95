package policy

import (
	"fmt"
	"testing"
)

// The limit grows and shrinks with the number of backends.
func TestAdaptiveLimit_ScalesWithBackends(t *testing.T) {
	g, _ := newTestGateway(t, alone)
	before := g.adaptiveLimit
	var more []Backend
	for i := range 27 {
		more = append(more, Backend{ID: fmt.Sprint("m", i), Zone: "a"})
	}
	if g.UpdateBackends(101, more, false); g.adaptiveLimit != 10*before {
		t.Fatalf("limit %v with 3 backends, %v with 30", before, g.adaptiveLimit)
	}
	g.UpdateBackends(102, nil, true)
	if g.UpdateBackends(103, more, true); g.adaptiveLimit <= 0 {
		t.Fatal("an empty list left no limit")
	}
}
