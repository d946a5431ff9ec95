// Package kept is what a gateway knows in a form that another process takes over: plain figures, none infinite, in the order
// that the gateway itself gives them. It decides nothing and does no I/O.
package snapshot

import (
	"math"
	"slices"
)

const (
	// SequenceMargin are messages of the former process that may still be on their way.
	SequenceMargin = 64
	// NoCapacity, in units, stands in a ceiling that was handed on: it lets nothing through.
	NoCapacity = -1e9
	// MaxAccountsPerPart bounds a Part, so that it fits a message of the link.
	MaxAccountsPerPart = 16
)

// Part is a part of what a gateway knows; each part has all but customers.
type Part struct {
	Incarnation     uint8                 `json:"Boot"`
	Sequence        uint16                `json:"Seq"`
	StartedAt       float64               `json:"Born"`
	LimitPerBackend float64               `json:"Limit"` // a server
	Figures         []float64             `json:"Figures"`
	Classes         map[string][2]float64 `json:"Classes"`
	Backends        map[string][]float64  `json:"Servers"`
	Accounts        []Account             `json:"Customers"`
	Forwarder       *ForwarderState       `json:"Moved,omitempty"` // of a forwarder; nothing else is in it then
}

// Account is a customer, and where the gateway owns it, its count.
type Account struct {
	Key          uint32             `json:"Key"`
	Hash         uint64             `json:"Hash"`
	Plan         string             `json:"Plan"`
	FirstGateway int                `json:"First"`
	GatewayCount int                `json:"Entries"`
	OwnerReplied bool               `json:"Known"`
	HasInFlight  bool               `json:"Out"`
	Figures      []float64          `json:"Figures"`
	Ledger       []float64          `json:"Ledger,omitempty"`
	Members      map[int][5]float64 `json:"Members,omitempty"`
}

// AppendAccount puts a customer into the last part, or into a new one when that is full.
func AppendAccount(parts []Part, c Account) []Part {
	last := parts[len(parts)-1]
	if len(last.Accounts) == MaxAccountsPerPart {
		last.Accounts = nil
		parts = append(parts, last)
	}
	p := &parts[len(parts)-1]
	p.Accounts = append(p.Accounts, c)
	return parts
}

// Reclaimed are parts for the gateway that handed them on, whose successor died. To others that one's life has ended: what it
// let in was told under the boot that it had taken over, and must not seem handed back.
func Reclaimed(parts []Part) []Part {
	parts = slices.Clone(parts)
	for i := range parts {
		parts[i].Incarnation++
	}
	return parts
}

// Values copies figures, in their order.
func Values(of []*float64) (list []float64) {
	for _, p := range of {
		list = append(list, min(max(*p, -math.MaxFloat64), math.MaxFloat64))
	}
	return list
}

// Restore puts figures back; what is missing in the list stays.
func Restore(of []*float64, list []float64) {
	for i := range min(len(of), len(list)) {
		*of[i] = list[i]
	}
}
