package snapshot

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"

	"eiderspread/internal/decision/config"
	"eiderspread/internal/testbed/golden"
)

const maxMessageBytes = 128 << 10 // hotrestart.MaxBodyBytes, which lies above this package

func TestForwarderState_SplitAndJoin(t *testing.T) {
	want := ForwarderState{Incarnation: 1, LastHandle: 2, LossyAt: 3, Cordons: map[string]Cordon{}}
	for i := range 600 {
		id := fmt.Sprintf("%0128d", i)
		want.Cells = append(want.Cells, CellPromise{Epoch: uint64(i)})
		want.Cordons[id] = Cordon{Version: uint64(i)}
		want.UsageReports = append(want.UsageReports, UsageReport{Account: id})
		want.Requests = append(want.Requests, OpenRequest{Request: config.Request{ID: id}, SentAt: []float64{1, 2, 3}, AttemptDone: make([]bool, 3)})
	}
	parts := want.Split()
	for _, p := range parts {
		if text, err := json.Marshal(p); err != nil || len(text) > maxMessageBytes {
			t.Errorf("part of %d bytes: %v", len(text), err)
		}
	}
	got, ok := Join(parts)
	if !ok || len(parts) < 5 {
		t.Fatalf("%d parts, %v", len(parts), ok)
	}
	golden.Same(t, "joined parts", got, want)
	for name, parts := range map[string][]Part{"none": nil, "a gateway's": append(parts, Part{})} {
		if _, ok := Join(parts); ok {
			t.Errorf("%s: joined", name)
		}
	}
}

func TestAppendAccount_SpreadsAccountsOverParts(t *testing.T) {
	parts := []Part{{Incarnation: 255}}
	for i := range 2*MaxAccountsPerPart + 1 {
		parts = AppendAccount(parts, Account{Key: uint32(i)})
	}
	for i, p := range parts {
		if want := []int{16, 16, 1}[i]; len(p.Accounts) != want || p.Incarnation != 255 || p.Accounts[0].Key != uint32(16*i) {
			t.Errorf("part %d: %+v", i, p)
		}
	}
	if back := Reclaimed(parts); back[0].Incarnation != 0 || parts[0].Incarnation != 255 {
		t.Errorf("incarnations %d and %d", back[0].Incarnation, parts[0].Incarnation)
	}
}

func TestValues_FiniteAndRestored(t *testing.T) {
	low, high, other := math.Inf(-1), math.Inf(1), 7.0
	values := Values([]*float64{&low, &high})
	if !slices.Equal(values, []float64{-math.MaxFloat64, math.MaxFloat64}) {
		t.Errorf("values are %v", values)
	}
	if Restore([]*float64{&low, &high, &other}, values); low != -math.MaxFloat64 || high != math.MaxFloat64 || other != 7 {
		t.Errorf("restored as %v, %v, %v", low, high, other)
	}
}
