package ingress

import (
	"runtime/debug"
	"time"

	"eiderspread/internal/membership/discovery"
)

// A hot restart replaces a process without refusing a connection, see docs/operating-days.md. The code in hot_restart_successor.go runs in
// the predecessor and hands over to a successor; the code in hot_restart_predecessor.go runs in the successor and takes over from its
// predecessor.

const (
	// linkTimeout bounds each send on the link, and each wait for a message up to Proceed, except the predecessor's wait for Ready. After
	// Proceed both sides wait for messages until the link ends.
	linkTimeout         = 2 * time.Second
	maxSnapshotParts    = 1 << 14 // that a successor accepts
	maxSnapshotBackends = 200     // in larger fleets, a snapshot has no backends and the successor learns them anew
	coexistFraction     = 0.5     // of memory, input budget and connections to backends: the share of each process while both run
)

// MemoryLimitFraction is the fraction of the configured memory above which the garbage collector runs as often as it must to free memory.
const MemoryLimitFraction = 0.6

// LimitMemory sets the soft memory limit of the Go runtime to a fraction of mb MiB. An mb of 0 stands for no limit and sets none.
func LimitMemory(mb int, fraction float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * fraction))
	}
}

// proceedMessage is the body of hotrestart.Proceed, which the old process sends.
type proceedMessage struct {
	OpenClients int             `json:"Clients"`        // client connections that it still has
	BootTime    float64         `json:"Boot"`           // when the machine started, by the old process's clock; see monotime.Clock.BootTime
	Endpoints   *discovery.List `json:"List,omitempty"` // as discovery sent it, without cordons; nil: too long for a message
}

// handoverStage is the progress of the hand-over to a successor.
type handoverStage uint8

const (
	handoverNone    handoverStage = iota
	handoverPausing               // the successor is ready; connections accepted by now are still on their way to the loop
	handoverActive                // connections are transferred as they become idle
)

func (s handoverStage) String() string { return [...]string{"none", "pausing", "active"}[s] }

// halveBackendConns leaves the other process its share of the connections to backends, which are bounded by descriptors.
func (in *Ingress) halveBackendConns() {
	in.backends.maxConns = int(float64(in.backends.maxConnsAlone) * coexistFraction)
}

// splitLimitsWithPredecessor leaves the predecessor its share of backend connections, input budget and memory, until the link to it ends.
func (in *Ingress) splitLimitsWithPredecessor() {
	in.halveBackendConns()
	p := in.predecessor
	p.reservedInput = int(float64(in.inputBudget.Available()) * coexistFraction)
	in.inputBudget.Reserve(p.reservedInput)
	LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction*coexistFraction)
}

// restoreFullLimits ends the sharing of backend connections and memory with another process.
func (in *Ingress) restoreFullLimits() {
	in.backends.maxConns = in.backends.maxConnsAlone
	LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction)
}
