package discovery

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the list of backends as discovery, configurations and agents word it, and how old it is as statuses do.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "list.json", &List{})
	golden.JSON(t, "age.json", &Age{})
}
