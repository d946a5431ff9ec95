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

// Guards the operator's file: one clear line for each fault, before anything is served; the example is good.
func TestReadFile(t *testing.T) {
	if _, err := ReadFile("../../../deploy/etcd.toml"); err != nil {
		t.Error(err)
	}
	good := "listen = \"127.0.0.1:1\"\nendpoints = [\"http://127.0.0.1:2\"]\nprefix = \"/t/\"\n"
	for want, text := range map[string]string{
		"":                          good,
		"unknown key lease":         good + "lease = 1\n",
		"listen: ":                  strings.Replace(good, "127.0.0.1:1", "here", 1),
		"endpoints are missing":     strings.Replace(good, "\"http://127.0.0.1:2\"", "", 1),
		"prefix must end":           strings.Replace(good, "/t/", "/t", 1),
		"roster: ":                  good + "roster = \"there\"\n",
		"retry_ms must be":          good + "retry_ms = 0\n",
		"stale_ms must be three":    good + "stale_ms = 600\n",
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
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

func entry(id string, s merge.State) merge.Entry {
	return merge.Entry{Node: merge.Node{Identity: merge.Identity{ID: id, Addr: "127.0.0.1:1"}, State: s}}
}

// Guards the protocol towards ingresses: a watch misses nothing, and one that is too far behind, or from another life of
// the agent, gets the whole list.
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
		t.Errorf("from another life: %+v", l)
	}
	p.publish([]merge.Entry{entry("a", merge.Draining)})
	p.publish([]merge.Entry{entry("b", merge.Removed)})
	for i, want := range []string{"a terminating", "b terminated"} {
		if l := read(old); l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].ID+" "+l.Endpoints[0].State != want || l.Version != 1002+int64(i) {
			t.Errorf("change %d: %+v", i, l)
		}
	}
	r, done := next(1002)
	defer done()
	if l := read(r); l.Full || l.Version != 1003 {
		t.Errorf("one behind: %+v", l)
	}
	for range maxHistory + 1 {
		p.publish([]merge.Entry{entry("c", merge.Up)})
	}
	r, done = next(1003)
	defer done()
	if l := read(r); !l.Full || len(l.Endpoints) != 2 {
		t.Errorf("far behind: %+v", l)
	}
	r, done = next(1 << 60)
	defer done()
	if l := read(r); !l.Full {
		t.Errorf("from the future: %+v", l)
	}
	if got := len(p.history); got > maxHistory {
		t.Errorf("%d changes are kept", got)
	}
	if resp, err := http.Post(srv.URL+"/api/targets", "", nil); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("a post: %v, %v", resp, err)
	}
}
