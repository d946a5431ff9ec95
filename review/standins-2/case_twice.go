package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["twice"] = runTwice }

// runTwice: traffic of all three classes, zone-checks with long values among it, and backends that turn some commands away after a short
// wait in their queues. With the disruption, some of the long answers come a second time some milliseconds later, byte for byte.
func runTwice(r *rig) (bool, error) {
	const (
		pieces  = 8
		clients = 24
		lasts   = 95 * time.Second
	)
	seed := uint64(time.Now().UnixNano())
	r.note("seed %d", seed)
	backends, entries := r.startBackends(8, 0)
	d := r.newDiscovery(entries)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	ran, away, copies := map[string]int{}, 0, 0
	for _, b := range backends {
		b.begin = func(a attempt) func(net.Conn) error {
			if draw(100) < 15 {
				time.Sleep(time.Duration(30+draw(110)) * time.Millisecond)
				r.note("%s turns %s away, on %s", b.id, a.id(), a.conn)
				mu.Lock()
				away++
				mu.Unlock()
				return func(c net.Conn) error {
					_, err := c.Write([]byte("-BUSY\r\n"))
					return err
				}
			}
			class := field(a.args[3], "c")
			size, parts := 100, 1
			switch class {
			case "zone-check":
				time.Sleep(time.Duration(36+draw(26)) * time.Millisecond)
				if draw(3) > 0 {
					size, parts = (70+draw(230))<<10, pieces
				}
			case "slot-hold":
				time.Sleep(time.Duration(78+draw(62)) * time.Millisecond)
			case "courier-send":
				time.Sleep(time.Duration(120+draw(90)) * time.Millisecond)
			}
			mu.Lock()
			ran[a.id()]++
			mu.Unlock()
			r.note("%s has run %s, on %s", b.id, a.id(), a.conn)
			return func(c net.Conn) error {
				text := answer(fmt.Sprintf("%s by %s %s", a.id(), b.id, strings.Repeat("v", size)))
				for i := range parts {
					if i > 0 {
						time.Sleep(25 * time.Millisecond)
					}
					if _, err := c.Write(text[len(text)*i/parts : len(text)*(i+1)/parts]); err != nil {
						return err
					}
				}
				if r.trouble && parts > 1 && draw(2) == 0 {
					time.Sleep(time.Duration(3+draw(8)) * time.Millisecond)
					mu.Lock()
					copies++
					mu.Unlock()
					r.note("%s sends its answer to %s a second time, on %s", b.id, a.id(), a.conn)
					if _, err := c.Write(text); err != nil {
						return err
					}
				}
				return nil
			}
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
	counts, answers := map[string]int{}, map[string]string{}
	end := time.Now().Add(lasts)
	for client := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			in := ingresses[client%2]
			var c *conn
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					var err error
					if c, err = dial(in.listen); err != nil {
						time.Sleep(50 * time.Millisecond)
						c = nil
						continue
					}
				}
				id, customer := fmt.Sprintf("w%02dn%05d", client, n), fmt.Sprintf("%016x", 0x1000+client*64+n%64)
				var args []string
				class, wait := "courier-send", 4*time.Second
				switch k := draw(100); {
				case k < 37:
					class, wait = "zone-check", 2*time.Second
					args = []string{"CALL.GET", customer, id, fields(class, "chaine", wait, 1, 2, 0, "")}
				case k < 71:
					class = "slot-hold"
					args = []string{"CALL.POST", customer, id, fields(class, "chaine", wait, 1, 2, 0, "k"+id), "slot"}
				default:
					args = []string{"CALL.POST", customer, id, fields(class, "chaine", wait, 1, 2, 0, ""), "courier"}
				}
				got, err := c.do(wait+2*time.Second, args...)
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
				case !strings.HasPrefix(got.text, id+" "):
					kind = "foreign"
				}
				r.note("client %d: %s %s: %s %v %v", client, id, class, kind, got, err)
				mu.Lock()
				counts[kind]++
				if class == "courier-send" {
					answers[id] = kind
				}
				mu.Unlock()
				time.Sleep(time.Duration(draw(60)) * time.Millisecond)
			}
			if c != nil {
				c.Close()
			}
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice, refused := 0, 0
	for id, kind := range answers {
		if ran[id] > 1 {
			twice++
			r.mu.Lock()
			fmt.Fprintf(r.record, "TWICE %s ran %d times, answered: %s\n", id, ran[id], kind)
			r.mu.Unlock()
		}
		if ran[id] > 0 && kind == "refused" {
			refused++
			r.mu.Lock()
			fmt.Fprintf(r.record, "REFUSED %s ran %d times, answered: %s\n", id, ran[id], kind)
			r.mu.Unlock()
		}
	}
	fmt.Printf("answers: %v; turned away %d, second answers %d; courier-send: %d of %d ran twice, %d refused after a run\n",
		counts, away, copies, twice, len(answers), refused)
	if len(answers) < 500 {
		return false, fmt.Errorf("only %d requests", len(answers))
	}
	return twice+refused > 0, nil
}
