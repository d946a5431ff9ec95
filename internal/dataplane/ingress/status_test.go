package ingress

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/membership/discovery"
)

// Guards against a stale endpoint list that is not reported, or logged again and again: the status shows whether the list is stale, and
// the log has one line for each change between stale and up to date.
func TestStatus_StaleEndpointList(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1", "127.0.0.1:2"), nil)
	getStatus := func() (st Status) {
		w := httptest.NewRecorder()
		r.ingress.handleStatus(w, httptest.NewRequest("GET", "/", nil))
		if err := json.Unmarshal(w.Body.Bytes(), &st); err != nil {
			t.Fatalf("status %q not decoded: %v", w.Body, err)
		}
		return st
	}
	if st := getStatus(); st.Kind != "ingress" || st.Name != "n0" || st.Backends != 2 || st.EndpointListStale || st.EndpointList.SinceUpdateS > testTimeout.Seconds() {
		t.Errorf("got status %+v, want that of ingress n0 with 2 backends and an up-to-date endpoint list", st)
	}
	var log bytes.Buffer
	r.onLoop(func() {
		r.ingress.log = slog.New(slog.NewTextHandler(&log, nil))
		for _, stale := range []bool{true, true, false, false, true} {
			r.ingress.logListAge(discovery.Age{SinceUpdateS: map[bool]float64{true: 11, false: 1}[stale]})
		}
		r.ingress.log = slog.New(slog.DiscardHandler)
	})
	if n, m := strings.Count(log.String(), "endpoint list is stale"), strings.Count(log.String(), "endpoint list is up to date again"); n != 2 || m != 1 {
		t.Errorf("list logged %d times as stale and %d times as up to date, want 2 and 1:\n%s", n, m, log.String())
	}
}

// Guards operators against a process that can't be replaced and says so only when its successor comes: its status page names the reason, and the
// connections to backends that were closed for their replies.
func TestStatus_NotReplaceable(t *testing.T) {
	cfg := adminConfig(t, "127.0.0.1:1")
	path := hotrestart.SocketPath(os.TempDir(), cfg.Name)
	for _, foreign := range []bool{false, true} {
		t.Run(fmt.Sprint("foreign file ", foreign), func(t *testing.T) {
			if foreign {
				noError(t, os.Remove(path)) // of the process before
				noError(t, os.WriteFile(path, nil, 0o600))
			}
			r := startIngress(t, cfg, nil)
			r.onLoop(func() { r.ingress.counters.retired[retireDuplicate] = 3 })
			w := httptest.NewRecorder()
			r.ingress.handleStatus(w, httptest.NewRequest("GET", "/", nil))
			var page StatusPage
			if err := json.Unmarshal(w.Body.Bytes(), &page); err != nil {
				t.Fatalf("status %q not decoded: %v", w.Body, err)
			}
			if got := page.NotReplaceable; (got != "") != foreign || foreign && !strings.Contains(got, path) {
				t.Errorf("not replaceable for %q, want a reason with the path: %v", got, foreign)
			}
			if page.Retired["duplicate"] != 3 || page.Kind != "ingress" {
				t.Errorf("got retired connections %v, kind %q", page.Retired, page.Kind)
			}
		})
	}
}
