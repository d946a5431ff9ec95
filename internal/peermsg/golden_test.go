package peermsg

import (
	"testing"

	"eiderspread/internal/lab/golden"
)

// Guards the bytes between gateways: every field of a record, by each of the four ways that its last bytes are used, and items.
func TestGoldenMessage(t *testing.T) {
	recs := []Record{
		{Key: 0x01020304, Plan: 5, Known: true, Total: 600.25, Room: 7.75, Rate: 8.5, Out: 9, Unacked: 10.25, Want: 11.5, First: 12.75, Cheap: 0.2},
		{Key: 0x11121314, Plan: 1, Flag: true, Lends: true, Total: 16.25, Room: -17.5, Rate: 18.25, Out: 1900, Unacked: 20.25, Cheap: 0.4, Lease: 2.35},
		{Key: 0x21222324, Plan: 2, Lends: true, Total: 26, Room: 27, Rate: 28, Out: 29, Unacked: 30.5, Want: 31, First: 32.25, Cheap: 1},
		{Key: 0x31323334, Plan: 15, Owner: true, Known: true, Flag: true, Lends: true, Total: 36, Room: 37.5, Rate: 3800, Out: 39, Want: 40, Hold: 4.15,
			Places: 42, Lease: 4},
		{Key: 0x41424344, Plan: 4, Owner: true, Total: 46, Room: 47, Rate: 48, Out: 49, Hold: 5},
	}
	const now = 1000
	b := AppendHeader(nil, 77, 0x0102)
	for _, r := range recs {
		b = AppendRecord(b, r)
	}
	b[CountAt] = byte(len(recs))
	var news News
	news.Add(Item{Server: 0x5152, Class: Tag("read"), Value: 0.6, At: now - 0.5})
	news.Add(Item{Server: ServerMost, Class: LoadItem, Value: 0.8, At: now - 1.2})
	b = AppendState(news.Append(b, 2, now, 5), 0.4, 200)
	stored := golden.Check(t, "message.bin", b)
	boot, seq, gotRecs, items, ok := Parse(stored, now)
	if !ok || boot != 77 || seq != 0x0102 || len(items) != 3 {
		t.Fatalf("read as %d, %d, %d items, %v", boot, seq, len(items), ok)
	}
	golden.Same(t, "records", gotRecs, recs)
	for i, want := range []Item{{ServerMost, LoadItem, 0.8, now - 1.2}, {0x5152, Tag("read"), 0.6, now - 0.5}} {
		golden.Same(t, "item", items[i], want)
	}
	if level, phase, ok := items[2].State(now); !ok || level != 0.4 || phase != 200 {
		t.Errorf("state is read as %g, %d, %v", level, phase, ok)
	}
	golden.Check(t, "count.bin", Count(3, 4, "1f00000000000002", 5, 6.25, 7.5, 8))
}
