package loadshed

import "slices"

// Status is the load-shedding section of the status page. Rates are in units per second.
type Status struct {
	Level         float64 `json:"level"`       // 0 to 1
	SinceS        float64 `json:"since_s"`     // how long load has been shed, seconds; 0: none is shed
	WaitFraction  float64 `json:"wait"`        // mean wait for a backend at this gateway, as a fraction of the maximum wait
	ActivePeers   int     `json:"heard"`       // gateways with recent gossip
	MinPeerLevel  float64 `json:"lowest"`      // lowest level of the active peers
	MaxPeerLevel  float64 `json:"highest"`     // highest level; far above MinPeerLevel: some gateways can't reach each other
	Reversals     int     `json:"swings"`      // how often the level has changed direction; many per minute: it oscillates
	Rejected      []int   `json:"turned_away"` // number of requests, by admission rank, lowest first; AdmissionPriority.rank describes the ranks
	RequestedPerS float64 `json:"asked_per_s"`
	AdmittedPerS  float64 `json:"let_per_s"` // admitted by the level, before quotas
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
		AdmittedPerS: s.admitted.Now(now, rateTauS),
		ServedPerS:   s.served.Now(now, rateTauS),
	}
	if s.sheddingSince > 0 {
		status.SinceS = now - s.sheddingSince
	}
	for rank := range s.requested {
		status.RequestedPerS += s.requested[rank].Now(now, rateTauS)
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
