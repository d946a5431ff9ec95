package loadshed

import (
	"math"
	"testing"

	"eiderspread/internal/base/peerprotocol"
)

// All gateways that hear each other come to one level and phase, whatever one of them says.
func TestShedder_PeersConverge(t *testing.T) {
	const gateways, faulty = 9, 0
	shedders := make([]*Shedder, gateways)
	for i := range shedders {
		shedders[i] = NewShedder(Config{Enabled: true}, i, gateways, 0, constantHalf)
		shedders[i].level, shedders[i].phase = float64(i)/gateways, 250+float64(i*3%11)
	}
	for now := 0.0; now < 3; now += 0.02 {
		for i, s := range shedders {
			for j := range shedders {
				if int(now*50)%10 != 0 || i == j {
					continue
				}
				message := shedders[j].AppendGossip(peerprotocol.AppendHeader(nil, 1, 1))
				if j == faulty {
					message[len(message)-2] = byte(255 * (int(now*2) % 2)) // level
					message[len(message)-1] = byte(97 * now)               // phase
				}
				_, _, _, entries, ok := peerprotocol.Parse(message, now)
				if !ok || len(entries) != 1 || !s.ApplyGossip(now, j, entries[0]) {
					t.Fatal("gossip is not understood")
				}
			}
			s.updateLevel(now, 8, 8*0.2, false) // enough waits for the level to stay where it is
		}
	}
	low, high := 1.0, 0.0
	for _, s := range shedders[1:] {
		low, high = min(low, s.Level()), max(high, s.Level())
	}
	if high-low > 0.1 || low < 0.1 || high > 0.9 {
		t.Errorf("levels from %.2f to %.2f", low, high)
	}
	for _, s := range shedders[1:] {
		if math.Abs(phaseOffset(s.phase, shedders[1].phase)) > 1 {
			t.Errorf("phases %.1f and %.1f", s.phase, shedders[1].phase)
		}
	}
}
