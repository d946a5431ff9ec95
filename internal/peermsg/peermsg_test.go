package peermsg

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A word of overload crosses beside records and items, is told from them, and fits or is left out whole.
func TestStateCrosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 1e7).Draw(t, "now")
		level, phase := rapid.Float64Range(-1, 2).Draw(t, "level"), rapid.Byte().Draw(t, "phase")
		b := AppendHeader(nil, 1, 2)
		records := rapid.IntRange(0, 14).Draw(t, "records")
		for range records {
			b = AppendRecord(b, Record{Key: 7})
		}
		b[CountAt] = byte(records)
		var news News
		for i := range rapid.IntRange(0, 9).Draw(t, "items") {
			news.Add(Item{Server: min(uint16(rapid.Uint32().Draw(t, "server")), ServerMost), Class: []int{3, LoadItem}[i%2], Value: 0.5, At: now})
		}
		room := len(b)+ItemLen <= Limit
		b = news.Append(AppendState(b, level, phase), 6, now, 1)
		_, _, recs, items, ok := Parse(b, now)
		if !ok || len(recs) != records {
			t.Fatal("not read")
		}
		n := 0
		for _, x := range items {
			if l, p, ok := x.State(now); ok {
				n++
				if math.Abs(l-Clamp(level, 0, 1)) > 0.003 || p != phase {
					t.Fatalf("%g and %d came as %g and %d", level, phase, l, p)
				}
			}
		}
		if room != (n == 1) || n > 1 {
			t.Fatalf("%d words, room for one: %v", n, room)
		}
		Belie(b, 1, 9)
		if _, _, _, items, _ = Parse(b, now); room {
			if l, p, ok := items[0].State(now); !ok || l != 1 || p != 9 {
				t.Fatal("not belied")
			}
		}
	})
}
