package trace

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

func testRecord(i int) reason.Decision {
	return reason.Decision{At: 1e9 + float64(i), Step: reason.StepRejected, Reason: reason.HardLimitLocal, ID: fmt.Sprint("r", i), Account: uint32(i + 1),
		Plan: "chaine", Class: "slot-hold", Units: 2, WindowAvailable: 3.5}
}

// testFile returns a file of n decisions.
func testFile(t testing.TB, n int, lost uint64) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := NewWriter(&b, Header{Name: "n0", Gateways: 3, Plans: []policy.Plan{{Name: "chaine", Rate: 4, Burst: 8}}})
	if err != nil {
		t.Fatal(err)
	}
	var list []reason.Decision
	for i := range n {
		list = append(list, testRecord(i))
	}
	if err := w.Write(list, lost); err != nil {
		t.Fatal(err)
	}
	if w.Size() != int64(b.Len()) {
		t.Fatalf("size %d of %d bytes", w.Size(), b.Len())
	}
	return b.Bytes()
}

// Wherever a file ends, all complete decisions are read, and nothing else.
func TestRead_TruncatedAnywhere(t *testing.T) {
	complete := testFile(t, 5, 3)
	f, err := Read(bytes.NewReader(complete))
	if err != nil || f.Truncated || f.Lost != 3 || len(f.Decisions) != 5 || f.Plans[0].Rate != 4 {
		t.Fatalf("%+v, %v", f, err)
	}
	before := 0
	for n := range complete {
		f, err := Read(bytes.NewReader(complete[:n]))
		if err != nil {
			if !errors.Is(err, ErrNotTrace) || before > 0 {
				t.Fatalf("%d bytes: %v", n, err)
			}
			continue
		}
		for i, d := range f.Decisions {
			if d != testRecord(i) {
				t.Fatalf("%d bytes: decision %d is %+v", n, i, d)
			}
		}
		if len(f.Decisions) < before || len(f.Decisions) > before+1 {
			t.Fatalf("%d bytes: %d decisions, %d with one byte less", n, len(f.Decisions), before)
		}
		before = len(f.Decisions)
	}
	if before != 4 {
		t.Fatalf("one byte short: %d decisions, want 4", before)
	}
}

func TestRead_RejectsOtherFiles(t *testing.T) {
	for _, text := range []string{"", "hello", "\xa0", "\xa2\x01\x61x\x02\x01"} {
		if _, err := Read(bytes.NewReader([]byte(text))); !errors.Is(err, ErrNotTrace) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(testFile(f, 3, 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		file, err := Read(bytes.NewReader(b))
		if err == nil && file.Magic != magic {
			t.Fatal("not a trace")
		}
	})
}
