package main

import (
	"strings"
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the keys of the upgrade command's configuration file: a renamed key would break operators' files.
func TestGoldenUpgradeFile(t *testing.T) {
	var out strings.Builder
	if err := upgrade([]string{"-check", golden.Path("upgrade.toml")}, &out); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "upgrade.out", []byte(out.String()))
}
