package oracle

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards recorded histories and load figures: they must stay readable by later versions.
func TestRecordJSON(t *testing.T) {
	golden.JSON(t, "record.json", &record{})
	golden.JSON(t, "load.json", &Load{})
}
