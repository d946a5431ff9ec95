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

// encodeAndDecode splits a state, encodes and decodes its parts as JSON, and returns the joined result, as a new process receives it.
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
		t.Fatal("Join rejected the parts made by Split")
	}
	return got
}

// migrate returns a fixture of a new process that has taken over f's state.
func (f *fixture) migrate() *fixture {
	f.t.Helper()
	successor := newFixture(f.t)
	successor.now = f.now
	transferred := encodeAndDecode(f.t, f.core.Migrate(f.now))
	if !successor.core.Resume(f.now, transferred) {
		f.t.Error("Resume reports that the promises were not restored")
	}
	return successor
}

// Guards against two leaders of one cell when a forwarder is replaced: a promise expires in the new process at the time at which it would
// have expired in the old one, and the old process grants none.
func TestMigrate_Promises(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("promises do not bind in a build without fencing")
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
	successor.receive(0, transport.Message{Kind: transport.KindLeaderAnnouncement, Cell: successor.cellID(), Epoch: 5}) // no claim is needed, as the promise was handed over
	if !successor.core.cells[successor.cellID()].hasLeader {
		t.Error("the new process does not follow the leader that the old process followed")
	}
	successor.now += successor.core.cfg.LeaseS - 0.21
	claim(1, 6)
	successor.expect()
	successor.now += 0.02
	claim(1, 6)
	successor.expect("p1 grant", "p1 usage-end")
}

// Guards the continuation of requests in a new process: it depends on their class and on the outcomes of their attempts. No attempt in flight
// is repeated, and a deadline keeps its distance although the clocks differ.
func TestMigrate_Requests(t *testing.T) {
	predecessor := newFixture(t)
	predecessor.elect(0, 5)
	predecessor.request("out", "look")
	predecessor.decideSend(0, 5, "z1", 1)
	predecessor.request("waits", "bill")
	predecessor.request("key", "hold")
	predecessor.decideSend(0, 5, "z1", 2)
	predecessor.endAttempt("key", 0, policy.Error) // the attempt may have run, and the leader retries
	predecessor.receive(0, transport.Message{Kind: transport.KindSend, Cell: predecessor.cellID(), Epoch: 5, Handle: predecessor.core.lastHandle, Name: "z2", DurationS: 1, Round: 3, Units: 2})
	predecessor.now += 3.2
	transferred := encodeAndDecode(t, predecessor.core.Migrate(predecessor.now))
	if len(transferred.Requests) != 3 {
		t.Fatalf("got %d transferred requests, want 3: %+v", len(transferred.Requests), transferred)
	}
	const shift = 50.0 // difference between the processes' clocks, in seconds
	successor := newFixture(t)
	successor.now = predecessor.now + shift
	transferred.Shift(shift)
	successor.core.Resume(successor.now, transferred)
	successor.elect(0, 5)
	successor.expect("p0 grant", "p0 orphans", "p0 request") // requests with an attempt in flight are not submitted again
	if request := successor.core.requests["waits"]; request.DeadlineAt != 1001+4+shift {
		t.Errorf("got a deadline of %v, want %v", request.DeadlineAt, 1001+4+shift)
	}
	successor.decideSend(0, 5, "z3", 4)
	successor.expect("send waits z3")
	successor.endAttempt("waits", 0, policy.Reset)
	successor.expect("p0 outcome")
	successor.endAttempt("key", 1, policy.Rejected)
	successor.expect("p0 orphans", "reject key") // it may have run 3.2 s ago: its key is not remembered for long enough
	successor.endAttempt("out", 0, policy.OK)
	successor.expect("p0 orphans")
	if len(successor.core.requests) != 1 || len(successor.core.orphans) != 0 {
		t.Errorf("got %d open requests and %d accounts with orphans, want 1 and 0", len(successor.core.requests), len(successor.core.orphans))
	}
}

// Guards against usage that is lost when a forwarder is replaced: the new process reports the usage recorded by the old one, and its report
// is complete if one of the old process would have been.
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
		t.Error("usage report is marked incomplete, want complete")
	}
}

// Guards the recovery after a new process has died: the old process knows which requests the new one sent, and grants no promise while
// promises of the new one may be valid.
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
	predecessor.endAttempt("done", 0, policy.OK)
	predecessor.expect()
	predecessor.core.Reclaim(predecessor.now)
	predecessor.core.LinkUp(predecessor.now, 0, 7)
	// the forwarder does not renew its promise: another planner may hold a newer one
	predecessor.receive(0, transport.Message{Kind: transport.KindClaim, Cell: predecessor.cellID(), Epoch: 5, Round: 9})
	predecessor.expect()
	if topology.FencingEnabled {
		predecessor.now += predecessor.core.cfg.LeaseS + 0.01
		predecessor.receive(0, transport.Message{Kind: transport.KindClaim, Cell: predecessor.cellID(), Epoch: 5, Round: 10})
		if predecessor.lastMessage.Kind != transport.KindUsageReportEnd || predecessor.lastMessage.Flag {
			t.Errorf("last message is %+v, want the end of an incomplete usage report", predecessor.lastMessage)
		}
		predecessor.calls = nil
		predecessor.receive(0, transport.Message{Kind: transport.KindLeaderAnnouncement, Cell: predecessor.cellID(), Epoch: 5})
		predecessor.expect("p0 orphans", "p0 request", "p0 request") // requests late and waits
	}
	predecessor.endAttempt("sent", 0, policy.Timeout)
	if !slices.Contains(predecessor.calls, "fail sent") {
		t.Errorf("got calls %v, want fail sent among them: the request may have run", predecessor.calls)
	}
}

// A new process with other settings fails requests of a class that it does not have and restores the others. With another number of cells it
// does not restore promises.
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
		t.Error("Resume restored the promises of a fleet with a different number of cells")
	}
	successor.expect("fail a")
	if cell := successor.core.cells[0]; cell.holder != -1 || cell.until < successor.now+successor.core.cfg.LeaseS {
		t.Errorf("got cell %+v, want no holder and no promise for a lease", cell)
	}
}

// Guards against parts of a state that are too large for one message, and against data lost between Split and Join.
func TestTransferredState_PartSize(t *testing.T) {
	transferred := snapshot.ForwarderState{Incarnation: 1 << 63, LastHandle: 1<<64 - 1, Cordons: map[string]snapshot.Cordon{}}
	for i := range 5000 {
		transferred.UsageReports = append(transferred.UsageReports, snapshot.UsageReport{Account: testAccount, Plan: 1, Epoch: 1<<63 + uint64(i), Sequence: uint32(i), Debt: 1.5, ReportedAt: 1e9})
		transferred.Requests = append(transferred.Requests, snapshot.OpenRequest{Request: policy.Request{ID: string(make([]byte, 100)), Account: testAccount}, SentAt: []float64{1, 2}, AttemptDone: []bool{true, false}})
	}
	for _, p := range transferred.Split() {
		if b, err := json.Marshal(p); err != nil || len(b) > 128<<10 {
			t.Fatalf("got a part of %d bytes and error %v, want at most %d bytes", len(b), err, 128<<10)
		}
	}
	got := encodeAndDecode(t, transferred)
	if len(got.UsageReports) != 5000 || got.UsageReports[4999] != transferred.UsageReports[4999] || len(got.Requests) != 5000 || got.Incarnation != transferred.Incarnation || got.LastHandle != transferred.LastHandle {
		t.Error("the joined state differs from the one that was split")
	}
}

// Guards against two leaders of one cell when the predecessor's state can't be read. The predecessor's promises may still be valid, so the
// forwarder grants no promise for one lease, counted from the failed Resume and not from the forwarder's start.
func TestResume_UnreadableParts(t *testing.T) {
	f := newFixture(t) // the lease that began at the forwarder's start has ended
	gateway := &RemoteGateway{core: f.core}
	if gateway.Resume(f.now, 0, []snapshot.Part{{}}) == nil {
		t.Error("Resume accepted parts that are not a forwarder's state")
	}
	f.core.LinkUp(f.now, 0, 7)
	f.receive(0, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 5, Round: 1})
	f.expect()
	f.now += f.core.cfg.LeaseS + 0.01
	f.receive(0, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 5, Round: 2})
	f.expect("p0 grant", "p0 usage-end")
}
