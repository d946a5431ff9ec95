package etcdsource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// The keys of a node, without the configured prefix; docs/etcd-schema.md describes them.
const (
	nodesPrefix = "nodes/" // followed by the node's ID; the value is a nodeValue
	drainPrefix = "drain/" // followed by the ID of a node to drain; the value is not read, it is for operators
	maxIDBytes  = 128
	maxWeight   = 1e6
)

// nodeValue is the JSON value of a node's key. Unknown fields are rejected.
type nodeValue struct {
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time in ms; 0 means long ago
}

// parseValue decodes and validates a node's value.
func parseValue(text []byte) (nodeValue, error) {
	var v nodeValue
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, err
	}
	if d.More() {
		return v, errors.New("unexpected data after the JSON object")
	}
	if _, err := netip.ParseAddrPort(v.Addr); err != nil {
		return v, fmt.Errorf("addr: %w", err)
	}
	if v.StartedMS < 0 || v.Cell < 0 || !(v.Weight >= 0 && v.Weight <= maxWeight) {
		return v, fmt.Errorf("number out of range: cell and started_ms must not be negative, weight must be from 0 to %.0f", maxWeight)
	}
	return v, nil
}

// parseKey splits a key, without the configured prefix, into nodesPrefix or drainPrefix and the node's ID. dir is empty for other keys. ok
// is false for other keys and for an invalid ID.
func parseKey(key string) (dir, id string, ok bool) {
	for _, dir := range []string{nodesPrefix, drainPrefix} {
		if id, found := strings.CutPrefix(key, dir); found {
			return dir, id, validID(id)
		}
	}
	return "", "", false
}

func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' })
}
