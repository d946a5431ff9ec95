package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards the upgrade command: each program is drained at its admin address, restarted by its command and waited for, in order. If a restart
// command does nothing, the rollout is aborted with an error that names the program.
func TestUpgrade(t *testing.T) {
	for _, broken := range []bool{false, true} {
		dir := t.TempDir()
		config := "up_s = 1.0\nsettle_s = 0.2\n"
		for _, name := range []string{"f0", "p0", "p1"} {
			var drained atomic.Bool
			file := filepath.Join(dir, name+".restarted")
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := os.Stat(file)
				switch {
				case r.URL.Path == "/v1/ingress/drain" && r.Method == http.MethodPost:
					drained.Store(true)
				case drained.Load() && err != nil:
					http.Error(w, "no", http.StatusServiceUnavailable)
				}
			}))
			defer srv.Close()
			restart := fmt.Sprintf(`["touch", %q]`, file)
			if broken && name == "p1" {
				restart = `["true"]`
			}
			kind := map[byte]string{'f': "forwarder", 'p': "planner"}[name[0]]
			config += fmt.Sprintf("[[program]]\nname = %q\nkind = %q\ndoor = %q\nrestart = %s\n", name, kind, strings.TrimPrefix(srv.URL, "http://"), restart)
		}
		path := filepath.Join(dir, "upgrade.toml")
		if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		var log strings.Builder
		err := run([]string{"upgrade", "-check", path})
		if err != nil {
			t.Fatal(err)
		}
		err = upgrade([]string{path}, &log)
		_, lastErr := os.Stat(filepath.Join(dir, "f0.restarted"))
		if !broken && (err != nil || lastErr != nil) {
			t.Errorf("upgrade: got error %v, file of the last program's restart: %v, want neither error\n%s", err, lastErr, log.String())
		}
		if broken && (err == nil || !strings.Contains(err.Error(), "-from p1") || lastErr == nil) {
			t.Errorf("upgrade with a broken restart of p1: got error %v, want one with \"-from p1\"; f0 must not be restarted (file: %v)\n%s", err, lastErr, log.String())
		}
	}
	for want, text := range map[string]string{"replace needs two different doors": "[[program]]\nname = \"a\"\nkind = \"forwarder\"\ndoors = [\"x\"]\nreplace = [\"y\"]\n",
		"can't be replaced by a hot restart": "[[program]]\nname = \"a\"\nkind = \"planner\"\ndoors = [\"x\", \"z\"]\nreplace = [\"y\"]\n", "must have either door and restart": "[[program]]\nname = \"a\"\nkind = \"planner\"\n", "no programs": "", "unknown key": "x = 1\n"} {
		path := filepath.Join(t.TempDir(), "upgrade.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
		if err := run([]string{"upgrade", path}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}

// Guards the hot restart: the replace command gets the admin address that is free, the program is not drained, and only the readiness of
// the new process counts.
func TestUpgrade_HotRestart(t *testing.T) {
	for _, starts := range []bool{true, false} {
		file := filepath.Join(t.TempDir(), "started")
		var admins []string
		for i := range 2 {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := os.Stat(file)
				started := err == nil
				switch {
				case r.Method != http.MethodGet:
					t.Errorf("got %s %s, want only GET requests", r.Method, r.URL)
				case i == 0 && started && starts, i == 1 && (!started || !starts): // the old process stays ready if the new one does not start
					http.Error(w, "no", http.StatusServiceUnavailable)
				}
			}))
			defer srv.Close()
			admins = append(admins, strings.TrimPrefix(srv.URL, "http://"))
		}
		path := filepath.Join(t.TempDir(), "upgrade.toml")
		text := fmt.Sprintf("up_s = 1.0\nsettle_s = 0.2\n[[program]]\nname = \"f0\"\nkind = \"forwarder\"\ndoors = [%q, %q]\n"+
			"replace = [\"sh\", \"-c\", \"echo $EIDERFLEET_DOOR > %s\"]\n", admins[0], admins[1], file)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var log strings.Builder
		err := upgrade([]string{path}, &log)
		given, _ := os.ReadFile(file)
		if starts != (err == nil) || strings.TrimSpace(string(given)) != admins[1] {
			t.Errorf("new process starts %v: got error %v, command got the admin address %q, want the second of %v\n%s", starts, err, given, admins, log.String())
		}
	}
}
