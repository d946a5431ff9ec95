package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a start that hangs or panics on a configuration that can't be used: it must be
// told in one plain line.
func TestBadConfigurationIsOneLine(t *testing.T) {
	for text, want := range map[string]string{
		"":                             "EDGE_CONFIG names no configuration file",
		"{":                            "unexpected end of JSON input",
		`{"listen":"127.0.0.1:0"}`:     "discovery: ",
		`{"listen":"a","discovery":1}`: "cannot unmarshal",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"balancers":1,` +
			`"limits":{"dialTimeoutS":0.25,"connIdleS":15}}}`: "no classes given",
	} {
		path := ""
		if text != "" {
			path = filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		t.Setenv("EDGE_CONFIG", path)
		err := run()
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want one line with %q", text, err, want)
		}
	}
	t.Setenv("EDGE_CONFIG", filepath.Join(t.TempDir(), "none"))
	if err := run(); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Errorf("a missing file: got %v", err)
	}
}
