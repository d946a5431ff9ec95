// Package ring is a consistent-hashing ring of gateways: each has so many points on a circle of 64 bits, and whoever holds a
// position is found by going on from it. It decides nothing: who is skipped is the caller's word.
package hashring

import (
	"cmp"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

type point struct {
	position uint64
	gateway  int
}

// Ring is immutable once made.
type Ring []point

// New puts that many points of each gateway on a ring. All gateways make the same one.
func New(gateways, points int) Ring {
	r := make(Ring, 0, gateways*points)
	for gw := range gateways {
		for i := range points {
			r = append(r, point{peerprotocol.Mix64(uint64(gw)<<32 | uint64(i)), gw})
		}
	}
	slices.SortFunc(r, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.gateway, b.gateway))
	})
	return r
}

// Find goes on from a position to the first gateway that is wanted; ok is false if none is.
func (r Ring) Find(from uint64, wanted func(gw int) bool) (gw int, ok bool) {
	i, _ := slices.BinarySearchFunc(r, from, func(p point, at uint64) int { return cmp.Compare(p.position, at) })
	for n := range r {
		if gw := r[(i+n)%len(r)].gateway; wanted(gw) {
			return gw, true
		}
	}
	return 0, false
}

// PointsPerGateway is how many points each of so many gateways has: as many as in the post on HashRing, but on the whole ring no more than 8192, or 8
// each.
func PointsPerGateway(gateways int) int { return min(512, max(8, 8192/gateways)) }

// Successors lists the gateways among those wanted as they stand on the ring from a position on: each is whom the ones before it leave to.
func (r Ring) Successors(from uint64, wanted func(gw int) bool) (list []int) {
	for {
		gw, ok := r.Find(from, func(gw int) bool { return wanted(gw) && !slices.Contains(list, gw) })
		if !ok {
			return list
		}
		list = append(list, gw)
	}
}
