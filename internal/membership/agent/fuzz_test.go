package agent

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/membership/merge"
)

// Guards the agent's HTTP server against arbitrary requests. It must not panic, and must answer in the discovery protocol or with status
// 404. The versions that it sends to a watch must not decrease, and must not be greater than the current version.
func FuzzPublisher(f *testing.F) {
	f.Add("GET", "/api/targets", "", "a", uint8(0))
	f.Add("GET", "/api/targets", "watch=1&after=1001", "a", uint8(1))
	f.Add("GET", "/api/targets", "watch=1&after=-9223372036854775808", "\xff\"\\", uint8(2))
	f.Add("GET", "/api/targets", "watch=1&after=9223372036854775807", "a", uint8(9))
	f.Add("POST", "/api/targets/", "watch=%zz;after", "", uint8(3))
	f.Fuzz(func(t *testing.T, method, path, query, id string, changes uint8) {
		p := newPublisher(1000)
		p.markReady()
		states := []merge.State{merge.Up, merge.Draining, merge.Removed}
		for i := range int(changes % 16) {
			p.publish([]merge.Entry{entry(id, states[i%3]), entry("b", merge.Up)})
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Millisecond)
		defer cancel()
		r := (&http.Request{Method: method, URL: &url.URL{Path: path, RawQuery: query}, Header: http.Header{}}).WithContext(ctx)
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		if method != http.MethodGet || path != "/api/targets" {
			if w.Code != http.StatusNotFound {
				t.Errorf("%s %q: got status %d, want %d", method, path, w.Code, http.StatusNotFound)
			}
			return
		}
		last := int64(0)
		for _, line := range bytes.Split(w.Body.Bytes(), []byte("\n")) {
			if len(line) == 0 {
				continue
			}
			l, err := discovery.Parse(line)
			if err != nil && id != "" {
				t.Fatalf("line %q is not in the discovery protocol: %v", line, err)
			}
			if l.Version < last {
				t.Errorf("got version %d after version %d, want no decrease", l.Version, last)
			}
			last = l.Version
		}
		if last > p.version {
			t.Errorf("last version served is %d, want at most the current version %d", last, p.version)
		}
	})
}
