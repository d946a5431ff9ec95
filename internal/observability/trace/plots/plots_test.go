package plots

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"

	"eiderspread/internal/decision/config"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace"
	"eiderspread/internal/observability/trace/analyse"
)

// Both pictures are drawn, also with more reasons than are drawn one by one; without anything to draw there is an error and no file.
func TestPlots_AreDrawn(t *testing.T) {
	var list []reason.Decision
	for i, r := range reason.Reasons() {
		for k := range 3 {
			list = append(list, reason.Decision{At: 100 + float64(i%7) + float64(k), Step: reason.StepRejected, Reason: r, ID: "q", Account: 7, Plan: "p", Units: 1, WindowAvailable: float32(k)})
		}
	}
	run := analyse.Join([]*trace.File{{Header: trace.Header{Name: "n0", Plans: []config.Plan{{Name: "p", Rate: 1, Burst: 5}}}, Decisions: list}})
	all := func(analyse.Record) bool { return true }
	dir := t.TempDir()
	for name, draw := range map[string]func(string) error{
		"reasons.png": func(p string) error { return RejectionReasons(run, 1, analyse.Rejected, p) },
		"rooms.png":   func(p string) error { return AvailableUnits(run, "00000007", all, p) },
	} {
		path := filepath.Join(dir, name)
		if err := draw(path); err != nil {
			t.Fatal(name, err)
		}
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		img, err := png.Decode(f)
		f.Close()
		if err != nil || img.Bounds().Dx() < 500 {
			t.Errorf("%s: %v", name, err)
		}
	}
	none := func(analyse.Record) bool { return false }
	if RejectionReasons(run, 1, none, filepath.Join(dir, "none.png")) == nil || AvailableUnits(run, "00000008", all, filepath.Join(dir, "none.png")) == nil {
		t.Error("nothing was drawn without an error")
	}
}
