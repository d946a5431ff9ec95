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

// Guards what an ingress says of the age of its list, in its status and once each way in its log.
func TestStatus_StaleEndpointList(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1", "127.0.0.1:2"), nil)
	ask := func() (st Status) {
		w := httptest.NewRecorder()
		r.ingress.handleStatus(w, httptest.NewRequest("GET", "/", nil))
		if err := json.Unmarshal(w.Body.Bytes(), &st); err != nil {
			t.Fatalf("%q: %v", w.Body, err)
		}
		return st
	}
	if st := ask(); st.Kind != "ingress" || st.Name != "n0" || st.Backends != 2 || st.EndpointListStale || st.EndpointList.SinceUpdateS > testTimeout.Seconds() {
		t.Errorf("%+v", st)
	}
	var log bytes.Buffer
	r.onLoop(func() {
		r.ingress.log = slog.New(slog.NewTextHandler(&log, nil))
		for _, old := range []bool{true, true, false, false, true} {
			r.ingress.logListAge(discovery.Age{SinceUpdateS: map[bool]float64{true: 11, false: 1}[old]})
		}
		r.ingress.log = slog.New(slog.DiscardHandler)
	})
	if n, m := strings.Count(log.String(), "is old"), strings.Count(log.String(), "is fresh again"); n != 2 || m != 1 {
		t.Errorf("said %d times to be old and %d times to be fresh:\n%s", n, m, log.String())
	}
}
