package loadshed

import (
	"math"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

const (
	convergeS        = 0.1 // time in which the level comes to the median of the peers' levels, seconds
	peerStateMaxAgeS = 1.5 // for which a peer's state counts, seconds
	gossipIntervalS  = 0.5 // between unsolicited messages while load is shed, seconds
	phaseResolution  = 0.5 // steps; gossip carries the phase in whole ones
)

// peerState is what a peer has said of itself.
type peerState struct{ level, phase, receivedAt float64 }

// ApplyGossip applies a gossip entry of another gateway, and reports whether it was one of this package.
func (s *Shedder) ApplyGossip(now float64, from int, entry peerprotocol.GossipEntry) bool {
	level, phase, ok := entry.LoadShedState(now)
	if s != nil && ok {
		s.ApplyPeerLevel(now, from, level, phase)
	}
	return ok
}

// ApplyPeerLevel applies another gateway's level (0 to 1) and phase. A gateway's own number, an unknown number
// and a level out of range are ignored.
func (s *Shedder) ApplyPeerLevel(now float64, from int, level float64, phase uint8) {
	if from < 0 || from >= len(s.peers) || from == s.self || !(level >= 0 && level <= 1) {
		return
	}
	s.peers[from] = peerState{level, float64(phase) + phaseResolution, now}
}

// GossipState returns the state that this gateway sends to its peers, for callers that have messages of their own for it.
func (s *Shedder) GossipState() (level float64, phase uint8) { return s.level, uint8(s.phase) }

// AppendGossip appends this gateway's state to a peer message, if there is space left in it.
func (s *Shedder) AppendGossip(message []byte) []byte {
	if s == nil {
		return message
	}
	return peerprotocol.AppendLoadShedState(message, s.level, uint8(s.phase))
}

// nextCall returns the peer that is to be sent a message now, one after the other while load is shed; -1 if
// none is due.
func (s *Shedder) nextCall(now float64) (peer int) {
	if s.level < minLevel || now < s.nextCallAt || len(s.peers) < 2 {
		return -1
	}
	s.nextCallAt = now + gossipIntervalS
	if s.nextPeer = (s.nextPeer + 1) % len(s.peers); s.nextPeer == s.self {
		s.nextPeer = (s.nextPeer + 1) % len(s.peers)
	}
	return s.nextPeer
}

// converge moves level and phase to the medians of the peers' recent states: one wrong state, or those of a few
// partitioned gateways, can't move the others far.
func (s *Shedder) converge(now, dt float64) {
	s.phase, s.phaseAt = math.Mod(s.phase+(now-s.phaseAt)/phaseStepS, phaseSteps), now
	s.freshLevels, s.phaseOffsets = s.freshLevels[:0], s.phaseOffsets[:0]
	for i := range s.peers {
		if p := &s.peers[i]; now-p.receivedAt < peerStateMaxAgeS {
			s.freshLevels = append(s.freshLevels, p.level)
			s.phaseOffsets = append(s.phaseOffsets, phaseOffset(p.phase+(now-p.receivedAt)/phaseStepS, s.phase))
		}
	}
	if len(s.freshLevels) == 0 {
		return
	}
	if len(s.freshLevels) == 1 { // it may be wrong: move half the distance
		s.freshLevels, s.phaseOffsets = append(s.freshLevels, s.level), append(s.phaseOffsets, 0)
	}
	s.level += (median(s.freshLevels) - s.level) * min(dt/convergeS, 1)
	if d := median(s.phaseOffsets); math.Abs(d) > phaseResolution {
		s.phase = math.Mod(s.phase+d*min(dt/convergeS, 1)+phaseSteps, phaseSteps)
	}
}

// phaseOffset returns by how many steps a is ahead of b, the shorter way round; below 0 if it is behind.
func phaseOffset(a, b float64) float64 {
	return math.Mod(math.Mod(a-b, phaseSteps)+1.5*phaseSteps, phaseSteps) - phaseSteps/2
}

// median sorts a list, which must not be empty, and returns its median.
func median(list []float64) float64 {
	slices.Sort(list)
	m := len(list) / 2
	if len(list)%2 == 0 {
		return (list[m] + list[m-1]) / 2
	}
	return list[m]
}
