// Package subset chooses which part of the nodes each gateway of a fleet prefers, so that connections are used again: from what all of them know, the
// gateways' numbers and the nodes' ids, with no word between them. It does no I/O, and decides nothing about a request: a subset is a preference.
//
// Three ways are kept side by side, to be measured (Measure): Rendezvous, which the ingress uses, Bounded, and Rounds. docs/subsets.md has the table.
package subset

import (
	"cmp"
	"math"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

// Strategy gives the places in ids (hashes of nodes) that gateway me of so many prefers, size of them at most, the most preferred first.
type Strategy func(ids []uint64, me, gateways, size int) []int

// pairScore is how much a gateway likes a node: a hash of both, and so each pair's own.
func pairScore(id uint64, me int) uint64 {
	return peerprotocol.Mix64(id ^ peerprotocol.Mix64(uint64(me)+1))
}

type ranked struct {
	index int
	score uint64
}

// Rendezvous takes the nodes with the highest scores. A node that comes or goes moves only those gateways whose subset it enters or leaves, by that
// one node; lists that differ by some nodes differ by those alone.
func Rendezvous(ids []uint64, me, _, size int) []int {
	if size <= 0 {
		return nil
	}
	top := make([]ranked, 0, size+1) // by falling score
	for i, id := range ids {
		s := pairScore(id, me)
		if len(top) == size && s <= top[size-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, s, func(r ranked, s uint64) int { return cmp.Compare(s, r.score) })
		top = slices.Insert(top, at, ranked{i, s})
		top = top[:min(len(top), size)]
	}
	list := make([]int, len(top))
	for i, r := range top {
		list[i] = r.index
	}
	return list
}

// maxLoadFactor is how many times the mean a node may be preferred by Bounded.
const maxLoadFactor = 1.15

// BoundedRendezvous is Rendezvous where no node is preferred by more than maxLoadFactor times the mean: gateways choose in the order of their numbers, and pass over
// what is full. All gateways' choices are worked out for each, and a change moves those after the first that it touches.
func BoundedRendezvous(ids []uint64, me, gateways, size int) []int {
	size = min(size, len(ids))
	most := int(math.Ceil(maxLoadFactor * float64(gateways*size) / float64(max(len(ids), 1))))
	taken := make([]int, len(ids))
	all := make([]ranked, len(ids))
	for g := range me + 1 {
		for i, id := range ids {
			all[i] = ranked{i, pairScore(id, g)}
		}
		slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
		var list []int
		for _, r := range all {
			if len(list) < size && taken[r.index] < most {
				taken[r.index]++
				list = append(list, r.index)
			}
		}
		if g == me {
			return list
		}
	}
	return nil
}

// ShuffledRounds is deterministic subsetting: gateways go in rounds of as many as there are disjoint subsets, and each round shuffles the list anew. Every
// node is preferred by the same number, but for the last round; one node more or less moves every subset.
func ShuffledRounds(ids []uint64, me, _, size int) []int {
	size = min(size, len(ids))
	if size == 0 {
		return nil
	}
	subsets := len(ids) / size
	round := me / subsets
	all := make([]ranked, len(ids))
	for i := range ids {
		all[i] = ranked{i, peerprotocol.Mix64(uint64(i)<<32 | uint64(round))}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	list := make([]int, 0, size)
	for _, r := range all[me%subsets*size : (me%subsets+1)*size] {
		list = append(list, r.index)
	}
	return list
}

// Size is how many nodes a gateway prefers: so many that each node is preferred by about sharers gateways, and least at least.
func Size(gateways, nodes, sharers, least int) int {
	return min(max((sharers*nodes+gateways-1)/max(gateways, 1), least), nodes)
}

// Stats are what a way does over a fleet.
type Stats struct {
	P99Load    float64 // load of the 99th hundredth of nodes over the mean, gateways' traffic as given, even within a subset
	P1Load     float64 // of the first hundredth
	Churn      float64 // share of all preferences that change when one node in fifty is replaced
	Divergence float64 // share of a subset that two lists, which differ by ten nodes, give differently
	Unselected int     // nodes that no gateway prefers
}

// Measure works a way out over a fleet: traffic by gateway, in any unit.
func Measure(way Strategy, ids []uint64, traffic []float64, size int, replaced, other []uint64) (f Stats) {
	load := make([]float64, len(ids))
	total, all := 0.0, 0
	var moved, differ float64
	for g, t := range traffic {
		list := way(ids, g, len(traffic), size)
		was := map[uint64]bool{}
		for _, i := range list {
			load[i] += t / float64(len(list))
			was[ids[i]] = true
		}
		total += t
		all += len(list)
		for _, i := range way(replaced, g, len(traffic), size) {
			moved += boolToFloat(!was[replaced[i]])
		}
		for _, i := range way(other, g, len(traffic), size) {
			differ += boolToFloat(!was[other[i]])
		}
	}
	slices.Sort(load)
	mean := total / float64(len(ids))
	f.P99Load, f.P1Load = load[min(len(load)*99/100, len(load)-1)]/mean, load[len(load)/100]/mean
	f.Churn, f.Divergence = moved/float64(all), differ/float64(all)
	for _, x := range load {
		if x == 0 {
			f.Unselected++
		}
	}
	return f
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
