package loadshed

import "testing"

func constantHalf() float64 { return 0.5 }

// priorityOf returns the priority of an account's first attempt in one of three classes.
func priorityOf(account uint32, class int) AdmissionPriority {
	return AdmissionPriority{AccountKey: account, ClassRank: class, ClassCount: 3}
}

// simulateLoad simulates a number of seconds in which requested units per second of each of three classes arrive
// and capacity units per second are served. Admitted units that are not served wait in a backlog of at most one
// second's work. It returns the time at the end and the fraction of each class that was admitted.
func simulateLoad(s *Shedder, from, seconds, requested, capacity float64) (end float64, admitted [3]float64) {
	const dt, accounts = 0.02, 100
	backlog, now := 0.0, from
	for ; now < from+seconds; now += dt {
		for class := range admitted {
			for account := range uint32(accounts) {
				units := requested * dt / accounts
				if s.Admit(now, priorityOf(account*7919, class), units) {
					s.ObserveAdmitted(now, units)
					admitted[class] += units / (requested * seconds)
					backlog += units
				}
			}
		}
		served := min(backlog, capacity*dt)
		backlog -= served
		s.ObserveServed(now, served)
		fraction := min(backlog/capacity, 1)
		if s.ObserveWait(now, fraction); fraction == 1 {
			backlog = capacity
		}
		s.updateLevel(now, 0, 0, backlog == 0 && served < capacity*dt*0.8)
	}
	return now, admitted
}

// Guards against a panic or a rejection with load shedding off, when NewShedder returns nil.
func TestShedder_NilAdmitsEverything(t *testing.T) {
	off := NewShedder(Config{}, 0, 3, 0, constantHalf)
	if off != nil {
		t.Fatal("NewShedder returned a shedder with load shedding off, want nil")
	}
	if !off.Admit(0, priorityOf(1, 1), 1) || off.Level() != 0 || off.RetryAfterS(priorityOf(1, 1), 3) != 3 || off.Status(0) != nil {
		t.Error("a nil shedder rejected a request, or its level, Retry-After or status is not that of load shedding off")
	}
}
