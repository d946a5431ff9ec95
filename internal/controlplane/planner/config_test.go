package planner

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards the errors of ReadFile: each invalid configuration file gives a one-line error that names the fault.
func TestReadFile_Errors(t *testing.T) {
	dir := t.TempDir()
	base := filepath.Join(dir, "base.json")
	if err := os.WriteFile(base, []byte(`{"name":"p","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
		"settings":{"balancers":2,"limits":{"dialTimeoutS":1,"connIdleS":1}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	valid := "fleet = \"t\"\nnumber = 1\nforwarders = 2\nplanners = 2\nlisten = \"127.0.0.1:3\"\nbase = \"" + base + "\"\n"
	read := func(text string) error {
		path := filepath.Join(dir, "planner.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFile(path)
		return err
	}
	if err := read(valid); err != nil {
		t.Fatal(err)
	}
	for want, text := range map[string]string{
		"unknown key leases":                            valid + "leases = 3\n",
		"number is 2":                                   strings.Replace(valid, "number = 1", "number = 2", 1),
		`fleet is "", must be a name of`:                strings.Replace(valid, `"t"`, `""`, 1),
		"forwarders is 0, must be 1 to":                 strings.Replace(valid, "forwarders = 2", "forwarders = 0", 1),
		"listen: ":                                      strings.Replace(valid, "127.0.0.1:3", "nowhere", 1),
		"base must name a configuration file":           strings.Replace(valid, base, "", 1),
		"no such file":                                  strings.Replace(valid, base, base+"x", 1),
		"lease_ms must be at least three times beat_ms": valid + "lease_ms = 100\n",
		"silence_ms is -1, must be above 0":             valid + "silence_ms = -1\n",
		"is no loopback":                                valid + "status = \"192.0.2.1:80\"\n",
		"cert, key and ca":                              valid + "[tls]\ncert = \"x\"\n",
		"allowed: 0 names":                              valid + "[tls]\ncert = \"x\"\nkey = \"x\"\nca = \"x\"\n",
		"cells is 1, must be 2 to":                      valid + "cells = 1\n",
		"expected":                                      valid + "cells = = 1\n",
	} {
		if err := read(text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("ReadFile returned error %v, want one line that contains %q", err, want)
		}
	}
}
