package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
)

// Guards the command line: wrong arguments are errors, and the example files in deploy/ are valid.
func TestRun(t *testing.T) {
	t.Chdir("../..")
	for want, args := range map[string][]string{
		"no command given":        nil,
		"unknown command":         {"plan"},
		"forwarder takes exactly": {"forwarder"},
		"planner takes exactly":   {"planner", "-check", "a", "b"},
		"no such file":            {"planner", "-check", "nowhere.toml"},
		"flag provided but":       {"forwarder", "-quick", "x"},
		"deploy/forwarder.toml: ": {"planner", "-check", "deploy/forwarder.toml"},
	} {
		if err := run(args); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("arguments %q: got error %v, want one with %q", args, err, want)
		}
	}
	// A forwarder may have an admin address, at which operators drain it. Cordons are set at planners.
	base, err := os.ReadFile("deploy/example/forwarder.json")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(dir+"/door.json", []byte(strings.Replace(string(base), "{", `{"console":"127.0.0.1:1",`, 1)), 0o600); err != nil {
		t.Error(err)
	}
	file, _ := os.ReadFile("deploy/forwarder.toml")
	if err := os.WriteFile(dir+"/door.toml", []byte(strings.Replace(string(file), "deploy/example/forwarder.json", dir+"/door.json", 1)), 0o600); err != nil {
		t.Error(err)
	}
	if err := run([]string{"forwarder", "-check", dir + "/door.toml"}); err != nil {
		t.Errorf("forwarder with an admin address: got error %v, want none", err)
	}
	for _, kind := range []string{"forwarder", "planner"} {
		if err := run([]string{kind, "-check", "deploy/" + kind + ".toml"}); err != nil {
			t.Errorf("example file of the %s: got error %v, want none", kind, err)
		}
	}
}

// Guards the status command: the status of a program that answers is printed, and one that does not answer is an error.
func TestStatus(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"kind":"planner"}`)) }))
	defer srv.Close()
	var out strings.Builder
	if err := status([]string{"127.0.0.1:1", strings.TrimPrefix(srv.URL, "http://")}, &out); err == nil || !strings.Contains(out.String(), "planner") {
		t.Errorf("got output %q and error %v, want the planner's status and an error for the address without a program", out.String(), err)
	}
}
