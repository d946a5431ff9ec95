// Package lab is the laboratory in which fleets are tried: stand-ins for zone nodes, the roster and clients, links
// that can be cut, processes that can be killed and paused, and an auditor that judges what nodes and clients saw.
// All of it is on loopback addresses. One process holds the stand-ins, so that one clock times everything; the
// programs under test are processes of their own.
package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// NodeConfig is what a stand-in zone node can do.
type NodeConfig struct {
	Cores    int                      // attempts in work at once
	Queue    int                      // attempts that may wait; further ones are turned away
	Speed    float64                  // factor on the work
	KeyedS   float64                  // seconds for which the repeat of a key is dropped
	ColdS    float64                  // seconds until it is warm after its start, 0: at once
	ColdPart float64                  // of its speed that it starts with
	Work     map[string]time.Duration // mean by class
}

// Node is one stand-in zone node. Each attempt is recorded when its last byte has come and when it ends.
type Node struct {
	ID   string
	cfg  NodeConfig
	l    net.Listener
	hist *History
	keys *Keys // shared by all nodes

	mu      sync.Mutex
	rng     *rand.Rand
	busy    int
	waiting int
	slots   chan struct{}
	started time.Time
	conns   map[net.Conn]bool
	stopped bool
}

// Keys is the memory that all nodes share of keyed requests.
type Keys struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// NewKeys returns an empty memory.
func NewKeys() *Keys { return &Keys{seen: map[string]time.Time{}} }

// first tells whether the key was not begun within span.
func (k *Keys) first(key string, span time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if len(k.seen) > 1<<14 {
		for key, at := range k.seen {
			if now.Sub(at) > span {
				delete(k.seen, key)
			}
		}
	}
	at, ok := k.seen[key]
	if ok && now.Sub(at) < span {
		return false
	}
	k.seen[key] = now
	return true
}

// StartNode starts a node at an address of its own.
func StartNode(id string, cfg NodeConfig, keys *Keys, hist *History, seed uint64) (*Node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, cfg: cfg, l: l, hist: hist, keys: keys, rng: rand.New(rand.NewPCG(seed, 7)),
		slots: make(chan struct{}, cfg.Cores), started: time.Now(), conns: map[net.Conn]bool{}}
	go n.accept()
	return n, nil
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.l.Addr().String() }

// Stop ends the node as a crash would.
func (n *Node) Stop() {
	n.l.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	for c := range n.conns {
		c.Close()
	}
}

func (n *Node) accept() {
	for {
		c, err := n.l.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.stopped {
			c.Close()
		}
		n.conns[c] = true
		n.mu.Unlock()
		go func() {
			n.serve(c)
			c.Close()
			n.mu.Lock()
			delete(n.conns, c)
			n.mu.Unlock()
		}()
	}
}

// readCommand reads an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	head, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "*")))
	if err != nil || head[0] != '*' || count > 16 {
		return nil, errors.New("no command")
	}
	args := make([]string, 0, count)
	for range count {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		size, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "$")))
		if err != nil || size < 0 || size > 64<<10 {
			return nil, errors.New("no length")
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		args = append(args, string(b[:size]))
	}
	return args, nil
}

// fieldsOf splits the list of names and values of a call.
func fieldsOf(list string) map[string]string {
	m := map[string]string{}
	for part := range strings.SplitSeq(list, ",") {
		k, v, _ := strings.Cut(part, "=")
		m[k] = v
	}
	return m
}

// serve takes one command after the other. While one is in work its connection is watched, so that an attempt that
// is given up ends at once.
func (n *Node) serve(c net.Conn) {
	commands := make(chan []string)
	quit := make(chan struct{})
	gone := make(chan struct{})
	defer close(quit)
	go func() {
		defer close(gone)
		r := bufio.NewReader(c)
		for {
			args, err := readCommand(r)
			if err != nil {
				return
			}
			select {
			case commands <- args:
			case <-quit:
				return
			}
		}
	}()
	for {
		select {
		case args := <-commands:
			if _, err := io.WriteString(c, n.command(args, gone)); err != nil {
				return
			}
		case <-gone:
			return
		}
	}
}

func (n *Node) command(args []string, gone <-chan struct{}) string {
	if len(args) < 4 || !strings.HasPrefix(args[0], "CALL.") {
		if len(args) > 0 && args[0] == "INFO" {
			load := n.load()
			return fmt.Sprintf("$%d\r\n%s\r\n", len(load), load)
		}
		return "-ERR unknown\r\n"
	}
	f := fieldsOf(args[3])
	units, _ := strconv.ParseFloat(f["units"], 64)
	a := n.hist.attempt(args[2], n.ID, args[1], f["c"], f["t"], units)
	n.mu.Lock()
	if n.busy+n.waiting >= n.cfg.Cores+n.cfg.Queue {
		n.mu.Unlock()
		n.hist.ended(a, false, "full")
		return "-BUSY " + n.load() + "\r\n"
	}
	n.waiting++
	work := n.work(f["c"])
	n.mu.Unlock()
	select {
	case n.slots <- struct{}{}:
	case <-gone:
		n.mu.Lock()
		n.waiting--
		n.mu.Unlock()
		n.hist.ended(a, false, "gone")
		return ""
	}
	n.mu.Lock()
	n.waiting--
	n.busy++
	n.mu.Unlock()
	n.hist.began(a)
	if k := f["k"]; k != "" && !n.keys.first(args[1]+"/"+k, time.Duration(n.cfg.KeyedS*float64(time.Second))) {
		n.hist.repeated(a)
	}
	done := time.NewTimer(work)
	how := "ok"
	select {
	case <-done.C:
	case <-gone:
		done.Stop()
		how = "gone"
	}
	n.mu.Lock()
	n.busy--
	n.mu.Unlock()
	<-n.slots
	n.hist.ended(a, true, how)
	if how != "ok" {
		return ""
	}
	value, load := "v:"+args[2], n.load()
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(load), load)
}

// work draws how long an attempt takes; n.mu is held.
func (n *Node) work(class string) time.Duration {
	mean := float64(n.cfg.Work[class])
	x := mean * math.Exp(0.5*n.rng.NormFloat64()-0.125) / n.cfg.Speed
	if age := time.Since(n.started).Seconds(); n.cfg.ColdS > 0 && age < n.cfg.ColdS {
		x /= n.cfg.ColdPart + (1-n.cfg.ColdPart)*age/n.cfg.ColdS
	}
	return time.Duration(min(x, 10*mean))
}

func (n *Node) load() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("cpu_share=%.3f,svc_ms=%.1f", float64(n.busy)/float64(n.cfg.Cores), 100.0)
}
