// Package subset chooses which part of the backends each gateway of a fleet prefers, so that connections are
// reused: by the gateways' numbers and the hashes of the backends' ids alone, without messages. It does no I/O
// and decides nothing about a request: a subset is a preference.
//
// Rendezvous is the strategy in use. No decision uses BoundedRendezvous and ShuffledRounds: Measure
// compares Rendezvous with them, and docs/subsets.md has the figures.
package subset

import (
	"cmp"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

// Strategy returns the indexes in ids (hashes of backends' ids) that a gateway of so many prefers, size of them
// at most, the most preferred first.
type Strategy func(ids []uint64, gateway, gateways, size int) []int

// Size returns how many of the backends a gateway prefers: so many that each backend is preferred by about
// sharers gateways, and least at least.
func Size(gateways, backends, sharers, least int) int {
	return min(max((sharers*backends+gateways-1)/max(gateways, 1), least), backends)
}

// pairScore is the score of a backend at a gateway: a hash of both.
func pairScore(id uint64, gateway int) uint64 {
	return peerprotocol.Mix64(id ^ peerprotocol.Mix64(uint64(gateway)+1))
}

// ranked is an index in a list of ids with its score.
type ranked struct {
	index int
	score uint64
}

// Rendezvous prefers the backends with the highest scores (highest random weight). A backend that is added or
// removed changes only the subsets that it enters or leaves, by itself alone; lists that differ by some
// backends give subsets that differ by those alone. The order of ids does not matter.
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
