package ingress

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"eiderspread/internal/membership/discovery"
)

// Guards the operator's file of an ingress: one clear line for each fault; the example is good.
func TestReadOperatorConfig(t *testing.T) {
	if o, err := ReadOperatorConfig("../../../deploy/ingress.toml"); err != nil || o.Status == "" {
		t.Errorf("the example: %+v, %v", o, err)
	}
	for want, text := range map[string]string{
		"":                             "",
		"unknown key statuses":         "statuses = \"127.0.0.1:1\"\n",
		"status: ":                     "status = \"here\"\n",
		"must be a loopback address":   "status = \"10.0.0.1:1\"\n",
		"expected value but found":     "status = \n",
		"incompatible types: TOML val": "status = 7\n",
		"overload: floor is 0.7":       "[overload]\non = true\nfloor = 0.7\n",
		"unknown key overload.level":   "[overload]\nlevel = 1\n",
	} {
		path := filepath.Join(t.TempDir(), "ingress.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadOperatorConfig(path)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

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
