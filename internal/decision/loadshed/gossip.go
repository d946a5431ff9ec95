package loadshed

import (
	"math"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

const (
	convergeTauS     = 0.1 // time constant with which level and phase approach the medians of the peers, seconds
	peerStateMaxAgeS = 1.5 // age from which a peer's state is ignored, seconds
	gossipIntervalS  = 0.5 // interval between unsolicited messages while load is shed, seconds
	phaseResolution  = 0.5 // maximum error of a received phase, steps: gossip carries whole steps
)

// peerState is the last state received from a peer.
type peerState struct{ level, phase, receivedAt float64 }

// ApplyGossip applies a gossip entry received from another gateway and reports whether the entry carries a
// load-shedding state.
func (s *Shedder) ApplyGossip(now float64, from int, entry peerprotocol.GossipEntry) bool {
	level, phase, ok := entry.LoadShedState(now)
	if s != nil && ok {
		s.ApplyPeerLevel(now, from, level, phase)
	}
	return ok
}

// ApplyPeerLevel applies the level (0 to 1) and phase of another gateway. The call is ignored if from is this
// gateway or no known gateway, or if the level is out of range.
func (s *Shedder) ApplyPeerLevel(now float64, from int, level float64, phase uint8) {
	if from < 0 || from >= len(s.peers) || from == s.self || !(level >= 0 && level <= 1) {
		return
	}
	s.peers[from] = peerState{level, float64(phase) + phaseResolution, now}
}

// GossipState returns the state that this gateway sends to its peers, for callers with their own message format.
func (s *Shedder) GossipState() (level float64, phase uint8) { return s.level, uint8(s.phase) }

// AppendGossip appends this gateway's state to a peer message if the message has space for it.
func (s *Shedder) AppendGossip(message []byte) []byte {
	if s == nil {
		return message
	}
	return peerprotocol.AppendLoadShedState(message, s.level, uint8(s.phase))
}

// nextGossipPeer returns the peer that is due for an unsolicited message, or -1 if none is. While load is shed
// it returns the peers in turn.
func (s *Shedder) nextGossipPeer(now float64) (peer int) {
	if s.level < minLevel || now < s.nextGossipAt || len(s.peers) < 2 {
		return -1
	}
	s.nextGossipAt = now + gossipIntervalS
	if s.lastGossipPeer = (s.lastGossipPeer + 1) % len(s.peers); s.lastGossipPeer == s.self {
		s.lastGossipPeer = (s.lastGossipPeer + 1) % len(s.peers)
	}
	return s.lastGossipPeer
}

// converge advances the phase by the time since the last call and moves level and phase towards the medians of
// the peers' recent states. Medians limit the influence of one wrong state or of a few partitioned gateways.
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
	if len(s.freshLevels) == 1 { // a single peer may be wrong: move half the distance
		s.freshLevels, s.phaseOffsets = append(s.freshLevels, s.level), append(s.phaseOffsets, 0)
	}
	s.level += (median(s.freshLevels) - s.level) * min(dt/convergeTauS, 1)
	if d := median(s.phaseOffsets); math.Abs(d) > phaseResolution {
		s.phase = math.Mod(s.phase+d*min(dt/convergeTauS, 1)+phaseSteps, phaseSteps)
	}
}

// phaseOffset returns by how many steps phase a is ahead of phase b, on the shorter way round; below 0 if a is behind.
func phaseOffset(a, b float64) float64 {
	return math.Mod(math.Mod(a-b, phaseSteps)+1.5*phaseSteps, phaseSteps) - phaseSteps/2
}

// median sorts list in place and returns its median. The list must not be empty.
func median(list []float64) float64 {
	slices.Sort(list)
	m := len(list) / 2
	if len(list)%2 == 0 {
		return (list[m] + list[m-1]) / 2
	}
	return list[m]
}
