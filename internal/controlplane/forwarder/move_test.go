package forwarder

import (
	"encoding/json"
	"slices"
	"testing"

	"eiderspread/internal/base/snapshot"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// encodeAndDecode is what a forwarder knows after its way to another process.
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

// migrate is the core of a new process that takes over what r's knows.
func (t *testCore) migrate() *testCore {
	t.t.Helper()
	successor := newTestCore(t.t)
	successor.now = t.now
	transferred := encodeAndDecode(t.t, t.core.Migrate(t.now))
	if !successor.core.Resume(t.now, transferred) {
		t.t.Error("promises did not go over")
	}
	return successor
}

// Guards fencing across a replacement: a promise goes on, neither longer nor shorter, and the old process gives none.
func TestMigrate_Promises(t *testing.T) {
	if !topology.Fenced {
		t.Skip("a build without fencing")
	}
	predecessor := newTestCore(t)
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
	successor.expect("p1 grant", "p1 end")
}

// Guards requests under way at a replacement, each by its class and by what has become of its attempts.
func TestMigrate_Requests(t *testing.T) {
	predecessor := newTestCore(t)
	predecessor.elect(0, 5)
	predecessor.request("out", "look")
	predecessor.decideSend(0, 5, "z1", 1)
	predecessor.request("waits", "bill")
	predecessor.request("key", "hold")
	predecessor.decideSend(0, 5, "z1", 2)
	predecessor.attemptEnds("key", 0, policy.Error) // it ran, and its leader tries again
	predecessor.receive(0, transport.Message{Kind: transport.KindSend, Cell: predecessor.cellID(), Epoch: 5, Handle: predecessor.core.lastHandle, Name: "z2", DurationS: 1, Round: 3, Units: 2})
	predecessor.now += 3.2
	transferred := encodeAndDecode(t, predecessor.core.Migrate(predecessor.now))
	if len(transferred.Requests) != 3 {
		t.Fatalf("%+v", transferred)
	}
	const shift = 50.0 // of the clocks
	successor := newTestCore(t)
	successor.now = predecessor.now + shift
	transferred.Shift(shift)
	successor.core.Resume(successor.now, transferred)
	successor.elect(0, 5)
	successor.expect("p0 grant", "p0 outs", "p0 request") // what is out is not told anew
	if request := successor.core.requests["waits"]; request.DeadlineAt != 1001+4+shift {
		t.Errorf("a deadline of %v", request.DeadlineAt)
	}
	successor.decideSend(0, 5, "z3", 4)
	successor.expect("send waits z3")
	successor.attemptEnds("waits", 0, policy.Reset)
	successor.expect("p0 outcome")
	successor.attemptEnds("key", 1, policy.Rejected)
	successor.expect("p0 outs", "refuse key") // it ran 3.2 s ago: too late for its key
	successor.attemptEnds("out", 0, policy.OK)
	successor.expect("p0 outs")
	if len(successor.core.requests) != 1 || len(successor.core.orphans) != 0 {
		t.Errorf("%d open, %d orphans", len(successor.core.requests), len(successor.core.orphans))
	}
}

// Guards tales: a successor's are the old process's, and complete if those were.
func TestMigrate_UsageReports(t *testing.T) {
	predecessor := newTestCore(t)
	predecessor.now += 10
	predecessor.elect(0, 5)
	predecessor.request("a", "look")
	predecessor.decideSend(0, 5, "z1", 1)
	successor := predecessor.migrate()
	successor.now += 0.6
	successor.core.LinkUp(successor.now, 1, 8)
	successor.receive(1, transport.Message{Kind: transport.KindClaim, Cell: successor.cellID(), Epoch: 6, Round: 1})
	successor.expect("p1 grant", "p1 tale", "p1 outs", "p1 end")
	if !successor.lastMessage.Flag {
		t.Error("the tale is not complete")
	}
}

// Guards the way back from a successor that died: what it had sent is known, and its promises are feared.
func TestReclaim_AfterSuccessorDied(t *testing.T) {
	predecessor := newTestCore(t)
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
			t.Errorf("not told as incomplete: %+v", predecessor.lastMessage)
		}
		predecessor.calls = nil
		predecessor.receive(0, transport.Message{Kind: transport.KindLead, Cell: predecessor.cellID(), Epoch: 5})
		predecessor.expect("p0 outs", "p0 request", "p0 request") // late and waits
	}
	predecessor.attemptEnds("sent", 0, policy.Timeout)
	if !slices.Contains(predecessor.calls, "fail sent") {
		t.Errorf("what may have run: %v", predecessor.calls)
	}
}

// Guards a successor of other settings: what it can't go on with ends, the rest goes on.
func TestResume_OtherSettings(t *testing.T) {
	predecessor := newTestCore(t)
	predecessor.elect(0, 5)
	predecessor.request("a", "bill")
	predecessor.request("b", "look")
	transferred := encodeAndDecode(t, predecessor.core.Migrate(predecessor.now))
	successor := newTestCore(t)
	delete(successor.core.classIndex, "bill")
	transferred.Cells = transferred.Cells[:1]
	if successor.core.Resume(successor.now, transferred) {
		t.Error("promises of other cells were taken")
	}
	successor.expect("fail a")
	if cell := successor.core.cells[0]; cell.holder != -1 || cell.promisedUntil < successor.now+successor.core.cfg.LeaseS {
		t.Errorf("%+v", cell)
	}
}

// Guards the parts against a message's bound, and against each other's order.
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

// Guards fencing against a process before whose knowledge can't be read: what it may have promised stands for a lease from then on, not
// from this one's start.
func TestResume_UnreadableParts(t *testing.T) {
	core := newTestCore(t) // whose own lease is over by now
	gateway := &RemoteGateway{core: core.core}
	if gateway.Resume(core.now, 0, []snapshot.Part{{}}) == nil {
		t.Error("parts of something else were taken")
	}
	core.core.LinkUp(core.now, 0, 7)
	core.receive(0, transport.Message{Kind: transport.KindClaim, Cell: core.cellID(), Epoch: 5, Round: 1})
	core.expect()
	core.now += core.core.cfg.LeaseS + 0.01
	core.receive(0, transport.Message{Kind: transport.KindClaim, Cell: core.cellID(), Epoch: 5, Round: 2})
	core.expect("p0 grant", "p0 end")
}
