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

const maxMessageBytes = 128 << 10 // hotrestart.MaxBodyBytes, which this package must not import

func TestForwarderState_SplitAndJoin(t *testing.T) {
	want := ForwarderState{Incarnation: 1, LastHandle: 2, IncompleteAt: 3, Cordons: map[string]Cordon{}}
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
			t.Errorf("part of %d bytes, error %v, want at most 128 KiB and no error", len(text), err)
		}
	}
	got, ok := Join(parts)
	if !ok || len(parts) < 5 {
		t.Fatalf("Join of %d parts: ok is %v, want true and at least 5 parts", len(parts), ok)
	}
	golden.Same(t, "joined parts", got, want)
	for name, parts := range map[string][]Part{"an empty list": nil, "a forwarder and a gateway": append(parts, Part{})} {
		if _, ok := Join(parts); ok {
			t.Errorf("parts of %s: Join returned ok", name)
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
			t.Errorf("part %d: %+v, want 16, 16 and 1 accounts in order, of incarnation 255", i, p)
		}
	}
	if back := Reclaimed(parts); back[0].Incarnation != 0 || parts[0].Incarnation != 255 {
		t.Errorf("incarnation %d of the reclaimed part and %d of the original, want 0 and 255", back[0].Incarnation, parts[0].Incarnation)
	}
}

func TestValues_FiniteAndRestored(t *testing.T) {
	low, high, other := math.Inf(-1), math.Inf(1), 7.0
	values := Values([]*float64{&low, &high})
	if !slices.Equal(values, []float64{-math.MaxFloat64, math.MaxFloat64}) {
		t.Errorf("values are %v, want the smallest and the largest finite number", values)
	}
	if Restore([]*float64{&low, &high, &other}, values); low != -math.MaxFloat64 || high != math.MaxFloat64 || other != 7 {
		t.Errorf("restored as %v, %v, %v, want the smallest and the largest finite number and an unchanged 7", low, high, other)
	}
}
