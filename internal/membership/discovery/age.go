package discovery

import (
	"sync"
	"time"
)

// staleAfterS is the age, in s, from which on a list is not trusted to be of now: about five times what a service that works is silent for.
const staleAfterS = 10

// Age is how old a watcher's list may be, in s.
type Age struct {
	SinceUpdateS float64 `json:"heard_s"` // since the service last wrote anything
	ReportedAgeS float64 `json:"told_s"`  // how old the list was then by the service's own account
}

// Stale reports whether the list is too old to be trusted to be of now.
func (a Age) Stale() bool { return a.SinceUpdateS+a.ReportedAgeS > staleAfterS }

// ageTracker holds an Age. It is safe for concurrent use.
type ageTracker struct {
	mu           sync.Mutex
	updatedAt    time.Time
	reportedAgeS float64
}

// record notes that the service has just written, and the age that it reported.
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
