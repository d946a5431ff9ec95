package trace

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

func testDecision(i int) reason.Decision {
	return reason.Decision{At: 1e9 + float64(i), Step: reason.StepRejected, Reason: reason.HardLimitLocal, ID: fmt.Sprint("r", i), Account: uint32(i + 1),
		Plan: "chaine", Class: "slot-hold", Units: 2, WindowAvailable: 3.5}
}

// testFile returns the bytes of a trace file with lost as the number of lost decisions, and n decisions after it.
func testFile(t testing.TB, n int, lost uint64) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := NewWriter(&b, Header{Name: "n0", Gateways: 3, Plans: []policy.Plan{{Name: "chaine", Rate: 4, Burst: 8}}})
	if err != nil {
		t.Fatal(err)
	}
	var list []reason.Decision
	for i := range n {
		list = append(list, testDecision(i))
	}
	if err := w.Write(list, lost); err != nil {
		t.Fatal(err)
	}
	if w.Size() != int64(b.Len()) {
		t.Fatalf("Size() = %d, but %d bytes were written", w.Size(), b.Len())
	}
	return b.Bytes()
}

// A killed process leaves a file that can end at any byte. Read returns all complete decisions before that byte, and nothing
// else.
func TestRead_TruncatedAnywhere(t *testing.T) {
	complete := testFile(t, 5, 3)
	f, err := Read(bytes.NewReader(complete))
	if err != nil || f.Truncated || f.Lost != 3 || len(f.Decisions) != 5 || f.Plans[0].Rate != 4 {
		t.Fatalf("complete file: got %+v, error %v; want 5 decisions, 3 lost and the plan's rate of 4", f, err)
	}
	before := 0
	for n := range complete {
		f, err := Read(bytes.NewReader(complete[:n]))
		if err != nil {
			if !errors.Is(err, ErrNotTrace) || before > 0 {
				t.Fatalf("first %d bytes: error %v after %d decisions were read from a shorter file", n, err, before)
			}
			continue
		}
		for i, d := range f.Decisions {
			if d != testDecision(i) {
				t.Fatalf("first %d bytes: decision %d is %+v, want %+v", n, i, d, testDecision(i))
			}
		}
		if len(f.Decisions) < before || len(f.Decisions) > before+1 {
			t.Fatalf("first %d bytes: %d decisions, want %d as with one byte less, or one more", n, len(f.Decisions), before)
		}
		before = len(f.Decisions)
	}
	if before != 4 {
		t.Fatalf("file without its last byte: %d decisions, want 4", before)
	}
}

func TestRead_RejectsOtherFiles(t *testing.T) {
	for _, text := range []string{"", "hello", "\xa0", "\xa2\x01\x61x\x02\x01"} {
		if _, err := Read(bytes.NewReader([]byte(text))); !errors.Is(err, ErrNotTrace) {
			t.Errorf("content %q: error %v, want %v", text, err, ErrNotTrace)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(testFile(f, 3, 1))
	f.Fuzz(func(t *testing.T, b []byte) {
		file, err := Read(bytes.NewReader(b))
		if err == nil && file.Magic != magic {
			t.Fatal("Read accepted a file without the magic string")
		}
	})
}
