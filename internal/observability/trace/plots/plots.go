// Package plots draws pictures of a run from its decision traces: rejections by reason and the units available to an account.
package plots

import (
	"errors"
	"fmt"
	"image/color"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace/analyse"
)

// Size of all pictures.
const (
	width  = 28 * vg.Centimeter
	height = 14 * vg.Centimeter
)

// maxReasons is the number of reasons that RejectionReasons draws each in its own colour. It draws all others as one bar.
const maxReasons = 6

// RejectionReasons draws the number of records that filter accepts over time, as bars stacked by reason, in bins of stepS
// seconds. The extension of path sets the picture's format. It returns an error if filter accepts no record.
func RejectionReasons(run *analyse.Run, stepS float64, filter func(analyse.Record) bool, path string) error {
	bins, counts := run.CountOverTime(stepS, filter)
	if bins == 0 || len(counts) == 0 {
		return errors.New("no rejections or failures to draw")
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Rejections and failures by reason", "seconds", fmt.Sprintf("records per %g s", stepS)
	p.Legend.Top = true
	barWidth := max((width-4*vg.Centimeter)/vg.Length(bins), vg.Points(1))
	var below *plotter.BarChart
	for i, s := range seriesOf(counts, bins) {
		bars, err := plotter.NewBarChart(s.values, barWidth)
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
		p.Legend.Add(fmt.Sprintf("%s (%d)", s.name, s.total), bars)
	}
	p.Y.Max *= 1.35 // leaves space for the legend above the bars
	return p.Save(width, height, path)
}

// series holds the bars of one colour in RejectionReasons.
type series struct {
	name   string
	total  int
	values plotter.Values // number of records by bin
}

// seriesOf returns a series for each of the maxReasons most frequent reasons, in descending order, and one series for all others.
func seriesOf(counts map[reason.Reason][]int, bins int) (list []series) {
	for _, r := range reason.Reasons() {
		if counts[r] == nil {
			continue
		}
		s := series{name: r.String(), values: make(plotter.Values, bins)}
		for bin, n := range counts[r] {
			s.total += n
			s.values[bin] = float64(n)
		}
		list = append(list, s)
	}
	slices.SortStableFunc(list, func(a, b series) int { return b.total - a.total })
	if len(list) <= maxReasons {
		return list
	}
	others := series{name: "others", total: list[maxReasons].total, values: make(plotter.Values, bins)} // total counts only the first of the others
	for _, s := range list[maxReasons:] {
		for bin, n := range s.values {
			others.values[bin] += n
		}
	}
	return append(list[:maxReasons], others)
}

// AvailableUnits draws the units available to an account over time: one line for each gateway's view, one line for the units
// that were really left, computed from the first attempts of all gateways, and one dot for each rejection or failure. account
// is an account's key as in analyse.Keys. The extension of path sets the picture's format. AvailableUnits returns an error if
// filter accepts no record of the account.
func AvailableUnits(run *analyse.Run, account string, filter func(analyse.Record) bool, path string) error {
	views, free, rejections := map[string]plotter.XYs{}, plotter.XYs{}, plotter.XYs{}
	plan := ""
	for _, r := range run.Records {
		if !filter(r) || r.Account == 0 || analyse.Keys["account"](r) != account {
			continue
		}
		plan = r.Plan
		at := r.At - run.Start
		views[r.GatewayName] = append(views[r.GatewayName], plotter.XY{X: at, Y: float64(r.WindowAvailable)})
		free = append(free, plotter.XY{X: at, Y: r.WindowFree})
		if analyse.RejectedOrFailed(r) {
			rejections = append(rejections, plotter.XY{X: at, Y: r.WindowFree})
		}
	}
	if len(free) == 0 {
		return fmt.Errorf("no record of account %s to draw", account)
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = fmt.Sprintf("Available units of account %s (plan %s)", account, plan), "seconds", "units"
	p.Legend.Top = true
	if err := addLine(p, "true", free, color.Black, vg.Points(2)); err != nil {
		return err
	}
	for i, name := range slices.Sorted(maps.Keys(views)) {
		if err := addLine(p, "seen by "+name, views[name], plotutil.Color(i), plotter.DefaultLineStyle.Width); err != nil {
			return err
		}
	}
	if len(rejections) > 0 {
		dots, err := plotter.NewScatter(rejections)
		if err != nil {
			return err
		}
		dots.Color, dots.Radius = color.RGBA{R: 200, A: 255}, vg.Points(2.5)
		p.Add(dots)
		p.Legend.Add("refused", dots)
	}
	return p.Save(width, height, path)
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color, lineWidth vg.Length) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = c, lineWidth
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
