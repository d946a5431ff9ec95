package peerprotocol

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A message that also has records and entries carries the load-shedding state whole, or not at all if there is no space for it, and the
// state is told apart from the other entries.
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
		for i := range rapid.IntRange(0, 9).Draw(t, "entries") {
			gossip.Add(GossipEntry{BackendHash: min(uint16(rapid.Uint32().Draw(t, "backend hash")), MaxBackendHash), ClassTag: []int{3, UtilizationTag}[i%2], Value: 0.5, At: now})
		}
		fits := len(message)+EntryLen <= MaxLen
		message = gossip.AppendNewest(AppendLoadShedState(message, level, phase), 6, now, 1)
		_, _, records, entries, ok := Parse(message, now)
		if !ok || len(records) != count {
			t.Fatal("Parse rejected the message or returned a wrong number of records")
		}
		n := 0
		for _, entry := range entries {
			if l, p, ok := entry.LoadShedState(now); ok {
				n++
				if math.Abs(l-Clamp(level, 0, 1)) > 0.003 || p != phase {
					t.Fatalf("level %g and phase %d are parsed as %g and %d", level, phase, l, p)
				}
			}
		}
		if fits != (n == 1) || n > 1 {
			t.Fatalf("%d load-shedding states in the message, want one if there is space for it (%v), else none", n, fits)
		}
		OverwriteLoadShedState(message, 1, 9)
		if _, _, _, entries, _ = Parse(message, now); fits {
			if l, p, ok := entries[0].LoadShedState(now); !ok || l != 1 || p != 9 {
				t.Fatal("the load-shedding state is not overwritten, want level 1 and phase 9")
			}
		}
	})
}
