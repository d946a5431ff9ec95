package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["second"] = secondAnswers }

// secondAnswers: one answer in ten comes a second time, some milliseconds late, with the load report that the backend has by then.
func secondAnswers(f *fleet, trouble bool) result {
	const (
		ingresses = 2
		perSecond = 200
		accounts  = 24
		length    = 100 * time.Second
		spoilt    = 0.1
	)
	var second atomic.Int64
	write := func(b *backend, c *serverConn, id string, answer []byte) {
		c.Write(answer)
		if !trouble || rand.Float64() >= spoilt {
			return
		}
		go func() {
			time.Sleep(time.Duration(3000+rand.IntN(12000)) * time.Microsecond)
			if !c.mu.TryLock() {
				return // another answer is being written
			}
			defer c.mu.Unlock()
			if _, err := c.Write(b.encode(valueOf(id))); err == nil {
				second.Add(1)
				f.rec.log("backend %s answers %s a second time", b.id, id)
			}
		}()
	}
	var servers []server
	for i := range 8 {
		b := &backend{id: fmt.Sprintf("s-%d", i), rec: f.rec, work: classWork, write: write,
			value: func(id string, _ map[string]string) string { return valueOf(id) }}
		startBackend(b, 170)
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
			f.rec.log("client sends %s to %s: %s", k.id, p.in.name, k.class)
			o := p.do(k, ingresses, 0, 500*time.Millisecond)
			switch {
			case o.err != nil:
				other.Add(1)
				f.rec.log("client of %s: no answer: %v", k.id, o.err)
			case o.answer.kind != '$':
				other.Add(1)
				f.rec.log("client of %s is answered %s", k.id, o.answer.short())
			case o.answer.text == valueOf(k.id):
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

// valueOf is the value that backends make for a request.
func valueOf(id string) string { return "value for " + id }
