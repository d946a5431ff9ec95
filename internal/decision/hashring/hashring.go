// Package hashring is a consistent-hashing ring of gateways. Each gateway has a number of points on a circle
// of 64 bits; a key belongs to the gateway of the first point at or after the key's position. Which gateways
// are passed over is the caller's decision.
package hashring

import (
	"cmp"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

const (
	maxGatewayPoints = 512  // enough for an even spread
	minGatewayPoints = 8    // per gateway, however many there are
	maxRingPoints    = 8192 // bounds the memory of large rings, unless minGatewayPoints asks for more
)

// PointsPerGateway returns how many points each gateway of a ring of so many (1 or more) has.
func PointsPerGateway(gateways int) int {
	return min(maxGatewayPoints, max(minGatewayPoints, maxRingPoints/gateways))
}

type point struct {
	position uint64
	gateway  int
}

// Ring holds the points in order of position. It must not be changed.
type Ring []point

// New returns a ring of gateways 0 to gateways-1 with so many points each. It depends on the arguments alone,
// so that all gateways make the same ring.
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

// Find returns the first gateway from a position on that is eligible; ok is false if none is.
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

// Successors returns the eligible gateways in ring order from a position on, each once: whenever some of them
// fail, the key belongs to the first of the others.
func (r Ring) Successors(position uint64, eligible func(gateway int) bool) (gateways []int) {
	for {
		gateway, ok := r.Find(position, func(g int) bool { return eligible(g) && !slices.Contains(gateways, g) })
		if !ok {
			return gateways
		}
		gateways = append(gateways, gateway)
	}
}
