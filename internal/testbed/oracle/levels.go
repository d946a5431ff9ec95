package oracle

import (
	"math"
	"slices"
)

const (
	settlingS    = 3.0 // seconds after the start of a peak until levels are expected to agree
	reversalStep = 0.1 // change of the median level beyond which it counts in LevelSpread.ReversalsPerMinute
)

// LevelSpread is how well the load-shedding levels of a fleet agree, from settlingS after the start of a peak to its end.
type LevelSpread struct {
	DetectionS         float64 `json:"Known"` // seconds from the start of the peak until 9 of 10 levels are at least half of Median; below 0: never
	Median             float64 `json:"Level"` // mean over time
	Spread             float64 // between the 10th and the 90th percentile, mean over time
	Swing              float64 // between the lowest and the highest median
	ReversalsPerMinute float64 `json:"Turns"` // reversals of the median's direction, by more than reversalStep
}

// quantile returns a quantile, 0 to 1, of a sorted list that is not empty.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// levelQuantiles are the 10th, 50th and 90th percentiles of the known levels, at a time in seconds after the start of the peak.
type levelQuantiles struct{ at, low, median, high float64 }

// quantilesOf returns the quantiles of the levels that were recorded in the peak.
func quantilesOf(levels []LoadLevels, peak Peak) (list []levelQuantiles) {
	for _, l := range levels {
		known := slices.DeleteFunc(slices.Clone(l.Values), func(level float64) bool { return level < 0 })
		if len(known) == 0 || l.At < peak.From || l.At > peak.To {
			continue
		}
		slices.Sort(known)
		list = append(list, levelQuantiles{(l.At - peak.From).Seconds(), quantile(known, 0.1), quantile(known, 0.5), quantile(known, 0.9)})
	}
	return list
}

// measureSpread returns how well levels agree in the peak; nil if none were recorded in it after settlingS.
func measureSpread(levels []LoadLevels, peak Peak) *LevelSpread {
	quantiles := quantilesOf(levels, peak)
	s := LevelSpread{DetectionS: -1}
	n, lowest, highest := 0.0, math.Inf(1), math.Inf(-1)
	last, lastChange, reversals := math.NaN(), 0.0, 0.0
	for _, q := range quantiles {
		if q.at < settlingS {
			continue
		}
		n++
		s.Median += q.median
		s.Spread += q.high - q.low
		lowest, highest = min(lowest, q.median), max(highest, q.median)
		if math.IsNaN(last) {
			last = q.median
		} else if change := q.median - last; math.Abs(change) > reversalStep {
			if change*lastChange < 0 {
				reversals++
			}
			last, lastChange = q.median, change
		}
	}
	if n == 0 {
		return nil
	}
	s.Median, s.Spread, s.Swing = s.Median/n, s.Spread/n, highest-lowest
	s.ReversalsPerMinute = reversals * 60 / max((peak.To-peak.From).Seconds()-settlingS, 1)
	for _, q := range quantiles {
		if q.low >= s.Median/2 {
			s.DetectionS = q.at
			break
		}
	}
	return &s
}
