// Package snapshot defines the state that a process passes to its successor in a hot restart: a gateway's or a forwarder's, in parts that
// each fit a message of the link between the two processes. The values are plain and finite, so that every part has a JSON form. The struct
// tags hold the keys of that form, which processes of two versions share. The package makes no decisions and does no I/O.
//
// Times are Unix seconds by the clock of the process that took the snapshot, unless a field says otherwise.
package snapshot

import (
	"math"
	"slices"
)

const (
	// SequenceMargin is how many sequence numbers after the predecessor's last one a successor starts its messages to peers: up to this
	// many messages of the predecessor may still be under way.
	SequenceMargin = 64
	// HandedOverLevel is the level, in units, of a hard limit's bucket that was handed over: its former owner sends nothing under that limit.
	HandedOverLevel = -1e9
	// MaxAccountsPerPart is the largest number of accounts in a Part, so that the part fits a message of the link.
	MaxAccountsPerPart = 16
)

// Part is a part of a gateway's state. Every part repeats the gateway's own values; the accounts are distributed over the parts.
type Part struct {
	Incarnation     uint8                 `json:"Boot"`
	Sequence        uint16                `json:"Seq"`  // of the last message to a peer
	StartedAt       float64               `json:"Born"` // of the first process of this incarnation
	LimitPerBackend float64               `json:"Limit"`
	Values          []float64             `json:"Figures"`         // of the gateway, in the order that it defines
	Classes         map[string][2]float64 `json:"Classes"`         // by class: mean latency in s, number of samples
	Backends        map[string][]float64  `json:"Servers"`         // by the backend's ID, in the order that the gateway defines
	Accounts        []Account             `json:"Customers"`       // MaxAccountsPerPart at most
	Forwarder       *ForwarderState       `json:"Moved,omitempty"` // a forwarder's state; all other fields are then zero
}

// Account is what a gateway knows of an account. Ledger and Members are set if the gateway owns the account.
type Account struct {
	Key          uint32             `json:"Key"` // the upper half of Hash, by which gateways name the account
	Hash         uint64             `json:"Hash"`
	Plan         string             `json:"Plan"`
	FirstGateway int                `json:"First"`
	GatewayCount int                `json:"Entries"`           // consecutive gateways from FirstGateway; 0: known from peers' reports alone
	OwnerReplied bool               `json:"Known"`             // the owner has replied at least once
	HasInFlight  bool               `json:"Out"`               // attempts were in flight
	Values       []float64          `json:"Figures"`           // in the order that the gateway defines
	Ledger       []float64          `json:"Ledger,omitempty"`  // as returned by quota.Ledger.Snapshot
	Members      map[int][5]float64 `json:"Members,omitempty"` // by gateway, as returned by quota.Ledger.Snapshot
}

// AppendAccount adds an account to the last part or, if that one is full, to a new part with the same values. parts must not be empty.
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

// Reclaimed returns a copy of parts for the gateway that took the snapshot and whose successor died. The copy has the next incarnation:
// in the present one, peers would see older counts after the successor's reports, as if the successor's units had been taken back.
func Reclaimed(parts []Part) []Part {
	parts = slices.Clone(parts)
	for i := range parts {
		parts[i].Incarnation++
	}
	return parts
}

// Values returns the values of a list of variables, clamped to finite numbers.
func Values(variables []*float64) []float64 {
	var values []float64
	for _, v := range variables {
		values = append(values, min(max(*v, -math.MaxFloat64), math.MaxFloat64))
	}
	return values
}

// Restore assigns values to a list of variables, in order. Variables without a value, which the snapshot of another version may lack, keep
// theirs.
func Restore(variables []*float64, values []float64) {
	for i := range min(len(variables), len(values)) {
		*variables[i] = values[i]
	}
}
