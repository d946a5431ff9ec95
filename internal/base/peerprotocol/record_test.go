package peerprotocol

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A record is parsed as it was written, to the precision of its fields, with each set of fields that a sender may set.
func TestRecord_RoundTrip(t *testing.T) {
	quarters := func(t *rapid.T, name string, maxQuarters int) float64 {
		return float64(rapid.IntRange(0, maxQuarters).Draw(t, name)) / unitSteps
	}
	rapid.Check(t, func(t *rapid.T) {
		record := Record{
			AccountKey: rapid.Uint32().Draw(t, "key"), Plan: rapid.IntRange(0, planMask).Draw(t, "plan"),
			FromOwner: rapid.Bool().Draw(t, "owner"), Known: rapid.Bool().Draw(t, "known"),
			SharedBucket: rapid.Bool().Draw(t, "shared"), Leases: rapid.Bool().Draw(t, "leases"),
			Total: quarters(t, "total", math.MaxUint16), Available: quarters(t, "available", 32000) - 8,
			Demand: quarters(t, "demand", math.MaxUint16), InFlight: rapid.IntRange(0, math.MaxUint16).Draw(t, "in flight"),
			Requested: quarters(t, "requested", 255),
		}
		switch {
		case record.FromOwner:
			record.BackoffS = float64(rapid.IntRange(0, 255).Draw(t, "backoff")) * durationStepS
			if record.Leases {
				record.LeaseS = float64(rapid.IntRange(0, 255).Draw(t, "lease")) * durationStepS
				record.Slots = rapid.IntRange(0, 255).Draw(t, "slots")
			}
		case record.Leases && record.Requested == 0:
			record.LeaseS = float64(rapid.IntRange(0, 255).Draw(t, "lease")) * durationStepS
		default:
			record.FirstRequested = quarters(t, "first", 255)
		}
		if !record.FromOwner {
			record.Unacked, record.LowPriority = quarters(t, "unacked", 255), float64(rapid.IntRange(0, 1).Draw(t, "priority"))
		}
		message := AppendRecord(AppendHeader(nil, 3, 9), record)
		message[RecordCountOffset] = 1
		incarnation, sequence, records, entries, ok := Parse(message, 100)
		if !ok || incarnation != 3 || sequence != 9 || len(records) != 1 || len(entries) != 0 {
			t.Fatalf("parsed with ok %v: incarnation %d, sequence %d, records %v, entries %v, want one record of incarnation 3, sequence 9", ok, incarnation, sequence, records, entries)
		}
		got := records[0]
		if math.Abs(got.BackoffS-record.BackoffS) > durationStepS*1.01 || math.Abs(got.LeaseS-record.LeaseS) > durationStepS*1.01 {
			t.Fatalf("durations of %+v are parsed as %+v", record, got)
		}
		got.BackoffS, got.LeaseS = record.BackoffS, record.LeaseS
		if got != record {
			t.Fatalf("%+v is parsed as %+v", record, got)
		}
	})
}

func TestMemberReport(t *testing.T) {
	_, _, records, _, ok := Parse(MemberReport(1, 2, "ada", 3, 10, 4, 5), 100)
	want := Record{AccountKey: uint32(HashPoint("ada") >> 32), Plan: 3, Total: 10, Unacked: 4, InFlight: 5}
	if !ok || len(records) != 1 || records[0] != want {
		t.Errorf("parsed with ok %v: %+v, want %+v", ok, records, want)
	}
}

func TestParse_Incomplete(t *testing.T) {
	message := MemberReport(1, 2, "ada", 3, 10, 4, 5)
	for i := range message {
		if _, _, _, _, ok := Parse(message[:i], 100); ok {
			t.Errorf("Parse accepted the first %d of %d bytes", i, len(message))
		}
	}
	for name, change := range map[string]func(b []byte) []byte{
		"another version": func(b []byte) []byte { b[0]++; return b },
		"half an entry":   func(b []byte) []byte { return append(b, 1, 2) },
		"too long":        func(b []byte) []byte { return append(b, make([]byte, MaxLen)...) },
	} {
		if _, _, _, _, ok := Parse(change(append([]byte(nil), message...)), 100); ok {
			t.Errorf("%s: Parse accepted the message", name)
		}
	}
}
