package ingressconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards the operator's file of an ingress: one clear line for each fault; the example is good.
func TestReadOperator(t *testing.T) {
	if o, err := ReadOperator("../../../deploy/ingress.toml"); err != nil || o.Status == "" {
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
		_, err := ReadOperator(path)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}
