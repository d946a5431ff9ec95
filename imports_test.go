package eiderspread

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// layers are the groups of packages, from the programs down: a package imports its own group and those below it
// (docs/architecture.md).
var layers = []string{"cmd", "internal/testbed", "internal/controlplane", "internal/dataplane", "internal/membership",
	"internal/observability", "policy", "internal/decision", "internal/base"}

func layerOf(t *testing.T, path string) int {
	t.Helper()
	path = strings.TrimPrefix(path, "eiderspread/")
	layer := slices.IndexFunc(layers, func(layer string) bool { return path == layer || strings.HasPrefix(path, layer+"/") })
	if layer < 0 {
		t.Errorf("%s belongs to no group", path)
	}
	return layer
}

func TestImports_GoDownTheLayers(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`, "./cmd/...", "./internal/...", "./policy/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	imports := 0
	for line := range strings.Lines(string(out)) {
		list := strings.Fields(line)
		from := layerOf(t, list[0])
		for _, path := range list[1:] {
			if !strings.HasPrefix(path, "eiderspread/") {
				continue
			}
			imports++
			if to := layerOf(t, path); to < from {
				t.Errorf("%s imports %s, which is above it", list[0], path)
			}
		}
	}
	if imports == 0 {
		t.Error("no import between packages was found")
	}
}

// What decides does no I/O, knows no clock and starts nothing: it can be replayed from its inputs.
func TestImports_DecisionsArePure(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`, "./policy/...", "./internal/decision/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	impure := []string{"net", "net/http", "os", "os/exec", "syscall", "sync", "context", "log", "log/slog", "io", "time"}
	for line := range strings.Lines(string(out)) {
		list := strings.Fields(line)
		for _, path := range list[1:] {
			if slices.Contains(impure, path) {
				t.Errorf("%s imports %s", list[0], path)
			}
		}
	}
}
