package config

import (
	"errors"
	"testing"
)

func TestValidate_TypedErrors(t *testing.T) {
	valid := Settings{Gateways: 1, Classes: []Class{{Name: "read", LatencyObjectiveS: 1, DeadlineS: 2}}, Plans: []Plan{{Name: "basic", Rate: 1, Burst: 3}}}
	if err := valid.Validate(); err != nil {
		t.Fatalf("valid settings: %v", err)
	}
	for setting, change := range map[string]func(*Settings){
		"gateways": func(s *Settings) { s.Gateways = 0 },
		"me":       func(s *Settings) { s.Self = 1 },
		"classes":  func(s *Settings) { s.Classes = nil },
		"class":    func(s *Settings) { s.Classes = []Class{{Name: "read", DeadlineS: 2}} },
		"plans":    func(s *Settings) { s.Plans = make([]Plan, maxPlans+1) },
		"plan":     func(s *Settings) { s.Plans = []Plan{{Rate: 1}} },
	} {
		settings, invalid := valid, &InvalidError{}
		change(&settings)
		if err := settings.Validate(); !errors.As(err, &invalid) || invalid.Setting != setting {
			t.Errorf("invalid setting %s: got error %v, want an *InvalidError for it", setting, err)
		}
	}
	invalid := &InvalidError{}
	if _, err := valid.WithClasses(valid.Classes, 3, 9, 9); !errors.As(err, &invalid) || invalid.Setting != "classes" {
		t.Errorf("one class more than maxClasses: got error %v, want an *InvalidError for classes", err)
	}
	if settings, err := valid.WithClasses(valid.Classes, 3, 8, 9); err != nil || settings.MaxAttempts != 3 {
		t.Errorf("as many classes as maxClasses: got %+v and error %v, want MaxAttempts 3 and no error", settings, err)
	}
}

func TestKeyScope_Same(t *testing.T) {
	a := Backend{Zone: "z", Cell: 1}
	for _, tc := range []struct {
		b               Backend
		all, zone, cell bool
	}{
		{Backend{Zone: "z", Cell: 1}, true, true, true},
		{Backend{Zone: "z", Cell: 2}, true, true, false},
		{Backend{Zone: "y", Cell: 1}, true, false, false},
	} {
		if ScopeAll.Same(a, tc.b) != tc.all || ScopeZone.Same(a, tc.b) != tc.zone || ScopeCell.Same(a, tc.b) != tc.cell {
			t.Errorf("Same of %+v and %+v: want all %v, zone %v, cell %v", a, tc.b, tc.all, tc.zone, tc.cell)
		}
	}
}

func TestStatus_NeverRan(t *testing.T) {
	for status, want := range map[Status]bool{OK: false, Error: false, Rejected: true, Timeout: false, ConnectFailed: true,
		Reset: false, Cancelled: false, NotSent: true} {
		if got := status.NeverRan(); got != want {
			t.Errorf("status %d: NeverRan is %v, want %v", status, got, want)
		}
	}
}
