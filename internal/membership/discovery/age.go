package discovery

import (
	"sync"
	"time"
)

// staleAfterS is the age, in s, above which a list is stale: about five times the longest silence of a working service.
const staleAfterS = 10

// Age is an upper bound on the age of a watcher's list: the sum of its fields, in s.
type Age struct {
	SinceUpdateS float64 `json:"heard_s"` // time since the service last wrote anything
	ReportedAgeS float64 `json:"told_s"`  // age of the list at that time, as reported by the service
}

// Stale reports whether the list may be too old to describe the present state.
func (a Age) Stale() bool { return a.SinceUpdateS+a.ReportedAgeS > staleAfterS }

// ageTracker measures an Age. It is safe for concurrent use.
type ageTracker struct {
	mu           sync.Mutex
	updatedAt    time.Time
	reportedAgeS float64
}

// record restarts the measurement: the service has just written and reported the age reportedAgeS for its list.
func (a *ageTracker) record(reportedAgeS float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updatedAt, a.reportedAgeS = time.Now(), reportedAgeS
}

func (a *ageTracker) age() Age {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Age{SinceUpdateS: time.Since(a.updatedAt).Seconds(), ReportedAgeS: a.reportedAgeS}
}
