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

// Flush writes all decisions put before it. The end of the context writes the rest; decisions put afterwards are dropped.
func TestRecorder_WritesUntilTheEnd(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	r, err := Open(ctx, dir, 1, Header{Name: "n0", StartedAt: 12}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	r.Put(testDecision(0))
	if err := r.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if f := readSingleFile(t, dir); len(f.Decisions) != 1 {
		t.Fatalf("%d decisions in the file after Flush, want 1", len(f.Decisions))
	}
	r.Put(testDecision(1))
	cancel()
	<-r.Done()
	if f := readSingleFile(t, dir); len(f.Decisions) != 2 || f.Truncated {
		t.Fatalf("%d decisions in the closed file (truncated: %v), want 2 and not truncated", len(f.Decisions), f.Truncated)
	}
	r.Put(testDecision(2)) // dropped, as the recorder is done
	if err := r.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// When the file reaches its size limit, recording stops: Flush returns an error and the file grows no further. Put still returns,
// so the gateway goes on.
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
			r.Put(testDecision(k))
		}
		full = r.Flush(ctx) != nil
	}
	if !full {
		t.Fatalf("Flush returned no error after 100 rings of %d decisions, want the size limit of 1 MB reached", ringSize)
	}
	before := fileSize(t, r.path)
	for k := range ringSize {
		r.Put(testDecision(k))
	}
	if err := r.Flush(ctx); err == nil || fileSize(t, r.path) != before {
		t.Fatalf("file at its size limit grew from %d to %d bytes, or Flush returned no error: %v", before, fileSize(t, r.path), err)
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
		if err := CheckSettings(tc.dir, tc.maxMB); (err == nil) != tc.valid {
			t.Errorf("CheckSettings(%q, %d): error %v, want valid = %v", tc.dir, tc.maxMB, err, tc.valid)
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

// readSingleFile reads the only trace file in dir.
func readSingleFile(t *testing.T, dir string) *File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.trace"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("trace files %v in %s, error %v; want one file", paths, dir, err)
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
