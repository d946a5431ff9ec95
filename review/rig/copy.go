package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["copy"] = copiedAnswers }

// copiedAnswers: one zone-check in five has a value of 70 to 300 KB, which its backend writes in pieces, in 0.15 to 0.4 s. One answer in ten, of
// any class and size, comes a second time, byte for byte, some milliseconds late, unless another answer is being written by then.
func copiedAnswers(f *fleet, trouble bool) result {
	const (
		ingresses = 2
		perSecond = 120
		accounts  = 16
		length    = 90 * time.Second
		large     = 0.2 // of the zone-checks
		spoilt    = 0.1 // of all answers
	)
	var second atomic.Int64
	write := func(b *backend, c *serverConn, id string, answer []byte) {
		if len(answer) > 70_000 {
			writeInPieces(c, answer, time.Duration(150+rand.IntN(250))*time.Millisecond)
		} else {
			c.Write(answer)
		}
		if !trouble || rand.Float64() >= spoilt {
			return
		}
		go func() {
			time.Sleep(time.Duration(3000+rand.IntN(12000)) * time.Microsecond)
			if !c.mu.TryLock() {
				return // another answer is being written
			}
			defer c.mu.Unlock()
			if _, err := c.Write(answer); err == nil {
				second.Add(1)
				f.rec.log("backend %s answers %s a second time, %d bytes", b.id, id, len(answer))
			}
		}()
	}
	value := func(id string, fields map[string]string) string {
		v := valueOf(id)
		if fields["c"] == "zone-check" && rand.Float64() < large {
			v += strings.Repeat(".", 70_000+rand.IntN(230_000))
		}
		return v
	}
	var servers []server
	for i := range 8 {
		b := &backend{id: fmt.Sprintf("s-%d", i), rec: f.rec, work: classWork, write: write, value: value}
		startBackend(b, 500)
		servers = append(servers, server{ID: b.id, Addr: b.addr, Zone: "qc-1", Kind: "gen-a", Cell: i / 4, State: "in_service", Weight: 1})
	}
	f.start(ingresses, servers)
	var pools []*pool
	for _, in := range f.ingresses {
		pools = append(pools, &pool{f: f, in: in})
	}
	var sent, served, foreign, other atomic.Int64
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := randomCall(accounts)
			p := pools[rand.IntN(len(pools))]
			sent.Add(1)
			f.rec.log("client sends %s to %s: %s of account %s", k.id, p.in.name, k.class, k.account)
			o := p.do(k, ingresses, 0, time.Second)
			switch {
			case o.err != nil:
				other.Add(1)
				f.rec.log("client of %s: no answer: %v", k.id, o.err)
			case o.answer.kind != '$':
				other.Add(1)
				f.rec.log("client of %s is answered %s", k.id, o.answer.short())
			case strings.HasPrefix(o.answer.text, valueOf(k.id)):
				served.Add(1)
				f.rec.log("client of %s is served", k.id)
			default:
				foreign.Add(1)
				f.rec.log("BROKEN: client of %s (%s) is served %s", k.id, k.class, o.answer.short())
			}
		}()
	}
	wg.Wait()
	res := result{broken: int(foreign.Load()), summary: fmt.Sprintf("%d requests, %d served, %d refused, failed or unanswered, %d second answers; served with the value of another request: %d",
		sent.Load(), served.Load(), other.Load(), second.Load(), foreign.Load())}
	if served.Load() < sent.Load()/2 {
		res.unusable = "under half of the requests were served"
	}
	return res
}

// writeInPieces writes an answer in pieces of about the same size, over the given time.
func writeInPieces(c net.Conn, answer []byte, over time.Duration) {
	const pieces = 8
	for rest := answer; len(rest) > 0; {
		n := min(len(rest), len(answer)/pieces+1)
		if _, err := c.Write(rest[:n]); err != nil {
			return
		}
		if rest = rest[n:]; len(rest) > 0 {
			time.Sleep(over / (pieces - 1))
		}
	}
}
