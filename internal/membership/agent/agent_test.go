package agent

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/membership/merge"
)

// Guards the configuration file: an invalid file is rejected at the start with one line that names the fault, and the example file
// deploy/etcd.toml is valid.
func TestReadFile(t *testing.T) {
	if _, err := ReadFile("../../../deploy/etcd.toml"); err != nil {
		t.Error(err)
	}
	good := "listen = \"127.0.0.1:1\"\nendpoints = [\"http://127.0.0.1:2\"]\nprefix = \"/t/\"\n"
	for want, text := range map[string]string{
		"":                          good,
		"unknown key lease":         good + "lease = 1\n",
		"listen: ":                  strings.Replace(good, "127.0.0.1:1", "here", 1),
		"endpoints must name at":    strings.Replace(good, "\"http://127.0.0.1:2\"", "", 1),
		"prefix must end":           strings.Replace(good, "/t/", "/t", 1),
		"roster: ":                  good + "roster = \"there\"\n",
		"retry_ms must be":          good + "retry_ms = 0\n",
		"stale_ms must be at least": good + "stale_ms = 600\n",
		"password_file: ":           good + "password_file = \"/nowhere\"\n",
		"tls: certificate: ":        good + "[tls]\ncert = \"/nowhere\"\n",
		"orphan_ms must be 1 to 36": good + "orphan_ms = nan\n",
	} {
		path := filepath.Join(t.TempDir(), "etcd.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFile(path)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("got error %v, want one line with %q", err, want)
		}
	}
}

func entry(id string, s merge.State) merge.Entry {
	return merge.Entry{Node: merge.Node{Identity: merge.Identity{ID: id, Addr: "127.0.0.1:1"}, State: s}}
}

// Guards the protocol to ingresses: a watch misses no change; a watch that is too far behind the history, or whose version comes from
// another run of the agent, gets the full list.
func TestPublisher(t *testing.T) {
	p := newPublisher(1000)
	p.markReady()
	srv := httptest.NewServer(p)
	defer srv.Close()
	next := func(after int64) (*bufio.Reader, func()) {
		r, err := http.Get(fmt.Sprintf("%s/api/targets?watch=1&after=%d", srv.URL, after))
		if err != nil {
			t.Fatal(err)
		}
		return bufio.NewReader(r.Body), func() { r.Body.Close() }
	}
	read := func(r *bufio.Reader) discovery.List {
		t.Helper()
		line, err := r.ReadBytes('\n')
		if err != nil {
			t.Fatal(err)
		}
		l, err := discovery.Parse(line)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	p.publish([]merge.Entry{entry("a", merge.Up), entry("b", merge.Up)})
	old, done := next(5)
	defer done()
	if l := read(old); !l.Full || len(l.Endpoints) != 2 || l.Version != 1001 {
		t.Errorf("watch with a version of an earlier run got %+v, want the full list of two endpoints at version 1001", l)
	}
	p.publish([]merge.Entry{entry("a", merge.Draining)})
	p.publish([]merge.Entry{entry("b", merge.Removed)})
	for i, want := range []string{"a terminating", "b terminated"} {
		if l := read(old); l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].ID+" "+l.Endpoints[0].State != want || l.Version != 1002+int64(i) {
			t.Errorf("change %d is %+v, want only %q at version %d", i, l, want, 1002+int64(i))
		}
	}
	r, done := next(1002)
	defer done()
	if l := read(r); l.Full || l.Version != 1003 {
		t.Errorf("watch one version behind got %+v, want the change of version 1003", l)
	}
	for range maxHistory + 1 {
		p.publish([]merge.Entry{entry("c", merge.Up)})
	}
	r, done = next(1003)
	defer done()
	if l := read(r); !l.Full || len(l.Endpoints) != 2 {
		t.Errorf("watch beyond the history got %+v, want the full list of two endpoints", l)
	}
	r, done = next(1 << 60)
	defer done()
	if l := read(r); !l.Full {
		t.Errorf("watch with a version later than the current one got %+v, want the full list", l)
	}
	if got := len(p.history); got > maxHistory {
		t.Errorf("history has %d changes, want at most %d", got, maxHistory)
	}
	if resp, err := http.Post(srv.URL+"/api/targets", "", nil); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("POST: got response %v, error %v; want status 404", resp, err)
	}
}
