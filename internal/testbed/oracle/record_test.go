package oracle

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards against renamed fields in recorded histories and load figures: later versions must be able to read them.
func TestRecordJSON(t *testing.T) {
	golden.JSON(t, "record.json", &record{})
	golden.JSON(t, "load.json", &Load{})
}
