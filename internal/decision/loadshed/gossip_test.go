package loadshed

import (
	"math"
	"testing"

	"eiderspread/internal/base/peerprotocol"
)

// Guards against one faulty gateway that keeps the others from converging: it sends alternating levels and
// changing phases, and the others must still converge to one level and phase.
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
					t.Fatal("a message with gossip is not parsed or not applied")
				}
			}
			s.updateLevel(now, 8, 8*0.2, false) // waits that keep the estimated level about constant
		}
	}
	low, high := 1.0, 0.0
	for _, s := range shedders[1:] {
		low, high = min(low, s.Level()), max(high, s.Level())
	}
	if high-low > 0.1 || low < 0.1 || high > 0.9 {
		t.Errorf("levels range from %.2f to %.2f, want a range of at most 0.1 within 0.1 to 0.9", low, high)
	}
	for _, s := range shedders[1:] {
		if math.Abs(phaseOffset(s.phase, shedders[1].phase)) > 1 {
			t.Errorf("two gateways have phases %.1f and %.1f, want at most 1 step between them", s.phase, shedders[1].phase)
		}
	}
}
