package settings

import (
	"strings"
	"testing"

	"eiderspread/policy"
)

func TestParse(t *testing.T) {
	const text = `{"balancers":3,"me":1,"new":[1],"limits":{"connIdleS":15,"dialTimeoutS":0.25,"mostHeld":20000,"maxAttempts":5},
"profiles":[{"name":"send","aimS":1.5,"deadlineS":4,"effect":"fragile","worth":5}],
"packages":[{"name":"chaine","unitsPerS":30,"peakUnits":79,"hardRate":55,"capDepth":147,"ceilingSlack":15}]}`
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Gateways != 3 || s.Self != 1 || s.ConnIdleS != 15 || s.DialTimeoutS != 0.25 || s.MaxOpenRequests != 20000 || s.MaxAttempts != 5 {
		t.Errorf("got %+v, want the values of %s", s, text)
	}
	if len(s.Classes) != 1 || s.Classes[0].Idempotency != policy.NonIdempotent || len(s.Plans) != 1 || s.Plans[0].HardLimitBurst != 147 {
		t.Errorf("got classes %+v and plans %+v, want one non-idempotent class and one plan with a hard limit burst of 147", s.Classes, s.Plans)
	}
	for want, change := range map[string][2]string{
		`unknown effect "mild"`: {"fragile", "mild"},
		`unknown keyScope`:      {`"worth":5`, `"keyScope":"street"`},
		"unexpected end":        {text, "{"},
	} {
		if _, err := Parse([]byte(strings.Replace(text, change[0], change[1], 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q replaced by %q: got error %v, want one with %q", change[0], change[1], err, want)
		}
	}
}

func TestSetLoad(t *testing.T) {
	l := NoLoad
	for i, name := range []string{"busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps", "new"} {
		SetLoad(&l, name, float64(i))
	}
	if l != (policy.Load{InFlight: 0, Queue: 1, Utilization: 2, ServiceMS: 3, ServedPerS: 4, FailedPerS: 5}) {
		t.Errorf("got %+v, want each figure set to its index in the list of names", l)
	}
}
