// Package plots draws what a run's traces tell.
package plots

import (
	"fmt"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace/analyse"
)

const (
	width      = 28 * vg.Centimeter
	height     = 14 * vg.Centimeter
	maxReasons = 6 // reasons drawn one by one, each in a colour of its own; the others are one bar
)

// RejectionReasons draws how many refusals there were for which reason over time, stacked, in steps of so many seconds.
func RejectionReasons(run *analyse.Run, step float64, want func(analyse.Record) bool, path string) error {
	bins, by := run.CountOverTime(step, want)
	if bins == 0 || len(by) == 0 {
		return fmt.Errorf("nothing was refused")
	}
	sum := func(list []int) (n int) {
		for _, x := range list {
			n += x
		}
		return n
	}
	var order []reason.Reason
	for _, r := range reason.Reasons() {
		if by[r] != nil {
			order = append(order, r)
		}
	}
	slices.SortStableFunc(order, func(a, b reason.Reason) int { return sum(by[b]) - sum(by[a]) })
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Refusals and failures by reason", "seconds", fmt.Sprintf("in %g s", step)
	p.Legend.Top = true
	barWidth := max((width-4*vg.Centimeter)/vg.Length(bins), vg.Points(1))
	var below *plotter.BarChart
	for i := 0; i < len(order); i++ {
		values, name := make(plotter.Values, bins), order[i].String()
		for b, n := range by[order[i]] {
			values[b] = float64(n)
		}
		if i == maxReasons {
			name = "others"
			for _, r := range order[i+1:] {
				for b, n := range by[r] {
					values[b] += float64(n)
				}
			}
			order = order[:i+1]
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(fmt.Sprintf("%s (%d)", name, sum(by[order[i]])), bars)
	}
	p.Y.Max *= 1.35 // the legend stands above the bars
	return p.Save(width, height, path)
}

// AvailableUnits draws an account's room as each gateway saw it beside the true one, and where it was refused.
func AvailableUnits(run *analyse.Run, account string, want func(analyse.Record) bool, path string) error {
	views, free, refused := map[string]plotter.XYs{}, plotter.XYs{}, plotter.XYs{}
	plan := ""
	for _, r := range run.Records {
		if !want(r) || r.Account == 0 || analyse.Keys["account"](r) != account {
			continue
		}
		plan = r.Plan
		at := r.At - run.Start
		views[r.Name] = append(views[r.Name], plotter.XY{X: at, Y: float64(r.WindowAvailable)})
		free = append(free, plotter.XY{X: at, Y: r.WindowFree})
		if analyse.Rejected(r) {
			refused = append(refused, plotter.XY{X: at, Y: r.WindowFree})
		}
	}
	if len(free) == 0 {
		return fmt.Errorf("no record of account %s", account)
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf("Room of account %s (%s)", account, plan), "seconds", "units"
	p.Legend.Top = true
	truth, err := plotter.NewLine(free)
	if err != nil {
		return err
	}
	truth.Width, truth.Color = vg.Points(2), color.Black
	p.Add(truth)
	p.Legend.Add("true", truth)
	var names []string
	for n := range views {
		names = append(names, n)
	}
	slices.Sort(names)
	for i, n := range names {
		line, err := plotter.NewLine(views[n])
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add("seen by "+n, line)
	}
	if len(refused) > 0 {
		dots, err := plotter.NewScatter(refused)
		if err != nil {
			return err
		}
		dots.Color, dots.Radius = color.RGBA{R: 200, A: 255}, vg.Points(2.5)
		p.Add(dots)
		p.Legend.Add("refused", dots)
	}
	return p.Save(width, height, path)
}
