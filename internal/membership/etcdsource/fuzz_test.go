package etcdsource

import (
	"math"
	"net/netip"
	"testing"
)

// Guards against keys and values in etcd that make the view list a node without an address or with a number out of range, or that remove a
// valid node.
func FuzzParseValue(f *testing.F) {
	for _, v := range []string{nodeJSON, `{"addr":"127.0.0.1:1","zone":"a","cell":1,"weight":1,"started_ms":5}`, `{}`, `{"addr":"[::1]:1"}`, `{"weight":1e999}`, "\x00", `[]`, `{"addr":"1.2.3.4:0"} x`} {
		f.Add("nodes/a", v, false)
		f.Add("drain/a", v, true)
	}
	f.Add("nodes/", nodeJSON, false)
	f.Add("nodes/a/b", nodeJSON, false)
	f.Fuzz(func(t *testing.T, key, value string, deleted bool) {
		v := newFollower(1)
		v.applyFull(header(1, 10, 1), []keyValue{put(5, "a", 1), {Key: key, Value: []byte(value), Revision: 6}})
		checkNodes := func() {
			for _, n := range v.allNodes() {
				if n.ID == "" || len(n.ID) > maxIDBytes {
					t.Errorf("node ID %q has %d bytes, want 1 to %d", n.ID, len(n.ID), maxIDBytes)
				}
				if n.Addr == "" {
					if _, listed := v.nodes[n.ID]; listed {
						t.Errorf("node %q is listed without an address", n.ID)
					}
					continue
				}
				if _, err := netip.ParseAddrPort(n.Addr); err != nil || math.IsNaN(n.Weight) || n.Weight < 0 || n.Weight > 1e6 || n.Cell < 0 || n.StartedMS < 0 {
					t.Errorf("node has an invalid address or a number out of range: %+v", n)
				}
			}
		}
		checkNodes()
		if _, ok := v.nodes["a"]; !ok {
			t.Error("node a is not listed any more, want its last valid value kept")
		}
		reports, err := v.applyEvents(header(1, 12, 1), []keyValue{{Key: key, Value: []byte(value), Revision: 11, Deleted: deleted}, {Key: key, Value: []byte(value), Revision: 11, Deleted: deleted}})
		if err != nil || len(reports) > 1 || v.header.Revision != 11 {
			t.Errorf("got reports %v, error %v, view at revision %d; want at most one report, no error, revision 11", reports, err, v.header.Revision)
		}
		checkNodes()
	})
}
