package peerprotocol

import (
	"testing"

	"eiderspread/internal/testbed/golden"
)

// Guards the bytes that gateways of different versions exchange: every field of a record, in each of the four layouts of a record's
// last bytes, and gossip entries.
func TestGoldenMessage(t *testing.T) {
	records := []Record{
		{AccountKey: 0x01020304, Plan: 5, Known: true, Total: 600.25, Available: 7.75, Demand: 8.5, InFlight: 9, Unacked: 10.25, Requested: 11.5, FirstRequested: 12.75, LowPriority: 0.2},
		{AccountKey: 0x11121314, Plan: 1, SharedBucket: true, Leases: true, Total: 16.25, Available: -17.5, Demand: 18.25, InFlight: 1900, Unacked: 20.25, LowPriority: 0.4, LeaseS: 2.35},
		{AccountKey: 0x21222324, Plan: 2, Leases: true, Total: 26, Available: 27, Demand: 28, InFlight: 29, Unacked: 30.5, Requested: 31, FirstRequested: 32.25, LowPriority: 1},
		{AccountKey: 0x31323334, Plan: 15, FromOwner: true, Known: true, SharedBucket: true, Leases: true, Total: 36, Available: 37.5, Demand: 3800, InFlight: 39, Requested: 40, BackoffS: 4.15,
			Slots: 42, LeaseS: 4},
		{AccountKey: 0x41424344, Plan: 4, FromOwner: true, Total: 46, Available: 47, Demand: 48, InFlight: 49, BackoffS: 5},
	}
	const now = 1000
	message := AppendHeader(nil, 77, 0x0102)
	for _, record := range records {
		message = AppendRecord(message, record)
	}
	message[RecordCountOffset] = byte(len(records))
	var gossip Gossip
	gossip.Add(GossipEntry{BackendHash: 0x5152, ClassTag: ClassTag("read"), Value: 0.6, At: now - 0.5})
	gossip.Add(GossipEntry{BackendHash: MaxBackendHash, ClassTag: UtilizationTag, Value: 0.8, At: now - 1.2})
	message = AppendLoadShedState(gossip.AppendNewest(message, 2, now, 5), 0.4, 200)
	stored := golden.Check(t, "message.bin", message)
	incarnation, sequence, gotRecords, entries, ok := Parse(stored, now)
	if !ok || incarnation != 77 || sequence != 0x0102 || len(entries) != 3 {
		t.Fatalf("parsed incarnation %d, sequence %d, %d entries, ok %v, want 77, 258, 3 and true", incarnation, sequence, len(entries), ok)
	}
	golden.Same(t, "records", gotRecords, records)
	for i, want := range []GossipEntry{{MaxBackendHash, UtilizationTag, 0.8, now - 1.2}, {0x5152, ClassTag("read"), 0.6, now - 0.5}} {
		golden.Same(t, "entry", entries[i], want)
	}
	if level, phase, ok := entries[2].LoadShedState(now); !ok || level != 0.4 || phase != 200 {
		t.Errorf("load-shedding state parsed as level %g, phase %d, ok %v, want 0.4, 200 and true", level, phase, ok)
	}
	golden.Check(t, "count.bin", MemberReport(3, 4, "1f00000000000002", 5, 6.25, 7.5, 8))
}
