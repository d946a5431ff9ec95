package trace

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
)

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// All decisions put before the end are in the file.
func TestRecorder_WritesUntilTheEnd(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	r, err := Open(ctx, dir, 1, Header{Name: "n0", StartedAt: 12}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	r.Put(testRecord(0))
	if err := r.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if f := readSingleFile(t, dir); len(f.Decisions) != 1 {
		t.Fatalf("%d decisions after a flush, want 1", len(f.Decisions))
	}
	r.Put(testRecord(1))
	cancel()
	<-r.Done()
	if f := readSingleFile(t, dir); len(f.Decisions) != 2 || f.Truncated {
		t.Fatalf("%d decisions at the end, want 2", len(f.Decisions))
	}
	r.Put(testRecord(2)) // after the end it is dropped
	if err := r.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// A full file ends the trace, and the gateway goes on.
func TestRecorder_IsBounded(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
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
		t.Fatal("the file is never full")
	}
	before := fileSize(t, r.path)
	for k := range ringSize {
		r.Put(testRecord(k))
	}
	if err := r.Flush(ctx); err == nil || fileSize(t, r.path) != before {
		t.Fatalf("%d bytes in a full file, %d before; error of a flush: %v", fileSize(t, r.path), before, err)
	}
}

func TestCheckFolder(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		dir   string
		maxMB int
		valid bool
	}{{"", 0, true}, {dir, 0, true}, {dir, 5, true}, {dir, -1, false}, {"", -1, false}, {file, 0, false}, {filepath.Join(dir, "missing"), 0, false}} {
		if err := CheckFolder(tc.dir, tc.maxMB); (err == nil) != tc.valid {
			t.Errorf("folder %q, %d MB: error %v", tc.dir, tc.maxMB, err)
		}
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

// readSingleFile reads the only trace in a folder.
func readSingleFile(t *testing.T, dir string) *File {
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
