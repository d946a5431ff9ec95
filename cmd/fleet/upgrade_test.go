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

// Guards the upgrade command: programs at doors of their own are sent away, restarted by their commands and waited for, in order; one whose
// restart does nothing stops it with one line that says where it stands.
func TestUpgrade(t *testing.T) {
	for _, broken := range []bool{false, true} {
		dir := t.TempDir()
		text := "up_s = 1.0\nsettle_s = 0.2\n"
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
			text += fmt.Sprintf("[[program]]\nname = %q\nkind = %q\ndoor = %q\nrestart = %s\n", name, kind, strings.TrimPrefix(srv.URL, "http://"), restart)
		}
		path := filepath.Join(dir, "upgrade.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var log strings.Builder
		err := run([]string{"upgrade", "-check", path})
		if err != nil {
			t.Fatal(err)
		}
		err = upgrade([]string{path}, &log)
		_, last := os.Stat(filepath.Join(dir, "f0.restarted"))
		if !broken && (err != nil || last != nil) {
			t.Errorf("%v, %v\n%s", err, last, log.String())
		}
		if broken && (err == nil || !strings.Contains(err.Error(), "-from p1") || last == nil) {
			t.Errorf("%v, %v\n%s", err, last, log.String())
		}
	}
	for want, text := range map[string]string{"replace goes with two doors": "[[program]]\nname = \"a\"\nkind = \"forwarder\"\ndoors = [\"x\"]\nreplace = [\"y\"]\n",
		"is not replaced beside itself": "[[program]]\nname = \"a\"\nkind = \"planner\"\ndoors = [\"x\", \"z\"]\nreplace = [\"y\"]\n", "door and restart": "[[program]]\nname = \"a\"\nkind = \"planner\"\n", "no programs": "", "unknown key": "x = 1\n"} {
		path := filepath.Join(t.TempDir(), "upgrade.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
		if err := run([]string{"upgrade", path}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

// Guards a program that is replaced beside itself: its command gets the free door, nothing is sent away, and only the new process's yes
// counts.
func TestUpgradeBeside(t *testing.T) {
	for _, rises := range []bool{true, false} {
		file := filepath.Join(t.TempDir(), "started")
		var doors []string
		for i := range 2 {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := os.Stat(file)
				started := err == nil
				switch {
				case r.Method != http.MethodGet:
					t.Errorf("%s %s", r.Method, r.URL)
				case i == 0 && started && rises, i == 1 && (!started || !rises): // the old process goes on if the new one does not come up
					http.Error(w, "no", http.StatusServiceUnavailable)
				}
			}))
			defer srv.Close()
			doors = append(doors, strings.TrimPrefix(srv.URL, "http://"))
		}
		path := filepath.Join(t.TempDir(), "upgrade.toml")
		text := fmt.Sprintf("up_s = 1.0\nsettle_s = 0.2\n[[program]]\nname = \"f0\"\nkind = \"forwarder\"\ndoors = [%q, %q]\n"+
			"replace = [\"sh\", \"-c\", \"echo $EIDERFLEET_DOOR > %s\"]\n", doors[0], doors[1], file)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var log strings.Builder
		err := upgrade([]string{path}, &log)
		given, _ := os.ReadFile(file)
		if rises != (err == nil) || strings.TrimSpace(string(given)) != doors[1] {
			t.Errorf("rises %v: %v, given the door %q of %v\n%s", rises, err, given, doors, log.String())
		}
	}
}
