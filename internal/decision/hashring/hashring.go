// Package hashring is a consistent-hashing ring of gateways. Each gateway has a number of points on a ring of 64-bit
// positions; a key belongs to the gateway of the first point at or after the key's position. The caller decides
// which gateways are eligible.
package hashring

import (
	"cmp"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

const (
	maxGatewayPoints = 512  // enough for an even spread
	minGatewayPoints = 8    // per gateway, in a ring of any size
	maxRingPoints    = 8192 // bounds the memory of large rings, unless minGatewayPoints requires more
)

// PointsPerGateway returns how many points each gateway has in a ring of the given number of gateways (1 or more).
func PointsPerGateway(gateways int) int {
	return min(maxGatewayPoints, max(minGatewayPoints, maxRingPoints/gateways))
}

type point struct {
	position uint64
	gateway  int
}

// Ring holds the points in order of position. It must not be modified.
type Ring []point

// New returns a ring of the gateways 0 to gateways-1 with the given number of points each. The ring depends on the
// arguments alone, so that all gateways build the same one.
func New(gateways, points int) Ring {
	r := make(Ring, 0, gateways*points)
	for gateway := range gateways {
		for i := range points {
			r = append(r, point{peerprotocol.Mix64(uint64(gateway)<<32 | uint64(i)), gateway})
		}
	}
	slices.SortFunc(r, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.gateway, b.gateway))
	})
	return r
}

// Find returns the eligible gateway of the first point at or after a position, and starts over at the end of the
// ring; ok is false if no gateway is eligible.
func (r Ring) Find(position uint64, eligible func(gateway int) bool) (gateway int, ok bool) {
	start, _ := slices.BinarySearchFunc(r, position, func(p point, position uint64) int {
		return cmp.Compare(p.position, position)
	})
	for i := range r {
		if gateway := r[(start+i)%len(r)].gateway; eligible(gateway) {
			return gateway, true
		}
	}
	return 0, false
}

// Successors returns the eligible gateways in ring order from a position on, each once. If some of them fail, the
// key belongs to the first one that has not failed.
func (r Ring) Successors(position uint64, eligible func(gateway int) bool) (gateways []int) {
	for {
		gateway, ok := r.Find(position, func(g int) bool { return eligible(g) && !slices.Contains(gateways, g) })
		if !ok {
			return gateways
		}
		gateways = append(gateways, gateway)
	}
}
