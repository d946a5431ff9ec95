package topology

import (
	"hash/fnv"
	"time"
)

// Majority returns the number of forwarders in a quorum, so that any two quorums have a forwarder in common. It is 1 without fencing.
func (p Params) Majority() int {
	if !FencingEnabled {
		return 1
	}
	return p.Forwarders/2 + 1
}

// CellOf returns the cell of an account, from 0.
func (p Params) CellOf(account string) int {
	hasher := fnv.New64a()
	hasher.Write([]byte(account))
	hash := hasher.Sum64() // mixed below: FNV's low bits are distributed poorly for names that differ only in the last letter
	hash ^= hash >> 32
	hash *= 0x9fb21c651e98df25
	hash ^= hash >> 28
	return int(hash % uint64(p.Cells))
}

// Rank returns a planner's position, from 0, in the order in which planners claim a cell. Cells that have the same first planner differ in
// the order of the others, so that several planners share its cells if it fails.
func (p Params) Rank(cellID, planner int) int {
	rank := (planner - cellID%p.Planners + p.Planners) % p.Planners
	if rank > 0 && p.Planners > 2 {
		rotation := cellID / p.Planners
		rank = 1 + (rank-1+rotation)%(p.Planners-1)
	}
	return rank
}

// LinkTimeout returns LinkTimeoutS as a duration.
func (p Params) LinkTimeout() time.Duration {
	return time.Duration(p.LinkTimeoutS * float64(time.Second))
}
