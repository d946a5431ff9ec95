// Package settings reads the settings object that the simulator's first message and a real ingress's configuration both carry, and names the
// figures of load reports. The platform's words stand here alone; the rest of the program knows the fields of policy.Settings.
package settings

import (
	"encoding/json"
	"fmt"

	"eiderspread/policy"
)

// Settings is what the decision module needs, and beside it what only a real ingress has to know.
type Settings struct {
	policy.Settings
	ConnIdleS       float64 // a backend closes a connection that has been idle for so many seconds
	DialTimeoutS    float64 // seconds after which a connection that is not made has failed
	MaxOpenRequests int     // 0: no such limit
}

// Parse translates the settings object. An error names the class and the value that is not known; whether figures make sense is for policy.New to
// say.
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

// UnknownValueError is a value of a class that is not one of those that its key may have.
type UnknownValueError struct{ Class, Key, Value string }

func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("class %s: unknown %s %q", e.Class, e.Key, e.Value)
}
