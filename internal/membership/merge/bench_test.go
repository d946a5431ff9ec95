package merge

import (
	"fmt"
	"testing"
)

// BenchmarkMerger_Update measures the update of one node among 10,000 that two sources list.
func BenchmarkMerger_Update(b *testing.B) {
	m := newTestMerger()
	var list []Node
	for i := range 10_000 {
		list = append(list, node(fmt.Sprint(i), 0, Up))
	}
	m.ReplaceAll(100, "etcd", list)
	m.ReplaceAll(100, "roster", list)
	b.ReportAllocs()
	now := 100.0
	for i := 0; b.Loop(); i++ {
		now += 0.01
		m.Update(now, "etcd", []Node{node(fmt.Sprint(i%10_000), 0, State(i/10_000%2))})
		if i%10 == 0 {
			m.MarkResumed(now, "roster")
			m.Tick(now)
		}
	}
}
