package loadshed

import "slices"

// Status is what the status page shows operators. Rates are in units per second.
type Status struct {
	Level         float64 `json:"level"`       // 0 to 1
	SinceS        float64 `json:"since_s"`     // for how long load has been shed, seconds; 0: none is
	WaitFraction  float64 `json:"wait"`        // mean wait for a backend here, as a fraction of what requests may wait
	ActivePeers   int     `json:"heard"`       // gateways whose gossip has arrived lately
	MinPeerLevel  float64 `json:"lowest"`      // of the active peers
	MaxPeerLevel  float64 `json:"highest"`     // far above MinPeerLevel: some gateways can't reach each other
	Reversals     int     `json:"swings"`      // how often the level has turned; many per minute: it oscillates
	Rejected      []int   `json:"turned_away"` // requests, by admission rank: client retries of the lowest class, its first attempts with the client retries of the next, and so on
	RequestedPerS float64 `json:"asked_per_s"`
	AdmittedPerS  float64 `json:"let_per_s"` // by the level
	ServedPerS    float64 `json:"served_per_s"`
}

// Status returns the current status; nil if load shedding is off.
func (s *Shedder) Status(now float64) *Status {
	if s == nil {
		return nil
	}
	status := &Status{
		Level:        s.level,
		WaitFraction: s.waitFraction,
		Reversals:    s.reversals,
		Rejected:     slices.Clone(s.rejected),
		AdmittedPerS: s.admitted.Now(now, rateMemoryS),
		ServedPerS:   s.served.Now(now, rateMemoryS),
	}
	if s.sheddingSince > 0 {
		status.SinceS = now - s.sheddingSince
	}
	for rank := range s.requested {
		status.RequestedPerS += s.requested[rank].Now(now, rateMemoryS)
	}
	for _, p := range s.peers {
		if now-p.receivedAt >= peerStateMaxAgeS {
			continue
		}
		if status.ActivePeers++; status.ActivePeers == 1 {
			status.MinPeerLevel, status.MaxPeerLevel = p.level, p.level
		}
		status.MinPeerLevel, status.MaxPeerLevel = min(status.MinPeerLevel, p.level), max(status.MaxPeerLevel, p.level)
	}
	return status
}
