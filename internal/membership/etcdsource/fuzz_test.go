package etcdsource

import (
	"math"
	"net/netip"
	"testing"
)

// Whatever stands in etcd, a node that the view lists has an address and sane numbers, and its words are those of its last
// good value.
func FuzzParseValue(f *testing.F) {
	for _, v := range []string{a1, `{"addr":"127.0.0.1:1","zone":"a","cell":1,"weight":1,"started_ms":5}`, `{}`, `{"addr":"[::1]:1"}`, `{"weight":1e999}`, "\x00", `[]`, `{"addr":"1.2.3.4:0"} x`} {
		f.Add("nodes/a", v, false)
		f.Add("drain/a", v, true)
	}
	f.Add("nodes/", a1, false)
	f.Add("nodes/a/b", a1, false)
	f.Fuzz(func(t *testing.T, key, value string, deleted bool) {
		v := newFollower(1)
		v.applyFull(header(1, 10, 1), []keyValue{put(5, "a", 1), {Key: key, Value: []byte(value), Revision: 6}})
		check := func() {
			for _, n := range v.allNodes() {
				if n.ID == "" || len(n.ID) > maxIDBytes {
					t.Errorf("id %q", n.ID)
				}
				if n.Addr == "" {
					if _, listed := v.nodes[n.ID]; listed {
						t.Errorf("%q is listed without an address", n.ID)
					}
					continue
				}
				if _, err := netip.ParseAddrPort(n.Addr); err != nil || math.IsNaN(n.Weight) || n.Weight < 0 || n.Weight > 1e6 || n.Cell < 0 || n.StartedMS < 0 {
					t.Errorf("%+v", n)
				}
			}
		}
		check()
		if _, ok := v.nodes["a"]; !ok {
			t.Error("a good node was lost to a bad value")
		}
		words, err := v.applyEvents(header(1, 12, 1), []keyValue{{Key: key, Value: []byte(value), Revision: 11, Deleted: deleted}, {Key: key, Value: []byte(value), Revision: 11, Deleted: deleted}})
		if err != nil || len(words) > 1 || v.header.Revision != 11 {
			t.Errorf("%v, %v, at %d", words, err, v.header.Revision)
		}
		check()
	})
}
