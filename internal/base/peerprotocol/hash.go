package peerprotocol

import "hash/fnv"

// HashPoint returns a name's position on the hash ring, the same one at all gateways.
func HashPoint(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Mix64(h.Sum64())
}

// Mix64 mixes the bits of x, with one step of splitmix64.
func Mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
