package discovery

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the JSON form of the endpoint list, which discovery services, configurations and agents use, and that of its age in statuses.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "list.json", &List{})
	golden.JSON(t, "age.json", &Age{})
}
