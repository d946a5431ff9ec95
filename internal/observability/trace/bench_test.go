package trace

import (
	"io"
	"strconv"
	"testing"

	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

// discardActions ignores all actions of the decision module, except that it stores the backend of the last sent request.
type discardActions struct{ backend string }

func (n *discardActions) Send(_, backend string, _ float64) { n.backend = backend }
func (*discardActions) Reject(string, float64)              {}
func (*discardActions) Fail(string)                         {}
func (*discardActions) Cancel(string, int)                  {}
func (*discardActions) SetTimer(uint64, float64)            {}
func (*discardActions) Probe(string)                        {}
func (*discardActions) SendPeerMessage(int, []byte)         {}
func (*discardActions) Log(string)                          {}

// BenchmarkModule measures the decision module's time for one request and its outcome, without a tracer ("off") and with the
// ring as the tracer ("on"). The writer does not run on the event loop; BenchmarkWrite measures it.
func BenchmarkModule(b *testing.B) {
	b.Run("off", func(b *testing.B) { benchmarkModule(b, false) })
	b.Run("on", func(b *testing.B) { benchmarkModule(b, true) })
}

func benchmarkModule(b *testing.B, traced bool) {
	actions := &discardActions{}
	settings := policy.Settings{
		Gateways: 1, MaxAttempts: 3, MaxRequestUnits: 4,
		Classes: []policy.Class{{Name: "look", LatencyObjectiveS: 1, DeadlineS: 2, PriorityWeight: 1}},
		Plans:   []policy.Plan{{Name: "p", Rate: 1e9, Burst: 1e9, Weight: 1, HardLimitRate: 2e9, HardLimitBurst: 2e9}},
	}
	now := 100.0
	gateway, err := policy.New(settings, 1, now, actions)
	if err != nil {
		b.Fatal(err)
	}
	gateway.UpdateBackends(now, []policy.Backend{{ID: "s1"}, {ID: "s2"}, {ID: "s3"}}, true)
	ring := NewRing(ringSize)
	if traced {
		gateway.SetTracer(ring.Put)
	}
	var list []reason.Decision
	now += 10
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		now += 0.0001
		gateway.HandleRequest(now, policy.Request{ID: id, Class: "look", Plan: "p", Account: "c", DeadlineAt: now + 2, GatewayCount: 1, Units: 1})
		gateway.HandleOutcome(now+0.00005, policy.Outcome{ID: id, Backend: actions.backend, Status: policy.OK, Completed: true, LatencyS: 0.01})
		if i%200 == 0 {
			gateway.HandleTimer(now, 1)
			list, _ = ring.Drain(list[:0])
		}
	}
}

// BenchmarkWrite measures the writer's time and the file size for one decision.
func BenchmarkWrite(b *testing.B) {
	w, err := NewWriter(io.Discard, Header{})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]reason.Decision, 1000)
	for i := range list {
		d := testDecision(i)
		d.RemainingS, d.ObjectiveRemainingS, d.MeanLatencyS = 1, 0.5, 0.1
		d.HardLimitLocal, d.HardLimitShared, d.LocalDemand, d.OtherDemand = 3, 4, 20, 30
		list[i] = d
	}
	n := 0
	for b.Loop() {
		if err := w.Write(list, 0); err != nil {
			b.Fatal(err)
		}
		n += len(list)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/record")
	b.ReportMetric(float64(w.Size())/float64(n), "bytes/record")
}
