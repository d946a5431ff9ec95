package trace

import (
	"io"
	"strconv"
	"testing"

	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

// nullActions takes a module's actions; it remembers where the last request was sent.
type nullActions struct{ backend string }

func (n *nullActions) Send(_, backend string, _ float64) { n.backend = backend }
func (*nullActions) Reject(string, float64)              {}
func (*nullActions) Fail(string)                         {}
func (*nullActions) Cancel(string, int)                  {}
func (*nullActions) SetTimer(uint64, float64)            {}
func (*nullActions) Probe(string)                        {}
func (*nullActions) SendPeerMessage(int, []byte)         {}
func (*nullActions) Log(string)                          {}

// BenchmarkModule measures a request and its answer in the decision module, without a tracer and with the recorder's ring.
// The writer, off the event loop, is BenchmarkWrite.
func BenchmarkModule(b *testing.B) {
	b.Run("off", func(b *testing.B) { benchmarkModule(b, false) })
	b.Run("on", func(b *testing.B) { benchmarkModule(b, true) })
}

func benchmarkModule(b *testing.B, traced bool) {
	actions := &nullActions{}
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

// BenchmarkWrite measures the writer's time for a decision, and the decision's size on disk.
func BenchmarkWrite(b *testing.B) {
	w, err := NewWriter(io.Discard, Header{})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]reason.Decision, 1000)
	for i := range list {
		d := testRecord(i)
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
