package peerprotocol

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The load-shedding state travels beside records and entries, is recognized, and is complete or left out.
func TestLoadShedState_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 1e7).Draw(t, "now")
		level, phase := rapid.Float64Range(-1, 2).Draw(t, "level"), rapid.Byte().Draw(t, "phase")
		message := AppendHeader(nil, 1, 2)
		count := rapid.IntRange(0, 14).Draw(t, "records")
		for range count {
			message = AppendRecord(message, Record{AccountKey: 7})
		}
		message[RecordCountOffset] = byte(count)
		var gossip Gossip
		for i := range rapid.IntRange(0, 9).Draw(t, "items") {
			gossip.Add(GossipEntry{BackendHash: min(uint16(rapid.Uint32().Draw(t, "server")), MaxBackendHash), ClassTag: []int{3, UtilizationTag}[i%2], Value: 0.5, At: now})
		}
		fits := len(message)+EntryLen <= MaxLen
		message = gossip.AppendNewest(AppendLoadShedState(message, level, phase), 6, now, 1)
		_, _, records, entries, ok := Parse(message, now)
		if !ok || len(records) != count {
			t.Fatal("not parsed")
		}
		n := 0
		for _, entry := range entries {
			if l, p, ok := entry.LoadShedState(now); ok {
				n++
				if math.Abs(l-Clamp(level, 0, 1)) > 0.003 || p != phase {
					t.Fatalf("%g and %d read as %g and %d", level, phase, l, p)
				}
			}
		}
		if fits != (n == 1) || n > 1 {
			t.Fatalf("%d states, space for one: %v", n, fits)
		}
		OverwriteLoadShedState(message, 1, 9)
		if _, _, _, entries, _ = Parse(message, now); fits {
			if l, p, ok := entries[0].LoadShedState(now); !ok || l != 1 || p != 9 {
				t.Fatal("not overwritten")
			}
		}
	})
}
