package topology

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the keys that the configuration files of forwarders and planners have in common: a renamed key would break operators' files.
func TestGoldenFile(t *testing.T) { golden.TOML(t, "fleet.toml", &File{}) }
