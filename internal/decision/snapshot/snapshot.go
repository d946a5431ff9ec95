// Package snapshot is the state that a process passes to its successor in a hot restart: a gateway's, in parts that each fit a message of
// the link, or a forwarder's. The values are plain and finite, so that every part has a JSON form; the keys of that form, which processes
// of two versions share, stand in the tags. The package decides nothing and does no I/O.
//
// Times are Unix seconds by the clock of the process that took the snapshot, unless a field says otherwise.
package snapshot

import (
	"math"
	"slices"
)

const (
	// SequenceMargin is how far a successor's messages to peers begin behind the predecessor's last one: so many of those may still be
	// under way.
	SequenceMargin = 64
	// NoCapacity is the level, in units, of a hard limit's bucket that was handed on: its former owner sends nothing under it.
	NoCapacity = -1e9
	// MaxAccountsPerPart bounds a Part, so that it fits a message of the link.
	MaxAccountsPerPart = 16
)

// Part is a part of a gateway's state. Every part has the gateway's own values; accounts are spread over the parts.
type Part struct {
	Incarnation     uint8                 `json:"Boot"`
	Sequence        uint16                `json:"Seq"`  // of the last message to a peer
	StartedAt       float64               `json:"Born"` // of the first process of this incarnation
	LimitPerBackend float64               `json:"Limit"`
	Values          []float64             `json:"Figures"`         // the gateway's, in the order that it defines
	Classes         map[string][2]float64 `json:"Classes"`         // by class: mean latency in s, number of samples
	Backends        map[string][]float64  `json:"Servers"`         // by backend's ID, in the order that the gateway defines
	Accounts        []Account             `json:"Customers"`       // MaxAccountsPerPart at most
	Forwarder       *ForwarderState       `json:"Moved,omitempty"` // a forwarder's state; all else is zero then
}

// Account is what a gateway knows of an account; Ledger and Members are set where it owns it.
type Account struct {
	Key          uint32             `json:"Key"` // the upper half of Hash, by which gateways name the account
	Hash         uint64             `json:"Hash"`
	Plan         string             `json:"Plan"`
	FirstGateway int                `json:"First"`
	GatewayCount int                `json:"Entries"`           // gateways in a row from FirstGateway; 0: known by peers' reports alone
	OwnerReplied bool               `json:"Known"`             // the owner has replied at least once
	HasInFlight  bool               `json:"Out"`               // attempts were out
	Values       []float64          `json:"Figures"`           // in the order that the gateway defines
	Ledger       []float64          `json:"Ledger,omitempty"`  // as the ledger packs itself
	Members      map[int][5]float64 `json:"Members,omitempty"` // by gateway, as the ledger packs its members
}

// AppendAccount puts an account into the last part, or into a new one with the same values where that is full. parts must not be empty.
func AppendAccount(parts []Part, account Account) []Part {
	last := parts[len(parts)-1]
	if len(last.Accounts) == MaxAccountsPerPart {
		last.Accounts = nil
		parts = append(parts, last)
	}
	p := &parts[len(parts)-1]
	p.Accounts = append(p.Accounts, account)
	return parts
}

// Reclaimed is a copy of parts for the gateway that took the snapshot and whose successor died. It is of the next incarnation: what the
// successor reported to peers under the present one must not look as if it were taken back.
func Reclaimed(parts []Part) []Part {
	parts = slices.Clone(parts)
	for i := range parts {
		parts[i].Incarnation++
	}
	return parts
}

// Values copies the variables of a list, bounded to finite values.
func Values(variables []*float64) []float64 {
	var values []float64
	for _, v := range variables {
		values = append(values, min(max(*v, -math.MaxFloat64), math.MaxFloat64))
	}
	return values
}

// Restore sets the variables of a list to values, in order. Variables without a value, which another version's snapshot may lack, stay.
func Restore(variables []*float64, values []float64) {
	for i := range min(len(variables), len(values)) {
		*variables[i] = values[i]
	}
}
