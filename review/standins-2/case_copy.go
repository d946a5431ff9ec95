package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["copy"] = runCopy }

// runCopy: backends serve values of up to 400 KiB, written slowly and in pieces. With the disruption, some answers come a second time some
// milliseconds later. Each value begins with the id of the request that it was made for.
func runCopy(r *rig) (bool, error) {
	const (
		large  = 400 << 10
		pieces = 10
	)
	backends, entries := r.startBackends(8, 0)
	d := r.newDiscovery(entries)
	for _, b := range backends {
		served := 0
		var mu sync.Mutex
		b.serve = func(c net.Conn, a attempt) error {
			mu.Lock()
			served++
			copies := r.trouble && served%4 == 0
			mu.Unlock()
			size := 200
			if a.args[1][15]%2 == 0 {
				size = large
			}
			time.Sleep(20 * time.Millisecond)
			text := answer(fmt.Sprintf("%s by %s %s", a.id(), b.id, strings.Repeat("v", size)))
			for i := range pieces {
				if i > 0 && size == large {
					time.Sleep(20 * time.Millisecond)
				}
				if _, err := c.Write(text[len(text)*i/pieces : len(text)*(i+1)/pieces]); err != nil {
					return err
				}
			}
			if copies && size == large {
				time.Sleep(4 * time.Millisecond)
				r.note("%s sends its answer to %s a second time", b.id, a.id())
				if _, err := c.Write(text); err != nil {
					return err
				}
			}
			return nil
		}
	}
	ingresses := r.newIngresses(2, d.addr, d.list())
	for _, in := range ingresses {
		in.start()
	}
	for _, in := range ingresses {
		if err := in.awaitPong(10 * time.Second); err != nil {
			return false, err
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	end := time.Now().Add(30 * time.Second)
	for client := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			in := ingresses[client%2]
			var c *conn
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					var err error
					if c, err = dial(in.listen); err != nil {
						return
					}
				}
				id := fmt.Sprintf("c%02dn%05d", client, n)
				customer := fmt.Sprintf("%016x", 0x1000+client*64+n%64)
				got, err := c.do(4*time.Second, "CALL.GET", customer, id, fields("zone-check", "chaine", 2*time.Second, 1, 2, 0, ""))
				kind := "served"
				switch {
				case err != nil:
					kind = "connection ended"
					c.Close()
					c = nil
				case got.served() && !strings.HasPrefix(got.text, id+" "):
					kind = "foreign"
				case got.refused():
					kind = "refused"
				case !got.served():
					kind = "failed"
				}
				r.note("client %d: %s: %s %v %v", client, id, kind, got, err)
				mu.Lock()
				counts[kind]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
			if c != nil {
				c.Close()
			}
		}()
	}
	wg.Wait()
	r.note("counts: %v", counts)
	fmt.Println("answers:", counts)
	if counts["served"] < 100 {
		return false, fmt.Errorf("only %d requests served", counts["served"])
	}
	return counts["foreign"] > 0, nil
}
