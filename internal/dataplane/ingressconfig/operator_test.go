package ingressconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a fault in the operator's file that is accepted, or whose error is unclear or longer than one line, and
// against an example file that is invalid.
func TestReadOperator(t *testing.T) {
	if o, err := ReadOperator("../../../deploy/ingress.toml"); err != nil || o.Status == "" {
		t.Errorf("example file: got %+v, error %v, want a status address and no error", o, err)
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
		_, err := ReadOperator(path)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%q: got error %v, want one line with %q", text, err, want)
		}
	}
}
