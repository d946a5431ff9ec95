package topology

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the keys that the operator's files of forwarders and planners have in common.
func TestGoldenFile(t *testing.T) { golden.TOML(t, "fleet.toml", &File{}) }
