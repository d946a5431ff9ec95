package ingressconfig

import (
	"strings"
	"testing"
)

const goodSettings = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1",
	"known":{"version":1,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"in_service"}]},
	"settings":{"balancers":1,"limits":{"dialTimeoutS":1,"connIdleS":15,"maxAttempts":3},
	"profiles":[{"name":"look","aimS":1,"deadlineS":2,"effect":"retryable","worth":1},
	{"name":"bill","aimS":1,"deadlineS":2,"effect":"fragile","worth":5}],
	"packages":[{"name":"basic","unitsPerS":5,"peakUnits":9,"pays":1}]}}`

// Guards against a broken file that a running ingress applies, in whole or in part.
func TestReload_RejectsIncompleteConfigurations(t *testing.T) {
	first, err := parse([]byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"same":              {"", "", ""},
		"a class more":      {`"profiles":[`, `"profiles":[{"name":"x","aimS":1,"deadlineS":2,"effect":"dedup","worth":1},`, ""},
		"fewer attempts":    {`"maxAttempts":3`, `"maxAttempts":1`, ""},
		"other nodes":       {`{"id":"a","addr":"127.0.0.1:1","state":"in_service"}`, ``, ""},
		"empty":             {goodSettings, "", "unexpected end"},
		"cut":               {goodSettings[len(goodSettings)-20:], "", "unexpected end"},
		"no attempts":       {`,"maxAttempts":3`, ``, "settings.limits.maxAttempts"},
		"attempts of 0":     {`"maxAttempts":3`, `"maxAttempts":0`, "maxAttempts is 0"},
		"attempts below 0":  {`"maxAttempts":3`, `"maxAttempts":-1`, "maxAttempts is -1"},
		"attempts in words": {`"maxAttempts":3`, `"maxAttempts":"3"`, "cannot unmarshal"},
		"half an attempt":   {`"maxAttempts":3`, `"maxAttempts":1.5`, "cannot unmarshal"},
		"deadline of 0":     {`"deadlineS":2,"effect":"fragile"`, `"deadlineS":0,"effect":"fragile"`, "deadline"},
		"deadline below 0":  {`"deadlineS":2,"effect":"fragile"`, `"deadlineS":-2,"effect":"fragile"`, "deadline"},
		"deadline missing":  {`"deadlineS":2,"effect":"fragile"`, `"effect":"fragile"`, "settings.profiles[].deadlineS"},
		"deadline null":     {`"deadlineS":2,"effect":"fragile"`, `"deadlineS":null,"effect":"fragile"`, "deadline"},
		"no classes": {`{"name":"look","aimS":1,"deadlineS":2,"effect":"retryable","worth":1},
	{"name":"bill","aimS":1,"deadlineS":2,"effect":"fragile","worth":5}`, ``, "missing"},
		"a class twice":        {`"name":"bill"`, `"name":"look"`, "name must be unique"},
		"a key of a plan gone": {`"peakUnits":9,`, ``, "settings.packages[].peakUnits"},
		"no known":             {`"known":{"version":1,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"in_service"}]},`, ``, `"known"`},
		"unknown effect":       {`"effect":"fragile"`, `"effect":"odd"`, "unknown effect"},
	} {
		text := goodSettings
		if c.old != "" {
			if text = strings.Replace(goodSettings, c.old, c.new, 1); text == goodSettings {
				t.Fatalf("%s: %q does not occur in the configuration", name, c.old)
			}
		}
		next, err := parse([]byte(text))
		if err == nil {
			err = next.CheckReload(first)
		}
		if (err != nil) != (c.want != "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", name, err, c.want)
		}
	}
}
