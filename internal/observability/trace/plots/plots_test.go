package plots

import (
	"errors"
	"image/png"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"eiderspread/internal/decision/config"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace"
	"eiderspread/internal/observability/trace/analyse"
)

func everyRecord(analyse.Record) bool { return true }

func noRecord(analyse.Record) bool { return false }

// testRun returns a run with rejections of one account for every reason. There are more reasons than maxReasons.
func testRun() *analyse.Run {
	var list []reason.Decision
	for i, r := range reason.Reasons() {
		for k := range 3 {
			list = append(list, reason.Decision{At: 100 + float64(i%7) + float64(k), Step: reason.StepRejected, Reason: r, ID: "q", Account: 7, Plan: "p",
				Units: 1, WindowAvailable: float32(k)})
		}
	}
	return analyse.Join([]*trace.File{{Header: trace.Header{Name: "n0", Plans: []config.Plan{{Name: "p", Rate: 1, Burst: 5}}}, Decisions: list}})
}

func TestPlots_AreDrawn(t *testing.T) {
	run, dir := testRun(), t.TempDir()
	for name, draw := range map[string]func(path string) error{
		"reasons.png": func(path string) error { return RejectionReasons(run, 1, analyse.RejectedOrFailed, path) },
		"rooms.png":   func(path string) error { return AvailableUnits(run, "00000007", everyRecord, path) },
	} {
		path := filepath.Join(dir, name)
		if err := draw(path); err != nil {
			t.Fatalf("draw %s: %v", name, err)
		}
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		img, err := png.Decode(f)
		if err != nil {
			t.Fatalf("decode %s as PNG: %v", name, err)
		}
		if img.Bounds().Dx() < 500 {
			t.Errorf("%s is %d pixels wide, want at least 500", name, img.Bounds().Dx())
		}
	}
}

func TestPlots_NothingToDraw(t *testing.T) {
	run, path := testRun(), filepath.Join(t.TempDir(), "none.png")
	if RejectionReasons(run, 1, noRecord, path) == nil || AvailableUnits(run, "00000008", everyRecord, path) == nil {
		t.Error("RejectionReasons or AvailableUnits returned no error with nothing to draw")
	}
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("stat of %s: error %v, want %v: no file may be written", path, err, fs.ErrNotExist)
	}
}
