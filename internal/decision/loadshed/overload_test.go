package loadshed

import (
	"math"
	"testing"

	"eiderspread/internal/base/peerprotocol"

	"pgregory.net/rapid"
)

func half() float64 { return 0.5 }

func priorityOf(account uint32, cheaper int) AdmissionPriority {
	return AdmissionPriority{AccountKey: account, ClassRank: cheaper, ClassCount: 3}
}

// simulateLoad plays seconds in which units a second of each class are asked for and so many can be served, what is more waiting.
func simulateLoad(s *Shedder, from, seconds, asked, can float64) (at float64, let []float64) {
	let = make([]float64, 3)
	backlog := 0.0
	const dt = 0.02
	for at = from; at < from+seconds; at += dt {
		for class := range 3 {
			for account := range uint32(100) {
				units := asked * dt / 100
				if s.Admit(at, priorityOf(account*7919, class), units) {
					s.ObserveAdmitted(at, units)
					let[class] += units / (asked * seconds)
					backlog += units
				}
			}
		}
		done := min(backlog, can*dt)
		backlog -= done
		s.ObserveServed(at, done)
		share := min(backlog/can, 1) // a second of work that waits is as much as may
		if s.ObserveWait(at, share); share == 1 {
			backlog = can
		}
		s.advance(at, 0, 0, backlog == 0 && done < can*dt*0.8)
	}
	return at, let
}

// One gateway finds the level at which as much is let in as can be served, refuses what earns least, and comes back to nothing.
func TestShedder_LevelFollowsCapacityAndRecovers(t *testing.T) {
	for _, load := range []float64{1.5, 2.8, 5} {
		s := NewShedder(Config{Enabled: true}, 0, 1, 0, half)
		at, _ := simulateLoad(s, 0, 4, 100, 300) // all fits
		if s.Level() != 0 {
			t.Fatalf("level %g where all can be served", s.Level())
		}
		at, _ = simulateLoad(s, at, 6, 100, 300/load)
		at, let := simulateLoad(s, at, 10, 100, 300/load)
		sum := (let[0] + let[1] + let[2]) / 3
		if math.Abs(sum*load-1) > 0.15 {
			t.Errorf("at %g times %.2f of what is asked for is let in: %.2f of what can be served", load, sum, sum*load)
		}
		if let[2] < let[1] || let[1] < let[0] || let[0] == 0 {
			t.Errorf("at %g times, shares by class %.2f", load, let)
		}
		if simulateLoad(s, at, 2, 100, 600); s.Level() != 0 {
			t.Errorf("after %g times, level %.2f two seconds on", load, s.Level())
		}
	}
}

// All gateways that hear each other come to one level, whatever one of them says, and two halves that don't to one each.
func TestShedder_PeersConverge(t *testing.T) {
	const n = 9
	list := make([]*Shedder, n)
	for i := range list {
		list[i] = NewShedder(Config{Enabled: true}, i, n, 0, half)
		list[i].level, list[i].phase = float64(i)/n, 250+float64(i*3%11)
	}
	liar := func(at float64) byte { return byte(255 * (int(at*2) % 2)) }
	for at := 0.0; at < 3; at += 0.02 {
		for i, s := range list {
			for j := range list {
				if int(at*50)%10 != 0 || i == j {
					continue
				}
				b := list[j].AppendGossip(peerprotocol.AppendHeader(nil, 1, 1))
				if j == 0 {
					b[len(b)-2], b[len(b)-1] = liar(at), byte(97*at)
				}
				_, _, _, items, ok := peerprotocol.Parse(b, at)
				if !ok || len(items) != 1 || !s.ApplyGossip(at, j, items[0]) {
					t.Fatal("not heard")
				}
			}
			s.advance(at, 8, 8*0.2, false) // enough waits for the level to stay where it is
		}
	}
	low, high := 1.0, 0.0
	for _, s := range list[1:] {
		low, high = min(low, s.Level()), max(high, s.Level())
	}
	if high-low > 0.1 || low < 0.1 || high > 0.9 {
		t.Errorf("levels from %.2f to %.2f", low, high)
	}
	for _, s := range list[1:] {
		if math.Abs(phaseOffset(s.phase, list[1].phase)) > 1 {
			t.Errorf("phases %.1f and %.1f", s.phase, list[1].phase)
		}
	}
}

// Equal requests get equal answers at equal levels, whoever is asked; more is let in at a lower level; and a class that earns more a unit is never
// refused where one that earns less is let in.
func TestShedder_AdmissionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := rapid.Uint32().Draw(t, "account")
		level := rapid.Float64Range(0, 1).Draw(t, "level")
		phase := rapid.Byte().Draw(t, "phase")
		a, b := NewShedder(Config{Enabled: true}, 0, 8, 0, half), NewShedder(Config{Enabled: true}, 5, 8, 100, half)
		a.level, b.level, a.phase, b.phase = level, level, float64(phase), float64(phase)
		lower := NewShedder(Config{Enabled: true}, 0, 8, 0, half)
		lower.level, lower.phase = level*rapid.Float64Range(0, 1).Draw(t, "part"), float64(phase)
		before := false
		for class := range 3 {
			for _, later := range []bool{true, false} {
				d := AdmissionPriority{AccountKey: account, ClassRank: class, ClassCount: 3, ClientRetry: later}
				let := a.Admit(1, d, 1)
				if let != b.Admit(101, d, 1) {
					t.Fatal("two gateways, two answers")
				}
				if let && !lower.Admit(1, d, 1) {
					t.Fatal("refused at a lower level")
				}
				if before && !let {
					t.Fatalf("%+v is refused and what comes before it in the order is not", d)
				}
				before = let
			}
		}
	})
}

// Whatever the level, each account is let in at times; and in one slice it is let in whole or not at all.
func TestShedder_FloorAndTimeSlices(t *testing.T) {
	s := NewShedder(Config{Enabled: true}, 0, 1, 0, half)
	s.level = 1
	for account := range uint32(50) {
		let, changes, was := 0, 0, false
		for phase := range 256 {
			s.phase = float64(phase)
			now := s.Admit(1, priorityOf(account*104729, 0), 1)
			if now {
				let++
			}
			if now != was {
				changes++
			}
			was = now
		}
		if share := float64(let) / 256; math.Abs(share-defaultFloor) > 0.02 || let == 0 {
			t.Errorf("account %d: let in at %d of 256 phases", account, let)
		}
		if changes > 2*let/stepsPerSlice+2 {
			t.Errorf("account %d: let in at %d phases, with %d changes", account, let, changes)
		}
	}
	all := 0
	for account := range uint32(2000) {
		s.phase = float64(account % 256)
		if s.Admit(1, priorityOf(account*104729, 0), 1) {
			all++
		}
	}
	if share := float64(all) / 2000; math.Abs(share-defaultFloor) > 0.015 {
		t.Errorf("%.3f are let in at the highest level, want %.3f", share, defaultFloor)
	}
}

// Hints stay inside the settings' bound, are spread, and are shorter for an account whose turn is near.
func TestShedder_RetryAfterS(t *testing.T) {
	rng := 0.0
	s := NewShedder(Config{Enabled: true}, 0, 1, 0, func() float64 { rng = math.Mod(rng+0.37, 1); return rng })
	s.level = 0.55
	seen := map[int]int{}
	for account := range uint32(400) {
		d := priorityOf(account*104729, 1)
		if s.Admit(0, d, 1) {
			continue
		}
		h := s.RetryAfterS(d, 8)
		if h < 0 || h > 8 {
			t.Fatalf("hint %g", h)
		}
		seen[int(h)]++
		again := *s
		if h < 5 { // it was told when its turn comes
			again.phase += math.Floor(h / phaseStepS)
			if !again.Admit(h, d, 1) {
				t.Errorf("account %d came back after %g s and was refused", account, h)
			}
		}
	}
	for sec, n := range seen {
		if n > 150 {
			t.Errorf("%d of the hints name second %d: %v", n, sec, seen)
		}
	}
	if len(seen) < 3 {
		t.Errorf("hints %v", seen)
	}
	if off := (*Shedder)(nil); off.RetryAfterS(priorityOf(1, 1), 3) != 3 || !off.Admit(0, priorityOf(1, 1), 1) || off.Level() != 0 || off.Status(0) != nil {
		t.Error("off, it does something")
	}
}

func TestConfig_Check(t *testing.T) {
	for floor, ok := range map[float64]bool{0: true, 0.1: true, -1: false, 0.6: false, math.NaN(): false} {
		if err := (Config{Floor: floor}).Check(); (err == nil) != ok {
			t.Errorf("floor %g: %v", floor, err)
		}
	}
}
