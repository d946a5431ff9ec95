package loadshed

import "math"

const (
	waitTauS      = 0.3  // time constant of the mean wait, seconds
	priorSamples  = 2.0  // samples of 0 added to the mean, so that a single request has little effect
	minQueueWaitS = 0.02 // lower bound of QueueWait.MaxS, seconds
)

// QueueWait describes a request's wait for a backend. Request types embed it.
type QueueWait struct {
	Since float64 // start of the wait, seconds
	MaxS  float64 // maximum wait, seconds
}

// WaitFraction returns the time waited as a fraction of the maximum wait, at most 1.
func (w QueueWait) WaitFraction(now float64) float64 {
	return min((now-w.Since)/max(w.MaxS, minQueueWaitS), 1)
}

// waitAverage is a decaying mean of wait fractions.
type waitAverage struct {
	sum, samples float64 // decayed sum and number of samples at sampledAt
	sampledAt    float64 // seconds
}

func (a *waitAverage) add(now, fraction float64) {
	k := a.decay(now)
	a.sum, a.samples, a.sampledAt = a.sum*k+fraction, a.samples*k+1, now
}

// withQueue returns the decayed number of samples and their mean, with the waiting requests in the queue, whose
// wait fractions add up to fractions, as further samples. The mean alone includes the prior samples.
func (a *waitAverage) withQueue(now float64, waiting int, fractions float64) (samples, mean float64) {
	k := a.decay(now)
	samples = a.samples*k + float64(waiting)
	return samples, (a.sum*k + fractions) / (samples + priorSamples)
}

func (a *waitAverage) decay(now float64) float64 { return math.Exp((a.sampledAt - now) / waitTauS) }

// ObserveWait records a request's wait at its first attempt, as a fraction of its maximum wait. It is 1 for a
// request that is given up before its first attempt.
func (s *Shedder) ObserveWait(now, fraction float64) {
	if s != nil {
		s.meanWait.add(now, min(max(fraction, 0), 1))
	}
}
