package plots

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"eiderspread/internal/testbed/oracle"
)

// Overload draws a run under overload: above worth asked for, sent to nodes and served in time, by second of asking; below the level that each
// ingress, or cell, held.
func Overload(l *oracle.Load, title, path string) error {
	worth := plot.New()
	worth.Title.Text, worth.Y.Label.Text, worth.Legend.Top = title, "worth a second", true
	var lines []any
	for _, x := range []struct {
		name string
		of   func(oracle.Second) float64
	}{{"asked for", func(s oracle.Second) float64 { return s.Asked }}, {"sent to nodes", func(s oracle.Second) float64 { return s.Let }},
		{"served in time", func(s oracle.Second) float64 { return s.Served }}} {
		points := make(plotter.XYs, len(l.Second))
		for i, s := range l.Second {
			points[i] = plotter.XY{X: float64(i), Y: x.of(s)}
		}
		lines = append(lines, x.name, points)
	}
	if err := plotutil.AddLines(worth, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	levels := plot.New()
	levels.X.Label.Text, levels.Y.Label.Text, levels.Y.Min, levels.Y.Max = "seconds", "level of overload", 0, 1
	levels.X.Max = float64(len(l.Second))
	most := 0
	for _, x := range l.Levels {
		most = max(most, len(x.Of))
	}
	for i := range most {
		var points plotter.XYs
		for _, x := range l.Levels {
			if i < len(x.Of) {
				points = append(points, plotter.XY{X: x.At.Seconds(), Y: x.Of[i]})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = color.NRGBA{R: 30, G: 60, B: 140, A: 110}
		levels.Add(line)
	}
	canvas := vgsvg.New(width, height)
	rows := [][]*plot.Plot{{worth}, {levels}}
	tiles := plot.Align(rows, draw.Tiles{Rows: 2, Cols: 1}, draw.New(canvas))
	worth.Draw(tiles[0][0])
	levels.Draw(tiles[1][0])
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if _, err := canvas.WriteTo(f); err != nil {
		f.Close()
		return fmt.Errorf("plot: %w", err)
	}
	return f.Close()
}
