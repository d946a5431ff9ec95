package member

import (
	"fmt"
	"testing"
)

// BenchmarkChange is one node that changes among 10,000 that two sources list.
func BenchmarkChange(b *testing.B) {
	c := newCore()
	var list []Node
	for i := range 10_000 {
		list = append(list, node(fmt.Sprint(i), 0, Up))
	}
	c.Whole(100, "etcd", list)
	c.Whole(100, "roster", list)
	b.ReportAllocs()
	now := 100.0
	for i := 0; b.Loop(); i++ {
		now += 0.01
		c.Change(now, "etcd", []Node{node(fmt.Sprint(i%10_000), 0, State(i/10_000%2))})
		if i%10 == 0 {
			c.Resumed(now, "roster")
			c.Tick(now)
		}
	}
}
