package held

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"eiderspread/internal/lab/golden"
)

// Guards the file of what operators hold.
func TestGoldenFile(t *testing.T) {
	want := Holds{"backend-1": {SinceMS: 1234}, "backend-2": {SinceMS: 5678, BackMS: 91011}}
	path := filepath.Join(t.TempDir(), "f")
	if err := NewStore(path).Change(context.Background(), func(Holds) (Holds, error) { return want, nil }); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "holds.json", text)
	var got Holds
	if err := NewStore(golden.Path("holds.json")).Look(func(h Holds) { got = h }); err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "holds", got, want)
}
