// Package subset chooses the part of the backends that each gateway of a fleet prefers, so that connections are
// reused. The choice depends only on the gateways' numbers and the hashes of the backends' IDs and needs no
// messages. A subset is a preference: the package does no I/O and makes no decision about a request.
//
// Rendezvous is the strategy in use. No decision uses BoundedRendezvous and ShuffledRounds: Measure
// compares Rendezvous with them, and docs/subsets.md has the figures.
package subset

import (
	"cmp"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

// Strategy returns the backends that a gateway prefers, as indexes in ids (hashes of the backends' IDs): size of
// them at most, the most preferred first. gateways is the number of gateways in the fleet.
type Strategy func(ids []uint64, gateway, gateways, size int) []int

// Size returns how many of the backends each gateway prefers, so that each backend is preferred by about
// gatewaysPerBackend gateways. The result is minSize at least, unless there are fewer backends.
func Size(gateways, backends, gatewaysPerBackend, minSize int) int {
	return min(max((gatewaysPerBackend*backends+gateways-1)/max(gateways, 1), minSize), backends)
}

// pairScore returns the score of a backend at a gateway: a hash of both.
func pairScore(id uint64, gateway int) uint64 {
	return peerprotocol.Mix64(id ^ peerprotocol.Mix64(uint64(gateway)+1))
}

// ranked is an index in a list of IDs with its score.
type ranked struct {
	index int
	score uint64
}

// Rendezvous prefers the backends with the highest scores (highest random weight). Adding or removing a backend
// changes only the subsets that it enters or leaves, each by one backend. The subsets of lists that differ by
// some backends therefore differ by as many backends at most. The order of ids does not matter.
func Rendezvous(ids []uint64, gateway, _, size int) []int {
	if size <= 0 {
		return nil
	}
	top := make([]ranked, 0, size+1) // highest score first
	for i, id := range ids {
		score := pairScore(id, gateway)
		if len(top) == size && score <= top[size-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, score, func(r ranked, score uint64) int { return cmp.Compare(score, r.score) })
		top = slices.Insert(top, at, ranked{i, score})
		top = top[:min(len(top), size)]
	}
	return indexes(top)
}

func indexes(list []ranked) []int {
	out := make([]int, len(list))
	for i, r := range list {
		out[i] = r.index
	}
	return out
}
