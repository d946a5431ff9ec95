package loadplot

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"eiderspread/internal/testbed/oracle"
)

func TestDraw_WritesAFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "overload.svg")
	load := &oracle.Load{Seconds: []oracle.LoadSecond{{Demand: 3, Admitted: 2, Served: 1}, {Demand: 4, Admitted: 2, Served: 2}},
		LoadLevels: []oracle.LoadLevels{{At: time.Second, Values: []float64{0.5, 0.4}}, {At: 2 * time.Second, Values: []float64{0.6, 0.5}}}}
	if err := Draw(load, "a run", path); err != nil {
		t.Fatal(err)
	}
	if st, err := os.Stat(path); err != nil || st.Size() == 0 {
		t.Errorf("no SVG file or an empty one: %v", err)
	}
}
