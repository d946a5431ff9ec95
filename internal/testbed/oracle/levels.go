package oracle

import (
	"math"
	"slices"
	"time"
)

// Levels are what ingresses, or cells, hold of overload at one time: 0 to 1 each, below 0 where it is not known.
type Levels struct {
	At time.Duration
	Of []float64
}

// LevelsAre records levels as they are now.
func (h *History) LevelsAre(of []float64) {
	h.do(func() { h.Levels = append(h.Levels, Levels{h.Now(), of}) })
}

// Spread is how well a fleet holds one level, from settleS after the beginning of a peak to its end.
type Spread struct {
	Known  float64 // seconds from the peak's beginning until nine in ten hold at least half of the level that it comes to; below 0: never
	Level  float64 // the median, in the mean over time
	Spread float64 // between the tenth and the ninetieth in a hundred, in the mean over time
	Swing  float64 // between the lowest and the highest median
	Turns  float64 // a minute, by which the median changes its direction by more than a tenth
}

const settleS = 3.0

func quantile(list []float64, q float64) float64 {
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// spread works out how one the fleet's levels were; nil where none were recorded in the peak.
func spread(levels []Levels, peak Peak) *Spread {
	type moment struct{ at, low, middle, high float64 }
	var list []moment
	for _, x := range levels {
		known := slices.DeleteFunc(slices.Clone(x.Of), func(l float64) bool { return l < 0 })
		if len(known) == 0 || x.At < peak.From || x.At > peak.To {
			continue
		}
		slices.Sort(known)
		list = append(list, moment{(x.At - peak.From).Seconds(), quantile(known, 0.1), quantile(known, 0.5), quantile(known, 0.9)})
	}
	s := Spread{Known: -1}
	n, low, high := 0.0, math.Inf(1), math.Inf(-1)
	from, turns := math.NaN(), 0.0
	up := 0.0
	for _, m := range list {
		if m.at < settleS {
			continue
		}
		n++
		s.Level += m.middle
		s.Spread += m.high - m.low
		low, high = min(low, m.middle), max(high, m.middle)
		if d := m.middle - from; math.IsNaN(from) || math.Abs(d) > 0.1 {
			if d*up < 0 {
				turns++
			}
			if !math.IsNaN(from) {
				up = d
			}
			from = m.middle
		}
	}
	if n == 0 {
		return nil
	}
	s.Level, s.Spread, s.Swing = s.Level/n, s.Spread/n, high-low
	s.Turns = turns * 60 / max((peak.To-peak.From).Seconds()-settleS, 1)
	for _, m := range list {
		if m.low >= s.Level/2 {
			s.Known = m.at
			break
		}
	}
	return &s
}
