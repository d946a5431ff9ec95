package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"
)

func init() { cases["slow"] = slowReader }

// slowConn is a connection from which the client reads 4 MB a second, in pieces of up to 8 KiB.
type slowConn struct {
	net.Conn
	slow bool
	read int // bytes
	from time.Time
}

const readPerSecond = 4e6

func (s *slowConn) Read(b []byte) (int, error) {
	if !s.slow {
		n, err := s.Conn.Read(b)
		s.read += n
		return n, err
	}
	n, err := s.Conn.Read(b[:min(len(b), 8<<10)])
	if s.read == 0 {
		s.from = time.Now()
	}
	s.read += n
	time.Sleep(time.Until(s.from.Add(time.Duration(float64(s.read) / readPerSecond * float64(time.Second)))))
	return n, err
}

// slowReader: a client sends 120 zone-checks at once on one connection. Their values have 60,000 bytes each. It reads the answers steadily.
func slowReader(f *fleet, trouble bool) result {
	const (
		ingresses = 2
		rounds    = 8
		commands  = 120
		valueSize = 60_000
	)
	value := func(id string, _ map[string]string) string {
		v := valueOf(id)
		return v + strings.Repeat(".", valueSize-len(v))
	}
	var servers []server
	var backends []*backend
	for i := range 8 {
		b := &backend{id: fmt.Sprintf("s-%d", i), rec: f.rec, work: classWork, value: value}
		startBackend(b, 500)
		backends = append(backends, b)
		servers = append(servers, server{ID: b.id, Addr: b.addr, Zone: "qc-1", Kind: "gen-a", Cell: i / 4, State: "in_service", Weight: 1})
	}
	ran := func(id string) bool {
		return slices.ContainsFunc(backends, func(b *backend) bool { _, ran := b.ran.Load(id); return ran })
	}
	f.start(ingresses, servers)
	var sent, served, other, excused, unread, lost, foreign int
	timedOut := false
	for round := range rounds {
		in := f.ingresses[round%ingresses]
		c, err := net.Dial("tcp4", in.listen)
		check(err)
		var calls []call
		var all []byte
		for i := range commands { // accounts of chaine, each within its burst of 79 units
			k := newCall(uint64(0x100+round*10+i%4), "chaine", "zone-check", 1, 2*time.Second)
			calls = append(calls, k)
			all = append(all, k.encode(ingresses, 0)...)
			f.rec.log("client sends %s to %s: %s", k.id, in.name, k.class)
		}
		began := time.Now()
		_, err = c.Write(all)
		check(err)
		s := &slowConn{Conn: c, slow: trouble}
		r := bufio.NewReaderSize(s, 8<<10)
		c.SetDeadline(began.Add(10 * time.Second)) // all is read after 2 to 3 s
		ended := false
		for _, k := range calls {
			sent++
			v, err := readReply(r)
			at := time.Since(began).Round(time.Millisecond)
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded):
				timedOut = true
			case err != nil && !ended: // its value may have been begun: then it has failed and is not lost
				ended = true
				excused++
				f.rec.log("client of %s has no whole answer; the connection ended %v after the commands were sent, with %d bytes read: %v", k.id, at, s.read, err)
			case err != nil && !ran(k.id): // it may lie unread: the client may send it once more
				unread++
				f.rec.log("client of %s has no answer, and no backend has it; the connection ended: %v", k.id, err)
			case err != nil:
				lost++
				f.rec.log("BROKEN: client of %s has no answer, and a backend has run it", k.id)
			case v.kind != '$':
				other++
				f.rec.log("client of %s is answered %s", k.id, v.short())
			case v.text == value(k.id, nil):
				served++
				f.rec.log("client of %s is served after %v", k.id, at)
			default:
				foreign++
				f.rec.log("BROKEN: client of %s is served %s", k.id, v.short())
			}
		}
		c.Close()
	}
	res := result{broken: lost + foreign, summary: fmt.Sprintf("%d requests, %d served, %d refused or failed, %d without a whole answer whose value may have been begun, %d without an answer that no backend has; run and without an answer: %d; with a foreign value: %d",
		sent, served, other, excused, unread, lost, foreign)}
	if served+lost+unread+excused < sent/2 {
		res.unusable = "over half of the requests were refused or failed"
	}
	if timedOut {
		res.unusable = "the client did not come to the end of its answers in 10 s"
	}
	return res
}
