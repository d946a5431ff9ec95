package loadshed

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against gateways that disagree on admission, and against an order of admission other than by rank. At the
// same level and phase two gateways must give the same answer; a request admitted at one level must be admitted at
// a lower level, and so must the account's requests of higher rank at the same level.
func TestShedder_AdmissionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := rapid.Uint32().Draw(t, "account")
		level := rapid.Float64Range(0, 1).Draw(t, "level")
		phase := rapid.Byte().Draw(t, "phase")
		a, b := NewShedder(Config{Enabled: true}, 0, 8, 0, constantHalf), NewShedder(Config{Enabled: true}, 5, 8, 100, constantHalf)
		a.level, b.level, a.phase, b.phase = level, level, float64(phase), float64(phase)
		lowerLevel := NewShedder(Config{Enabled: true}, 0, 8, 0, constantHalf)
		lowerLevel.level, lowerLevel.phase = level*rapid.Float64Range(0, 1).Draw(t, "part"), float64(phase)
		lowerRankAdmitted := false
		for class := range 3 {
			for _, clientRetry := range []bool{true, false} {
				p := AdmissionPriority{AccountKey: account, ClassRank: class, ClassCount: 3, ClientRetry: clientRetry}
				admitted := a.Admit(1, p, 1)
				if admitted != b.Admit(101, p, 1) {
					t.Fatalf("%+v: admitted by one of two gateways with the same level and phase, want the same answer", p)
				}
				if admitted && !lowerLevel.Admit(1, p, 1) {
					t.Fatalf("%+v: admitted at a level and rejected at a lower one", p)
				}
				if lowerRankAdmitted && !admitted {
					t.Fatalf("%+v: rejected although a lower rank of the account is admitted", p)
				}
				lowerRankAdmitted = admitted
			}
		}
	})
}

// Guards against accounts that are starved at the highest level, and against admission that changes within a slice:
// each account must be admitted in the floor's fraction of the steps, in whole slices.
func TestShedder_FloorAndTimeSlices(t *testing.T) {
	s := NewShedder(Config{Enabled: true}, 0, 1, 0, constantHalf)
	s.level = 1
	admit := func(account uint32, phase int) bool {
		s.phase = float64(phase)
		return s.Admit(1, priorityOf(account*104729, 0), 1)
	}
	for account := range uint32(50) {
		admitted, changes, before := 0, 0, false
		for phase := range phaseSteps {
			now := admit(account, phase)
			if now {
				admitted++
			}
			if now != before {
				changes++
			}
			before = now
		}
		if share := float64(admitted) / phaseSteps; math.Abs(share-defaultFloor) > 0.02 || admitted == 0 {
			t.Errorf("account %d: admitted in %d of %d steps, want the fraction of the floor", account, admitted, phaseSteps)
		}
		if changes > 2*admitted/stepsPerSlice+2 {
			t.Errorf("account %d: admitted in %d steps with %d changes, want whole slices", account, admitted, changes)
		}
	}
	const accounts = 2000
	admitted := 0
	for account := range uint32(accounts) {
		if admit(account, int(account%phaseSteps)) {
			admitted++
		}
	}
	if share := float64(admitted) / accounts; math.Abs(share-defaultFloor) > 0.015 {
		t.Errorf("%.3f of all accounts are admitted in one step, want about %.3f", share, defaultFloor)
	}
}

// Guards against Retry-After values out of bounds, against synchronized retries, and against retries at a time when
// the account is still rejected.
func TestShedder_RetryAfterS(t *testing.T) {
	random := 0.0
	s := NewShedder(Config{Enabled: true}, 0, 1, 0, func() float64 { random = math.Mod(random+0.37, 1); return random })
	s.level = 0.55
	bySecond := map[int]int{}
	for account := range uint32(400) {
		p := priorityOf(account*104729, 1)
		if s.Admit(0, p, 1) {
			continue
		}
		retryAfter := s.RetryAfterS(p, 8)
		if retryAfter < 0 || retryAfter > 8 {
			t.Fatalf("Retry-After is %g s, want 0 to 8", retryAfter)
		}
		bySecond[int(retryAfter)]++
		later := *s
		if retryAfter < 5 { // below 0.75 of the maximum: a step that admits the account was found
			later.phase += math.Floor(retryAfter / phaseStepS)
			if !later.Admit(retryAfter, p, 1) {
				t.Errorf("account %d is rejected again after a Retry-After of %g s", account, retryAfter)
			}
		}
	}
	for second, n := range bySecond {
		if n > 150 {
			t.Errorf("%d clients retry in second %d, want 150 at most (clients by second: %v)", n, second, bySecond)
		}
	}
	if len(bySecond) < 3 {
		t.Errorf("clients retry in fewer than 3 different seconds: %v", bySecond)
	}
}
