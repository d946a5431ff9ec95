// Package kept is what a gateway knows in a form that another process takes over: plain figures, none infinite, in the order
// that the gateway itself gives them. It decides nothing and does no I/O.
package kept

import (
	"math"
	"slices"
)

const (
	// SeqAhead are messages of the former process that may still be on their way.
	SeqAhead = 64
	// None, in units, stands in a ceiling that was handed on: it lets nothing through.
	None = -1e9
	// CustomersMost bounds a Part, so that it fits a message of the link.
	CustomersMost = 16
)

// Part is a part of what a gateway knows; each part has all but customers.
type Part struct {
	Boot      uint8
	Seq       uint16
	Born      float64
	Limit     float64 // a server
	Figures   []float64
	Classes   map[string][2]float64
	Servers   map[string][]float64
	Customers []Customer
	Moved     *Moved `json:",omitempty"` // of a forwarder; nothing else is in it then
}

// Customer is a customer, and where the gateway owns it, its count.
type Customer struct {
	Key            uint32
	Hash           uint64
	Plan           string
	First, Entries int
	Known, Out     bool
	Figures        []float64
	Ledger         []float64          `json:",omitempty"`
	Members        map[int][5]float64 `json:",omitempty"`
}

// Add puts a customer into the last part, or into a new one when that is full.
func Add(parts []Part, c Customer) []Part {
	last := parts[len(parts)-1]
	if len(last.Customers) == CustomersMost {
		last.Customers = nil
		parts = append(parts, last)
	}
	p := &parts[len(parts)-1]
	p.Customers = append(p.Customers, c)
	return parts
}

// Back are parts for the gateway that handed them on, whose successor died. To others that one's life has ended: what it
// let in was told under the boot that it had taken over, and must not seem handed back.
func Back(parts []Part) []Part {
	parts = slices.Clone(parts)
	for i := range parts {
		parts[i].Boot++
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
