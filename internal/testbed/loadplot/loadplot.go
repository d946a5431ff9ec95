// Package loadplot plots the load of a test run under overload.
package loadplot

import (
	"errors"
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"eiderspread/internal/testbed/oracle"
)

// Size of the plot.
const (
	width  = 28 * vg.Centimeter
	height = 14 * vg.Centimeter
)

// Draw writes an SVG file with two plots of a run. The upper plot shows the value that was requested, sent to backends and served
// in time, by second of the request; the lower plot shows the load-shedding level of each gateway or cell.
func Draw(load *oracle.Load, title, path string) error {
	values, err := valuePlot(load, title)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	levels, err := levelPlot(load)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := saveStacked(path, values, levels); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func valuePlot(load *oracle.Load, title string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Legend.Top = title, "value per second", true
	var lines []any // alternating names and points, as plotutil.AddLines expects
	for _, series := range []struct {
		name  string
		value func(oracle.LoadSecond) float64
	}{
		{"requested", func(s oracle.LoadSecond) float64 { return s.Demand }},
		{"sent to backends", func(s oracle.LoadSecond) float64 { return s.Admitted }},
		{"served in time", func(s oracle.LoadSecond) float64 { return s.Served }},
	} {
		points := make(plotter.XYs, len(load.Seconds))
		for i, s := range load.Seconds {
			points[i] = plotter.XY{X: float64(i), Y: series.value(s)}
		}
		lines = append(lines, series.name, points)
	}
	return p, plotutil.AddLines(p, lines...)
}

func levelPlot(load *oracle.Load) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "seconds", "load-shedding level", 0, 1
	p.X.Max = float64(len(load.Seconds))
	gateways := 0
	for _, l := range load.LoadLevels {
		gateways = max(gateways, len(l.Values))
	}
	for i := range gateways {
		var points plotter.XYs
		for _, l := range load.LoadLevels {
			if i < len(l.Values) {
				points = append(points, plotter.XY{X: l.At.Seconds(), Y: l.Values[i]})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = color.NRGBA{R: 30, G: 60, B: 140, A: 110}
		p.Add(line)
	}
	return p, nil
}

// saveStacked writes the plots into one SVG file, one below the other.
func saveStacked(path string, list ...*plot.Plot) error {
	rows := make([][]*plot.Plot, len(list))
	for i, p := range list {
		rows[i] = []*plot.Plot{p}
	}
	canvas := vgsvg.New(width, height)
	for i, tiles := range plot.Align(rows, draw.Tiles{Rows: len(list), Cols: 1}, draw.New(canvas)) {
		list[i].Draw(tiles[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = canvas.WriteTo(f)
	return errors.Join(err, f.Close())
}
