// Package settings parses the settings object, which is part of both the simulator's first message and a real ingress's configuration, and
// maps the names of load figures to the fields of policy.Load. The platform's names are defined only here; the rest of the program uses
// policy.Settings.
package settings

import (
	"encoding/json"
	"fmt"

	"eiderspread/policy"
)

// Settings holds the settings of the decision module, and those that only a real ingress uses.
type Settings struct {
	policy.Settings
	ConnIdleS       float64 // backends close a connection after it has been idle for this time, in seconds
	DialTimeoutS    float64 // timeout of connection attempts to backends, in seconds
	MaxOpenRequests int     // 0: unlimited
}

// Parse parses the settings object. If a class has an unknown effect or keyScope, the error is an *UnknownValueError. Parse does not check
// whether the numbers make sense; policy.New does.
func Parse(text []byte) (Settings, error) {
	var w wireSettings
	if err := json.Unmarshal(text, &w); err != nil {
		return Settings{}, err
	}
	s := Settings{Settings: w.policySettings(), ConnIdleS: w.Limits.ConnIdleS, DialTimeoutS: w.Limits.DialTimeoutS, MaxOpenRequests: w.Limits.MaxOpenRequests}
	for _, p := range w.Classes {
		class, err := p.class()
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	for _, p := range w.Plans {
		s.Plans = append(s.Plans, p.plan())
	}
	return s, nil
}

// UnknownValueError reports a class with a key whose value is none of the allowed ones.
type UnknownValueError struct{ Class, Key, Value string }

func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("class %s: unknown %s %q", e.Class, e.Key, e.Value)
}
