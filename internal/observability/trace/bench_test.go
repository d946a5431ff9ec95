package trace

import (
	"strconv"
	"testing"

	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

// nullActions takes a module's actions; it remembers where the last request was sent.
type nullActions struct{ server string }

func (n *nullActions) Send(_, server string, _ float64) { n.server = server }
func (*nullActions) Reject(string, float64)             {}
func (*nullActions) Fail(string)                        {}
func (*nullActions) Cancel(string, int)                 {}
func (*nullActions) SetTimer(uint64, float64)           {}
func (*nullActions) Probe(string)                       {}
func (*nullActions) SendPeerMessage(int, []byte)        {}
func (*nullActions) Log(string)                         {}

// BenchmarkModule is what a request and its answer cost the module with nobody asking for reasons, and with the recorder's ring. The
// writer's part, off the loop, is BenchmarkWrite.
func BenchmarkModule(b *testing.B) {
	for _, traced := range []bool{false, true} {
		name := "off"
		if traced {
			name = "on"
		}
		b.Run(name, func(b *testing.B) {
			n := &nullActions{}
			s := policy.Settings{Gateways: 1, MaxAttempts: 3, MaxRequestUnits: 4, Classes: []policy.Class{{Name: "look", LatencyObjectiveS: 1, DeadlineS: 2, PriorityWeight: 1}},
				Plans: []policy.Plan{{Name: "p", Rate: 1e9, Burst: 1e9, Weight: 1, HardLimitRate: 2e9, HardLimitBurst: 2e9}}}
			now := 100.0
			g, err := policy.New(s, 1, now, n)
			if err != nil {
				b.Fatal(err)
			}
			g.UpdateBackends(now, []policy.Backend{{ID: "s1"}, {ID: "s2"}, {ID: "s3"}}, true)
			r := NewRing(ringSize)
			var list []reason.Decision
			if traced {
				g.SetTracer(r.Put)
			}
			now += 10
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := strconv.Itoa(i)
				now += 0.0001
				g.HandleRequest(now, policy.Request{ID: id, Class: "look", Plan: "p", Account: "c", DeadlineAt: now + 2, GatewayCount: 1, Units: 1})
				g.HandleOutcome(now+0.00005, policy.Outcome{ID: id, Backend: n.server, Status: policy.OK, Completed: true, LatencyS: 0.01})
				if i%200 == 0 {
					g.HandleTimer(now, 1)
					list, _ = r.Drain(list[:0])
				}
			}
		})
	}
}

// BenchmarkWrite is what a record costs the writer, and its size on disk.
func BenchmarkWrite(b *testing.B) {
	c := &byteCounter{to: discard{}}
	w, err := NewWriter(c, Header{})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]reason.Decision, 1000)
	for i := range list {
		list[i] = testRecord(i)
		list[i].RemainingS, list[i].ObjectiveRemainingS, list[i].MeanLatencyS, list[i].HardLimitLocal, list[i].HardLimitShared, list[i].LocalDemand, list[i].OtherDemand = 1, 0.5, 0.1, 3, 4, 20, 30
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

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
