package trace

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

func testRecord(i int) reason.Decision {
	return reason.Decision{At: 1e9 + float64(i), Step: reason.StepRejected, Reason: reason.HardLimitLocal, ID: fmt.Sprint("r", i), Account: uint32(i + 1), Plan: "chaine",
		Class: "slot-hold", Units: 2, WindowAvailable: 3.5}
}

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

// A loop that is faster than the disk loses records and knows how many; it never waits.
func TestRing_DropsNewestAndCounts(t *testing.T) {
	r := NewRing(4)
	for round := range 3 {
		for i := range 7 {
			r.Put(testRecord(10*round + i))
		}
		list, lost := r.Drain(nil)
		if len(list) != 4 || lost != 3 || list[0] != testRecord(10*round) || list[3] != testRecord(10*round+3) {
			t.Fatalf("round %d: %d records, %d lost", round, len(list), lost)
		}
	}
	if list, lost := r.Drain(nil); len(list) != 0 || lost != 0 {
		t.Fatal("taken twice")
	}
}

// Wherever a kill cuts a file off, what was written whole before is read, and nothing else.
func TestRead_TruncatedAnywhere(t *testing.T) {
	whole := testFile(t, 5, 3)
	full, err := Read(bytes.NewReader(whole))
	if err != nil || full.Truncated || full.Lost != 3 || len(full.Decisions) != 5 || full.Plans[0].Rate != 4 {
		t.Fatalf("%+v, %v", full, err)
	}
	before := 0
	for n := range whole {
		f, err := Read(bytes.NewReader(whole[:n]))
		if err != nil {
			if !errors.Is(err, ErrNotTrace) || before > 0 {
				t.Fatalf("cut at %d: %v", n, err)
			}
			continue
		}
		for i, d := range f.Decisions {
			if d != testRecord(i) {
				t.Fatalf("cut at %d: record %d is %+v", n, i, d)
			}
		}
		if len(f.Decisions) < before || len(f.Decisions) > before+1 {
			t.Fatalf("cut at %d: %d records after %d", n, len(f.Decisions), before)
		}
		before = len(f.Decisions)
	}
	if before != 4 {
		t.Fatalf("one byte short: %d records", before)
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
		x, err := Read(bytes.NewReader(b))
		if err == nil && x.Magic != magic {
			t.Fatal("not a trace")
		}
	})
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// What was put before the end is in the file, and a full file ends the trace and not the gateway.
func TestRecorder_WritesUntilTheEnd(t *testing.T) {
	dir := t.TempDir()
	ctx, end := context.WithCancel(context.Background())
	r, err := Open(ctx, dir, 1, Header{Name: "n0", StartedAt: 12}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	r.Put(testRecord(0))
	if err := r.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if f := readOnly(t, dir); len(f.Decisions) != 1 {
		t.Fatalf("%d records after a flush", len(f.Decisions))
	}
	r.Put(testRecord(1))
	end()
	<-r.Done()
	if f := readOnly(t, dir); len(f.Decisions) != 2 || f.Truncated {
		t.Fatalf("%d records at the end", len(f.Decisions))
	}
	r.Put(testRecord(2)) // after the end: nobody takes it, nothing breaks
	if err := r.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func TestRecorder_IsBounded(t *testing.T) {
	dir := t.TempDir()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	r, err := Open(ctx, dir, 1, Header{Name: "n0"}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	full := false
	for i := 0; i < 100 && !full; i++ {
		for k := range ringSize {
			r.Put(testRecord(k))
		}
		full = r.Flush(ctx) != nil
	}
	if !full {
		t.Fatal("never full")
	}
	before := fileSize(t, r.path)
	for k := range ringSize {
		r.Put(testRecord(k))
	}
	if err := r.Flush(ctx); err == nil || fileSize(t, r.path) != before {
		t.Fatalf("%v: %d bytes, %d before", err, fileSize(t, r.path), before)
	}
}

func fileSize(t *testing.T, path string) int64 {
	t.Helper()
	st, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	return st.Size()
}

func readOnly(t *testing.T, dir string) *File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.trace"))
	if err != nil || len(paths) != 1 {
		t.Fatal(paths, err)
	}
	b, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	f, err := Read(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	return f
}
