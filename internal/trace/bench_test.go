package trace

import (
	"strconv"
	"testing"

	"eiderspread/internal/why"
	"eiderspread/policy"
)

// nobody takes a module's actions; it remembers where the last request was sent.
type nobody struct{ server string }

func (n *nobody) Send(_, server string, _ float64) { n.server = server }
func (*nobody) Refuse(string, float64)             {}
func (*nobody) Fail(string)                        {}
func (*nobody) Cancel(string, int)                 {}
func (*nobody) SetTimer(uint64, float64)           {}
func (*nobody) Probe(string)                       {}
func (*nobody) Tell(int, []byte)                   {}
func (*nobody) Log(string)                         {}

// BenchmarkModule is what a request and its answer cost the module with nobody asking for reasons, and with the recorder's ring. The
// writer's part, off the loop, is BenchmarkWrite.
func BenchmarkModule(b *testing.B) {
	for _, traced := range []bool{false, true} {
		name := "off"
		if traced {
			name = "on"
		}
		b.Run(name, func(b *testing.B) {
			n := &nobody{}
			s := policy.Settings{Gateways: 1, MaxAttempts: 3, MaxUnits: 4, Classes: []policy.Class{{Name: "look", AimS: 1, DeadlineS: 2, Worth: 1}},
				Plans: []policy.Plan{{Name: "p", Rate: 1e9, Burst: 1e9, Price: 1, CeilingRate: 2e9, CeilingBurst: 2e9}}}
			now := 100.0
			g, err := policy.New(s, 1, now, n)
			if err != nil {
				b.Fatal(err)
			}
			g.Servers(now, []policy.Server{{ID: "s1"}, {ID: "s2"}, {ID: "s3"}}, true)
			r := NewRing(ringSize)
			var list []why.Decision
			if traced {
				g.Trace(r.Put)
			}
			now += 10
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := strconv.Itoa(i)
				now += 0.0001
				g.Request(now, policy.Request{ID: id, Class: "look", Plan: "p", Customer: "c", DeadlineS: now + 2, Entries: 1, Units: 1})
				g.Outcome(now+0.00005, policy.Outcome{ID: id, Server: n.server, Status: policy.OK, Over: true, SpentS: 0.01})
				if i%200 == 0 {
					g.Timer(now, 1)
					list, _ = r.Take(list[:0])
				}
			}
		})
	}
}

// BenchmarkWrite is what a record costs the writer, and its size on disk.
func BenchmarkWrite(b *testing.B) {
	c := &counter{to: discard{}}
	w, err := NewWriter(c, Header{})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]why.Decision, 1000)
	for i := range list {
		list[i] = record(i)
		list[i].Left, list[i].Aim, list[i].Lat, list[i].Ceil, list[i].Pool, list[i].Mine, list[i].Others = 1, 0.5, 0.1, 3, 4, 20, 30
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
