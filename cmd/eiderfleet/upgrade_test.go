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
	for want, text := range map[string]string{"door and restart": "[[program]]\nname = \"a\"\nkind = \"planner\"\n", "no programs": "", "unknown key": "x = 1\n"} {
		path := filepath.Join(t.TempDir(), "upgrade.toml")
		os.WriteFile(path, []byte(text), 0o600)
		if err := run([]string{"upgrade", path}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}
