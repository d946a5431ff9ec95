package planner

import (
	"testing"

	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/testbed/golden"
)

// Guards the keys of the status page and of the configuration file: changed keys would break operators' tools and existing files.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "status.json", &Status{})
	f, err := ReadFile(golden.Path("planner.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "file", []any{f.ListenAddr, f.AdminAddr, f.TraceFolder, f.TraceMB, f.ForwarderNames, f.Ingress.Settings.LoadShedding},
		[]any{"127.0.0.1:7800", "127.0.0.1:9920", "testdata", 256, []string{"forwarder-0", "forwarder-1"}, loadshed.Config{Enabled: true, Floor: 0.05}})
}
