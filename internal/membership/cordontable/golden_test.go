package cordontable

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the format of the cordon file.
func TestGoldenFile(t *testing.T) {
	want := Cordons{"backend-1": {SinceMS: 1234}, "backend-2": {SinceMS: 5678, UncordonedMS: 91011}}
	path := filepath.Join(t.TempDir(), "f")
	if err := NewStore(path).Update(context.Background(), func(Cordons) (Cordons, error) { return want, nil }); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "holds.json", text)
	var got Cordons
	if err := NewStore(golden.Path("holds.json")).ReadIfChanged(func(cordons Cordons) { got = cordons }); err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "holds", got, want)
}
