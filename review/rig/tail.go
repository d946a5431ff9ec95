package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["tail"] = endlessAnswers }

// endlessAnswers: one zone-check in five has a value of 70 to 300 KB. One in ten of their answers never ends: the value comes whole, and what
// stands behind it in the answer, the use and the load report, does not come. The connection stays open.
func endlessAnswers(f *fleet, trouble bool) result {
	const (
		ingresses = 2
		perSecond = 80
		accounts  = 16
		length    = 40 * time.Second
		large     = 0.2 // of the zone-checks
		endless   = 0.1 // of the large values
	)
	var begun atomic.Int64
	write := func(b *backend, c *serverConn, id string, answer []byte) {
		if len(answer) > 70_000 && trouble && rand.Float64() < endless {
			begun.Add(1)
			f.rec.log("backend %s sends the value for %s, and not the rest of the answer", b.id, id)
			end := strings.LastIndex(string(answer), "\r\n$-1\r\n")
			c.Write(answer[:end+2])
			time.Sleep(time.Minute)
			return
		}
		c.Write(answer)
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
	var sent, served, other, lost, foreign atomic.Int64
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := randomCall(accounts)
			p := pools[rand.IntN(len(pools))]
			sent.Add(1)
			f.rec.log("client sends %s to %s: %s, and waits %v", k.id, p.in.name, k.class, k.d)
			o := p.do(k, ingresses, 0, time.Second) // half a second after its time it is lost; this is half a second more
			switch {
			case o.err != nil:
				lost.Add(1)
				f.rec.log("BROKEN: client of %s (%s) has no answer %v after it sent the request: %v", k.id, k.class, o.took.Round(time.Millisecond), o.err)
			case o.answer.kind != '$':
				other.Add(1)
				f.rec.log("client of %s is answered %s", k.id, o.answer.short())
			case strings.HasPrefix(o.answer.text, valueOf(k.id)):
				served.Add(1)
				f.rec.log("client of %s is served after %v: %s", k.id, o.took.Round(time.Millisecond), o.answer.short())
			default:
				foreign.Add(1)
				f.rec.log("BROKEN: client of %s is served %s", k.id, o.answer.short())
			}
		}()
	}
	wg.Wait()
	res := result{broken: int(lost.Load() + foreign.Load()), summary: fmt.Sprintf("%d requests, %d served, %d refused or failed, %d answers without an end; with no answer 1 s after their time: %d; with a foreign value: %d",
		sent.Load(), served.Load(), other.Load(), begun.Load(), lost.Load(), foreign.Load())}
	switch {
	case served.Load() < sent.Load()/2:
		res.unusable = "under half of the requests were served"
	case time.Duration(f.late.Load()) > 400*time.Millisecond: // an answer counts as missing a second after its time, and as lost half a second after it
		res.unusable = "this program was over 0.4 s late"
	}
	return res
}
