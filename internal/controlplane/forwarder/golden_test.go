package forwarder

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards against renamed keys in a forwarder's status page and in its operators' file.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "status.json", &Status{})
	f, err := ReadFile(golden.Path("forwarder.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "names", f.PlannerNames, []string{"planner-0", "planner-1"})
	golden.Same(t, "planners", f.PlannerAddrs, []string{"127.0.0.1:7800", "127.0.0.1:7801"})
}
