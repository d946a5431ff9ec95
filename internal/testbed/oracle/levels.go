package oracle

import (
	"math"
	"slices"
	"time"
)

// LoadLevels are what ingresses, or cells, hold of overload at one time: 0 to 1 each, below 0 where it is not known.
type LoadLevels struct {
	At     time.Duration
	Values []float64 `json:"Of"`
}

// AddLoadLevels records levels as they are now.
func (h *History) AddLoadLevels(of []float64) {
	h.locked(func() { h.LoadLevels = append(h.LoadLevels, LoadLevels{h.Now(), of}) })
}

// LevelSpread is how well a fleet holds one level, from settlingS after the beginning of a peak to its end.
type LevelSpread struct {
	DetectionS         float64 `json:"Known"` // seconds from the peak's beginning until nine in ten hold at least half of the level that it comes to; below 0: never
	Median             float64 `json:"Level"` // the median, in the mean over time
	Spread             float64 // between the tenth and the ninetieth in a hundred, in the mean over time
	Swing              float64 // between the lowest and the highest median
	ReversalsPerMinute float64 `json:"Turns"` // a minute, by which the median changes its direction by more than a tenth
}

const settlingS = 3.0

func quantile(list []float64, q float64) float64 {
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// measureSpread works out how one the fleet's levels were; nil where none were recorded in the peak.
func measureSpread(levels []LoadLevels, peak Peak) *LevelSpread {
	type moment struct{ at, low, middle, high float64 }
	var list []moment
	for _, x := range levels {
		known := slices.DeleteFunc(slices.Clone(x.Values), func(l float64) bool { return l < 0 })
		if len(known) == 0 || x.At < peak.From || x.At > peak.To {
			continue
		}
		slices.Sort(known)
		list = append(list, moment{(x.At - peak.From).Seconds(), quantile(known, 0.1), quantile(known, 0.5), quantile(known, 0.9)})
	}
	s := LevelSpread{DetectionS: -1}
	n, low, high := 0.0, math.Inf(1), math.Inf(-1)
	from, turns := math.NaN(), 0.0
	up := 0.0
	for _, m := range list {
		if m.at < settlingS {
			continue
		}
		n++
		s.Median += m.middle
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
	s.Median, s.Spread, s.Swing = s.Median/n, s.Spread/n, high-low
	s.ReversalsPerMinute = turns * 60 / max((peak.To-peak.From).Seconds()-settlingS, 1)
	for _, m := range list {
		if m.low >= s.Median/2 {
			s.DetectionS = m.at
			break
		}
	}
	return &s
}
