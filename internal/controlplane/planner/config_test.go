package planner

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each fault of an operators' file is one line that names it.
func TestReadFile_Errors(t *testing.T) {
	dir := t.TempDir()
	base := filepath.Join(dir, "base.json")
	if err := os.WriteFile(base, []byte(`{"name":"p","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
		"settings":{"balancers":2,"limits":{"dialTimeoutS":1,"connIdleS":1}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	good := "fleet = \"t\"\nnumber = 1\nforwarders = 2\nplanners = 2\nlisten = \"127.0.0.1:3\"\nbase = \"" + base + "\"\n"
	read := func(text string) error {
		path := filepath.Join(dir, "planner.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFile(path)
		return err
	}
	if err := read(good); err != nil {
		t.Fatal(err)
	}
	for want, text := range map[string]string{
		"unknown key leases":       good + "leases = 3\n",
		"number is 2":              strings.Replace(good, "number = 1", "number = 2", 1),
		"fleet must be":            strings.Replace(good, `"t"`, `""`, 1),
		"forwarders must be":       strings.Replace(good, "forwarders = 2", "forwarders = 0", 1),
		"listen: ":                 strings.Replace(good, "127.0.0.1:3", "nowhere", 1),
		"base names no":            strings.Replace(good, base, "", 1),
		"no such file":             strings.Replace(good, base, base+"x", 1),
		"lease_ms must be three":   good + "lease_ms = 100\n",
		"silence_ms must be above": good + "silence_ms = -1\n",
		"is no loopback":           good + "status = \"192.0.2.1:80\"\n",
		"cert, key and ca":         good + "[tls]\ncert = \"x\"\n",
		"allowed: 0 names":         good + "[tls]\ncert = \"x\"\nkey = \"x\"\nca = \"x\"\n",
		"cells must be":            good + "cells = 1\n",
		"expected":                 good + "cells = = 1\n",
	} {
		if err := read(text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
