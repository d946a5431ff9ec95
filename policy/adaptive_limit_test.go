package policy

import (
	"fmt"
	"testing"
)

// The adaptive limit is for all backends together, so that it must scale with their number and stay above 0
// when an empty endpoint list is followed by a full one.
func TestAdaptiveLimit_ScalesWithBackends(t *testing.T) {
	g, _ := newTestGateway(t, singleGateway)
	before := g.adaptiveLimit
	var more []Backend
	for i := range 27 {
		more = append(more, Backend{ID: fmt.Sprint("m", i), Zone: "a"})
	}
	if g.UpdateBackends(101, more, false); g.adaptiveLimit != 10*before {
		t.Fatalf("adaptive limit is %v attempts with 3 backends and %v with 30, want ten times as many", before, g.adaptiveLimit)
	}
	g.UpdateBackends(102, nil, true)
	if g.UpdateBackends(103, more, true); g.adaptiveLimit <= 0 {
		t.Fatal("adaptive limit is 0 after an empty and a full endpoint list, want above 0")
	}
}
