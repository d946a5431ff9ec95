package subset

import (
	"cmp"
	"math"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

// maxLoadFactor is the largest number of gateways that may prefer one backend in BoundedRendezvous, as a multiple
// of the mean.
const maxLoadFactor = 1.15

// BoundedRendezvous is Rendezvous with bounded load: gateways choose in the order of their numbers and skip
// backends that the maximum number of gateways already prefers. It computes the choices of all gateways up to
// this one. A change of the list can change the subsets of all gateways after the first one that it affects.
func BoundedRendezvous(ids []uint64, gateway, gateways, size int) []int {
	size = min(size, len(ids))
	limit := int(math.Ceil(maxLoadFactor * float64(gateways*size) / float64(max(len(ids), 1))))
	preferredBy := make([]int, len(ids))
	candidates := make([]ranked, len(ids))
	var list []int
	for g := range gateway + 1 {
		for i, id := range ids {
			candidates[i] = ranked{i, pairScore(id, g)}
		}
		slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
		list = list[:0]
		for _, r := range candidates {
			if len(list) < size && preferredBy[r.index] < limit {
				preferredBy[r.index]++
				list = append(list, r.index)
			}
		}
	}
	return list
}

// ShuffledRounds is deterministic subsetting: each round has as many gateways as there are disjoint subsets, and
// shuffles the list anew. All backends are preferred by the same number of gateways, apart from the last round and
// from the backends that are left over in a round. One backend more or less changes every subset.
func ShuffledRounds(ids []uint64, gateway, _, size int) []int {
	size = min(size, len(ids))
	if size == 0 {
		return nil
	}
	subsets := len(ids) / size
	round := gateway / subsets
	shuffled := make([]ranked, len(ids))
	for i := range ids {
		shuffled[i] = ranked{i, peerprotocol.Mix64(uint64(i)<<32 | uint64(round))}
	}
	slices.SortFunc(shuffled, func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	return indexes(shuffled[gateway%subsets*size : (gateway%subsets+1)*size])
}
