package ingress

import (
	"runtime/debug"
	"time"

	"eiderspread/internal/membership/discovery"
)

// A hot restart replaces a process without refusing a connection, see docs/operating-days.md. hot_restart_successor.go runs in the predecessor,
// which serves its successor; hot_restart_predecessor.go in the successor, which fetches from its predecessor.

const (
	// linkTimeout bounds each send on the link, and the waits for messages up to Proceed, but not the predecessor's wait for Ready; what is
	// received after Proceed ends with the link.
	linkTimeout         = 2 * time.Second
	maxSnapshotParts    = 1 << 14
	maxSnapshotBackends = 200 // that a snapshot may hold; in larger fleets they are learned anew
	coexistFraction     = 0.5 // of memory and connections to backends, that either process has while both run
)

// MemoryLimitFraction is the part of the memory limit from which on the collector works as hard as it must.
const MemoryLimitFraction = 0.6

// LimitMemory has the collector keep the heap within a fraction of mb megabytes; 0 MB: no limit.
func LimitMemory(mb int, fraction float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * fraction))
	}
}

// goMessage is what the old process says with hotrestart.Proceed.
type goMessage struct {
	OpenClients int             `json:"Clients"`        // connections that it still has
	BootTime    float64         `json:"Boot"`           // the machine's start by its clock, see monotime.Clock.BootTime
	Endpoints   *discovery.List `json:"List,omitempty"` // as discovery sent it; nil: too long for a message
}

// handoverStage is how far the hand-over to a successor is.
type handoverStage uint8

const (
	handoverNone    handoverStage = iota
	handoverPausing               // the successor is ready; what was accepted by now is on its way to the loop
	handoverActive                // connections are transferred as they become idle
)

func (s handoverStage) String() string { return [...]string{"none", "pausing", "active"}[s] }

// halveBackendConns leaves the other process its part of the descriptors for backends.
func (in *Ingress) halveBackendConns() {
	in.backends.maxConns = int(float64(in.backends.maxConnsAlone) * coexistFraction)
}

// splitLimitsWithPredecessor leaves the predecessor its part of connections, input and memory, until the link to it ends.
func (in *Ingress) splitLimitsWithPredecessor() {
	in.halveBackendConns()
	p := in.predecessor
	p.reservedInput = int(float64(in.inputBudget.Available()) * coexistFraction)
	in.inputBudget.Reserve(p.reservedInput)
	LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction*coexistFraction)
}

// takeAllLimits ends the sharing of connections and memory.
func (in *Ingress) takeAllLimits() {
	in.backends.maxConns = in.backends.maxConnsAlone
	LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction)
}
