package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["mark"] = runMark }

// runMark: the nodes are listed by the roster and by etcd. An operator marks a node as draining in etcd and restarts it, as a drain is
// for. With the disruption, etcd is out of reach before the restart and until after it. The mark stands in etcd all the time.
func runMark(r *rig) (bool, error) {
	backends, entries := r.startBackends(8, 30*time.Millisecond)
	started := time.Now().Add(-time.Hour).UnixMilli()
	for i := range entries {
		entries[i].StartedMS = started
	}
	roster := r.newDiscovery(entries)
	e := r.startEtcd()
	for _, s := range entries {
		var err error
		for range 50 {
			if err = e.put("nodes/"+s.ID, node(s)); err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if err != nil {
			return false, err
		}
	}
	_, served := r.startAgent("agent", roster.addr, e.addr)
	ingresses := r.newIngresses(2, served, roster.list())
	for _, in := range ingresses {
		in.start()
	}
	for _, in := range ingresses {
		if err := in.awaitPong(15 * time.Second); err != nil {
			return false, err
		}
	}
	stop := r.traffic(ingresses, 12)
	time.Sleep(3 * time.Second)

	drained := backends[3]
	before := len(drained.all())
	if err := e.put("drain/"+drained.id, `{"why":"kernel"}`); err != nil {
		return false, err
	}
	markedAt := time.Now()
	time.Sleep(2 * time.Second)
	if r.trouble {
		e.signal(9)
		<-e.done
		r.note("etcd is out of reach")
	}
	time.Sleep(3 * time.Second)
	// The node is restarted: it is the same machine and address. The roster tells its new start.
	addr := drained.addr
	drained.end()
	time.Sleep(time.Second)
	if err := drained.listen(addr); err != nil {
		return false, err
	}
	restarted := time.Now().UnixMilli()
	r.note("%s is up again", drained.id)
	entries[3].StartedMS = restarted
	if !r.trouble { // a node puts itself down in etcd as it starts
		if err := e.put("nodes/"+drained.id, node(entries[3])); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second) // the roster tells late
	roster.change(drained.id, func(s *server) { s.StartedMS = restarted })
	time.Sleep(10 * time.Second)
	counts := stop()
	late := 0
	for _, a := range drained.all() {
		if a.at.Sub(markedAt) > 300*time.Millisecond {
			late++
			r.note("new work at the marked node, %.3f s after the mark: %s", a.at.Sub(markedAt).Seconds(), a.id())
		}
	}
	fmt.Printf("answers: %v; attempts at the node: %d before the mark, %d later than 0.3 s after it\n", counts, before, late)
	if before == 0 || counts["served"] < 100 {
		return false, fmt.Errorf("no traffic: %d before, %v", before, counts)
	}
	return late > 0, nil
}

// traffic has n clients send one command at a time to the ingresses, until the returned function is called. It returns the answers.
func (r *rig) traffic(ingresses []*ingress, n int) (stop func() map[string]int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts, done := map[string]int{}, make(chan struct{})
	for client := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			in := ingresses[client%len(ingresses)]
			var c *conn
			for i := 0; ; i++ {
				select {
				case <-done:
					if c != nil {
						c.Close()
					}
					return
				case <-time.After(50 * time.Millisecond):
				}
				if c == nil {
					var err error
					if c, err = dial(in.listen); err != nil {
						c = nil
						continue
					}
				}
				id, customer := fmt.Sprintf("t%02dn%05d", client, i), fmt.Sprintf("%016x", 0x1000+client*64+i%64)
				args := []string{"CALL.GET", customer, id, fields("zone-check", "chaine", 2*time.Second, 1, 2, 0, "")}
				switch i % 3 {
				case 1:
					args = []string{"CALL.POST", customer, id, fields("slot-hold", "chaine", 4*time.Second, 1, 2, 0, "k"+id), "slot"}
				case 2:
					args = []string{"CALL.POST", customer, id, fields("courier-send", "chaine", 4*time.Second, 1, 2, 0, ""), "courier"}
				}
				got, err := c.do(5*time.Second, args...)
				kind := "served"
				switch {
				case err != nil:
					kind = "connection ended"
					c.Close()
					c = nil
				case got.refused():
					kind = "refused"
				case !got.served():
					kind = "failed"
				}
				r.note("client %d: %s: %s %v %v", client, id, kind, got, err)
				mu.Lock()
				counts[kind]++
				mu.Unlock()
			}
		}()
	}
	return func() map[string]int {
		close(done)
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		return counts
	}
}
