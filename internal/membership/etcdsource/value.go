package etcdsource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// The keys of a node, under the configured prefix; docs/etcd-schema.md states them.
const (
	nodesPrefix = "nodes/" // behind it the node's ID; the value is a nodeValue
	drainPrefix = "drain/" // behind it the ID of a node that is to drain; the value is for people
	maxIDBytes  = 128
	maxWeight   = 1e6
)

// nodeValue is the JSON value of a node's key. Unknown fields are an error.
type nodeValue struct {
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"` // Unix time in ms; 0: long ago
}

// parseValue reads and validates a node's value.
func parseValue(text []byte) (nodeValue, error) {
	var v nodeValue
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, err
	}
	if d.More() {
		return v, errors.New("more than one value")
	}
	if _, err := netip.ParseAddrPort(v.Addr); err != nil {
		return v, fmt.Errorf("addr: %w", err)
	}
	if v.StartedMS < 0 || v.Cell < 0 || !(v.Weight >= 0 && v.Weight <= maxWeight) {
		return v, errors.New("a number is out of range")
	}
	return v, nil
}

// parseKey splits a key, without the configured prefix, into nodesPrefix or drainPrefix and the node's ID. dir is empty for other keys; ok
// is false for them and for what is no ID.
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
