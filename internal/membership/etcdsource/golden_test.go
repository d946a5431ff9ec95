package etcdsource

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the value of a node's key in etcd, its keys' folders and the status of the source.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "value.json", &nodeValue{})
	golden.JSON(t, "status.json", &Status{})
	for key, want := range map[string]string{"nodes/a": nodesPrefix, "drain/a": drainPrefix} {
		if dir, id, ok := parseKey(key); dir != want || id != "a" || !ok {
			t.Errorf("%s is read as %q, %q, %v", key, dir, id, ok)
		}
	}
}
