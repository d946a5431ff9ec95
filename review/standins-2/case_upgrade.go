package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = runUpgrade }

// runUpgrade: clients send 200 zone-checks at once, whose values have 60,000 bytes, and read their answers steadily at 250 kB/s. With the
// disruption, one ingress is replaced by a new process 1.5 s later.
func runUpgrade(r *rig) (bool, error) {
	const (
		commands = 200
		size     = 60_000
		perS     = 250e3 // bytes a second
	)
	backends, entries := r.startBackends(8, 0)
	for _, b := range backends {
		b.begin = func(a attempt) func(net.Conn) error {
			time.Sleep(40 * time.Millisecond)
			return func(c net.Conn) error {
				_, err := c.Write(answer(a.id() + " " + strings.Repeat("v", size)))
				return err
			}
		}
	}
	d := r.newDiscovery(entries)
	ingresses := r.newIngresses(2, d.addr, d.list())
	old := ingresses[0].start()
	ingresses[1].start()
	for _, in := range ingresses {
		if err := in.awaitPong(10 * time.Second); err != nil {
			return false, err
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	unanswered := map[string]bool{} // requests without an answer, but for the first of each connection
	for client := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dial(ingresses[client%2].listen)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			var batch []byte
			for n := range commands {
				customer := fmt.Sprintf("%016x", 0x3000+client*16+n%8)
				batch = append(batch, command("CALL.GET", customer, fmt.Sprintf("u%dn%03d", client, n), fields("zone-check", "chaine", 2*time.Second, 1, 2, 0, ""))...)
			}
			go func() { _, _ = c.Write(batch) }()
			began, read := time.Now(), 0
			for n := range commands {
				_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
				got, err := readReply(c.in)
				id := fmt.Sprintf("u%dn%03d", client, n)
				if err != nil {
					r.note("client %d of %s: reading the answer to %s fails: %v", client, ingresses[client%2].name, id, err)
					mu.Lock()
					for k := n + 1; k < commands; k++ {
						unanswered[fmt.Sprintf("u%dn%03d", client, k)] = true
					}
					counts["connections ended"]++
					mu.Unlock()
					return
				}
				kind := "served"
				if got.refused() {
					kind = "refused"
				} else if !got.served() {
					kind = "failed"
				}
				r.note("client %d: %s: %s %v", client, id, kind, got)
				mu.Lock()
				counts[kind]++
				mu.Unlock()
				read += got.bytes
				if due := time.Duration(float64(read) / perS * float64(time.Second)); due > time.Since(began) {
					time.Sleep(due - time.Since(began))
				}
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		ingresses[0].start()
		if err := ingresses[0].awaitReady(6 * time.Second); err != nil {
			return false, err
		}
		old.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-old.done:
			case <-time.After(3700 * time.Millisecond):
				old.signal(syscall.SIGKILL)
			}
		}()
	}
	wg.Wait()
	lost := 0
	for _, b := range backends {
		for _, a := range b.all() {
			if unanswered[a.id()] {
				unanswered[a.id()] = false
				lost++
				r.note("lost: %s has run at %s", a.id(), b.id)
			}
		}
	}
	fmt.Printf("answers: %v; without an answer: %d, of these %d have run\n", counts, len(unanswered), lost)
	if counts["served"] < 100 {
		return false, fmt.Errorf("only %d served", counts["served"])
	}
	return lost > 0, nil
}
