package ingress

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

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
