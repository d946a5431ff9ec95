package loadshed

import "math"

const (
	waitMemoryS   = 0.3  // time constant of the mean wait, seconds
	priorSamples  = 2.0  // samples without a wait that the mean begins with: one request alone proves little
	minQueueWaitS = 0.02 // that every request may wait, in seconds
)

// QueueWait is a request's wait for a backend. Requests embed it.
type QueueWait struct {
	Since float64 // time in seconds
	MaxS  float64 // for how long it may wait, in seconds
}

// Waited returns how long the request has waited, as a fraction of what it may; 1 at most.
func (w QueueWait) Waited(now float64) float64 {
	return min((now-w.Since)/max(w.MaxS, minQueueWaitS), 1)
}

// waitAverage is a decaying mean of wait fractions.
type waitAverage struct {
	sum, samples float64 // decayed, at sampledAt
	sampledAt    float64
}

func (a *waitAverage) add(now, fraction float64) {
	k := a.decay(now)
	a.sum, a.samples, a.sampledAt = a.sum*k+fraction, a.samples*k+1, now
}

// withQueue returns the number of samples, and their mean including the prior ones, with the requests that wait
// now as further samples.
func (a *waitAverage) withQueue(now float64, waiting int, fractions float64) (samples, mean float64) {
	k := a.decay(now)
	samples = a.samples*k + float64(waiting)
	return samples, (a.sum*k + fractions) / (samples + priorSamples)
}

func (a *waitAverage) decay(now float64) float64 { return math.Exp((a.sampledAt - now) / waitMemoryS) }

// ObserveWait counts how long a request has waited that is sent now, as a fraction of what it may; 1 for a
// request that is given up.
func (s *Shedder) ObserveWait(now, fraction float64) {
	if s != nil {
		s.meanWait.add(now, min(max(fraction, 0), 1))
	}
}
