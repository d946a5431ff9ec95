package etcdsource

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the JSON forms of a node's value in etcd and of the source's status, and the prefixes of the keys in etcd.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "value.json", &nodeValue{})
	golden.JSON(t, "status.json", &Status{})
	for key, want := range map[string]string{"nodes/a": nodesPrefix, "drain/a": drainPrefix} {
		if dir, id, ok := parseKey(key); dir != want || id != "a" || !ok {
			t.Errorf("key %s is parsed as prefix %q, ID %q, valid %v; want prefix %q, ID \"a\", valid", key, dir, id, ok, want)
		}
	}
}
