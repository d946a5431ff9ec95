package forwarder

import (
	"encoding/json"
	"slices"
	"testing"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/policy"
)

// encodeAndDecode returns a state as it arrives in another process.
func encodeAndDecode(t *testing.T, transferred snapshot.ForwarderState) snapshot.ForwarderState {
	t.Helper()
	var parts []snapshot.Part
	for _, p := range transferred.Split() {
		b, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		var got snapshot.Part
		if err := json.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		parts = append(parts, got)
	}
	got, ok := snapshot.Join(parts)
	if !ok {
		t.Fatal("parts of something else")
	}
	return got
}

// migrate returns the core of a new process that goes on with f's state.
func (f *fixture) migrate() *fixture {
	f.t.Helper()
	successor := newFixture(f.t)
	successor.now = f.now
	transferred := encodeAndDecode(f.t, f.core.Migrate(f.now))
	if !successor.core.Resume(f.now, transferred) {
		f.t.Error("promises were not taken over")
	}
	return successor
}

// A promise goes on in the new process neither longer nor shorter, and the old process gives none.
func TestMigrate_Promises(t *testing.T) {
	if !topology.Fenced {
		t.Skip("a build without fencing")
	}
	predecessor := newFixture(t)
	predecessor.elect(0, 5)
	predecessor.now += 0.2
	successor := predecessor.migrate()
	predecessor.calls = nil
	predecessor.receive(1, transport.Message{Kind: transport.KindClaim, Cell: predecessor.cellID(), Epoch: 9, Round: 1})
	predecessor.core.LinkUp(predecessor.now, 1, 8)
	predecessor.core.Tick(predecessor.now + 5)
	predecessor.expect()
	claim := func(planner int, epoch uint64) {
		successor.receive(planner, transport.Message{Kind: transport.KindClaim, Cell: successor.cellID(), Epoch: epoch, Round: 2})
	}
	successor.core.LinkUp(successor.now, 0, 7)
	successor.core.LinkUp(successor.now, 1, 8)
	claim(1, 6)
	successor.expect()
	successor.receive(0, transport.Message{Kind: transport.KindLead, Cell: successor.cellID(), Epoch: 5}) // without a claim: the promise is known
	if !successor.core.cells[successor.cellID()].hasLeader {
		t.Error("the leader that the old process followed is not followed")
	}
	successor.now += successor.core.cfg.LeaseS - 0.21
	claim(1, 6)
	successor.expect()
	successor.now += 0.02
	claim(1, 6)
	successor.expect("p1 grant", "p1 usage-end")
}

// Requests go on in the new process by their class and by what has become of their attempts.
func TestMigrate_Requests(t *testing.T) {
	predecessor := newFixture(t)
	predecessor.elect(0, 5)
	predecessor.request("out", "look")
	predecessor.decideSend(0, 5, "z1", 1)
	predecessor.request("waits", "bill")
	predecessor.request("key", "hold")
	predecessor.decideSend(0, 5, "z1", 2)
	predecessor.attemptEnds("key", 0, policy.Error) // it ran, and its leader retries
	predecessor.receive(0, transport.Message{Kind: transport.KindSend, Cell: predecessor.cellID(), Epoch: 5, Handle: predecessor.core.lastHandle, Name: "z2", DurationS: 1, Round: 3, Units: 2})
	predecessor.now += 3.2
	transferred := encodeAndDecode(t, predecessor.core.Migrate(predecessor.now))
	if len(transferred.Requests) != 3 {
		t.Fatalf("%+v", transferred)
	}
	const shift = 50.0 // of the clocks
	successor := newFixture(t)
	successor.now = predecessor.now + shift
	transferred.Shift(shift)
	successor.core.Resume(successor.now, transferred)
	successor.elect(0, 5)
	successor.expect("p0 grant", "p0 orphans", "p0 request") // what is in flight is not submitted anew
	if request := successor.core.requests["waits"]; request.DeadlineAt != 1001+4+shift {
		t.Errorf("a deadline of %v", request.DeadlineAt)
	}
	successor.decideSend(0, 5, "z3", 4)
	successor.expect("send waits z3")
	successor.attemptEnds("waits", 0, policy.Reset)
	successor.expect("p0 outcome")
	successor.attemptEnds("key", 1, policy.Rejected)
	successor.expect("p0 orphans", "reject key") // it ran 3.2 s ago: too late for its key
	successor.attemptEnds("out", 0, policy.OK)
	successor.expect("p0 orphans")
	if len(successor.core.requests) != 1 || len(successor.core.orphans) != 0 {
		t.Errorf("%d open, %d orphans", len(successor.core.requests), len(successor.core.orphans))
	}
}

// The new process reports the usage that the old one knew, and completely if that one could.
func TestMigrate_UsageReports(t *testing.T) {
	predecessor := newFixture(t)
	predecessor.now += 10
	predecessor.elect(0, 5)
	predecessor.request("a", "look")
	predecessor.decideSend(0, 5, "z1", 1)
	successor := predecessor.migrate()
	successor.now += 0.6
	successor.core.LinkUp(successor.now, 1, 8)
	successor.receive(1, transport.Message{Kind: transport.KindClaim, Cell: successor.cellID(), Epoch: 6, Round: 1})
	successor.expect("p1 grant", "p1 usage", "p1 orphans", "p1 usage-end")
	if !successor.lastMessage.Flag {
		t.Error("the report is not complete")
	}
}

// After the new process has died, the old one knows what that sent, and gives no promise while that one's may last.
func TestReclaim_AfterSuccessorDied(t *testing.T) {
	predecessor := newFixture(t)
	predecessor.now += 10
	predecessor.elect(0, 5)
	predecessor.request("waits", "bill")
	predecessor.request("sent", "bill")
	predecessor.request("done", "look")
	predecessor.core.Migrate(predecessor.now)
	predecessor.calls = nil
	predecessor.core.HandleRequest(predecessor.now, policy.Request{ID: "late", Class: "look", Plan: "basic", Account: testAccount, DeadlineAt: predecessor.now + 4, Units: 2})
	predecessor.core.RecordOrder(predecessor.now, snapshot.Order{Kind: snapshot.OrderSend, ID: "sent", Backend: "z1"})
	predecessor.core.RecordOrder(predecessor.now, snapshot.Order{Kind: snapshot.OrderSend, ID: "done", Backend: "z1"})
	predecessor.attemptEnds("done", 0, policy.OK)
	predecessor.expect()
	predecessor.core.Reclaim(predecessor.now)
	predecessor.core.LinkUp(predecessor.now, 0, 7)
	predecessor.receive(0, transport.Message{Kind: transport.KindClaim, Cell: predecessor.cellID(), Epoch: 5, Round: 9}) // a renewal: another may have a newer promise
	predecessor.expect()
	if topology.Fenced {
		predecessor.now += predecessor.core.cfg.LeaseS + 0.01
		predecessor.receive(0, transport.Message{Kind: transport.KindClaim, Cell: predecessor.cellID(), Epoch: 5, Round: 10})
		if predecessor.lastMessage.Kind != transport.KindUsageReportEnd || predecessor.lastMessage.Flag {
			t.Errorf("not reported as incomplete: %+v", predecessor.lastMessage)
		}
		predecessor.calls = nil
		predecessor.receive(0, transport.Message{Kind: transport.KindLead, Cell: predecessor.cellID(), Epoch: 5})
		predecessor.expect("p0 orphans", "p0 request", "p0 request") // late and waits
	}
	predecessor.attemptEnds("sent", 0, policy.Timeout)
	if !slices.Contains(predecessor.calls, "fail sent") {
		t.Errorf("what may have run: %v", predecessor.calls)
	}
}

// A new process with other settings ends what it can't go on with, and goes on with the rest.
func TestResume_OtherSettings(t *testing.T) {
	predecessor := newFixture(t)
	predecessor.elect(0, 5)
	predecessor.request("a", "bill")
	predecessor.request("b", "look")
	transferred := encodeAndDecode(t, predecessor.core.Migrate(predecessor.now))
	successor := newFixture(t)
	delete(successor.core.classIndex, "bill")
	transferred.Cells = transferred.Cells[:1]
	if successor.core.Resume(successor.now, transferred) {
		t.Error("promises of other cells were taken")
	}
	successor.expect("fail a")
	if cell := successor.core.cells[0]; cell.holder != -1 || cell.until < successor.now+successor.core.cfg.LeaseS {
		t.Errorf("%+v", cell)
	}
}

// Each part fits into a message, and together they are the state.
func TestTransferredState_PartSize(t *testing.T) {
	transferred := snapshot.ForwarderState{Incarnation: 1 << 63, LastHandle: 1<<64 - 1, Cordons: map[string]snapshot.Cordon{}}
	for i := range 5000 {
		transferred.UsageReports = append(transferred.UsageReports, snapshot.UsageReport{Account: testAccount, Plan: 1, Epoch: 1<<63 + uint64(i), Sequence: uint32(i), Debt: 1.5, ReportedAt: 1e9})
		transferred.Requests = append(transferred.Requests, snapshot.OpenRequest{Request: policy.Request{ID: string(make([]byte, 100)), Account: testAccount}, SentAt: []float64{1, 2}, AttemptDone: []bool{true, false}})
	}
	for _, p := range transferred.Split() {
		if b, err := json.Marshal(p); err != nil || len(b) > 128<<10 {
			t.Fatalf("a part of %d bytes, %v", len(b), err)
		}
	}
	got := encodeAndDecode(t, transferred)
	if len(got.UsageReports) != 5000 || got.UsageReports[4999] != transferred.UsageReports[4999] || len(got.Requests) != 5000 || got.Incarnation != transferred.Incarnation || got.LastHandle != transferred.LastHandle {
		t.Error("something is lost")
	}
}

// If the state can't be read, what the process before has promised counts for a lease from then on, not from this process's start.
func TestResume_UnreadableParts(t *testing.T) {
	f := newFixture(t) // whose own lease is over by now
	gateway := &RemoteGateway{core: f.core}
	if gateway.Resume(f.now, 0, []snapshot.Part{{}}) == nil {
		t.Error("parts of something else were taken")
	}
	f.core.LinkUp(f.now, 0, 7)
	f.receive(0, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 5, Round: 1})
	f.expect()
	f.now += f.core.cfg.LeaseS + 0.01
	f.receive(0, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 5, Round: 2})
	f.expect("p0 grant", "p0 usage-end")
}
