package topology

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// The operators' files of forwarders and planners keep the keys that they have in common.
func TestGoldenFile(t *testing.T) { golden.TOML(t, "fleet.toml", &File{}) }
