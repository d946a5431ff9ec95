// Package testbed tries fleets on loopback sockets: stand-ins for backends, discovery, the front and clients, links
// that can be cut, processes that can be killed and paused, and faults of all of them by schedule. Package node has the model
// of a backend, package oracle the invariant checker, package simulation fleets in virtual time, package mutation the guards that are taken out on
// purpose. All of it is on loopback addresses. One process holds the stand-ins, so that one clock times everything; the
// programs under test are processes of their own.
package testbed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
)

// Node is one stand-in zone node on a socket: a node.Model, and the connections to it. Each attempt is recorded when its last
// byte has come and when it ends.
type Node struct {
	ID          string
	cfg         node.Config
	hist        *oracle.History
	incarnation int
	started     time.Time
	slowStart   bool
	zero        time.Time   // of the model's time
	keysMu      *sync.Mutex // of the model's Keys, which all nodes share; taken inside mu

	mu       sync.Mutex
	listener net.Listener
	model    *node.Model
	timer    *time.Timer
	nextAt   float64
	handles  uint64
	attempts map[uint64]*nodeAttempt // not ended
	conns    map[net.Conn]bool
	stopped  bool // takes no connections any more
	crashed  bool // nor does anything else
}

// nodeAttempt is what the node keeps of an attempt that has not ended.
type nodeAttempt struct {
	node.Attempt
	rec   *oracle.Attempt
	reply chan node.Fate // of one place, for what its connection is to write; closed with nothing to write
	load  float64
}

// NodeNet is what all nodes of a laboratory share.
type NodeNet struct {
	hist *oracle.History
	zero time.Time
	mu   sync.Mutex
	keys *node.Keys
}

// NewNodeNet makes what nodes share.
func NewNodeNet(hist *oracle.History) *NodeNet {
	return &NodeNet{hist: hist, zero: time.Now(), keys: node.NewKeys()}
}

// Start starts a node at an address, or with "" at one of its own: as one that has stood for long, or with cold as one that
// has just started.
func (w *NodeNet) Start(id, addr string, cfg node.Config, cold bool, seed uint64) (*Node, error) {
	if addr == "" {
		addr = ownAddr(0)
	}
	var l net.Listener
	var err error
	for range 50 { // what was here before may still hold the address for a moment
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, cfg: cfg, listener: l, hist: w.hist, zero: w.zero, keysMu: &w.mu, started: time.Now(), slowStart: cold, attempts: map[uint64]*nodeAttempt{},
		conns: map[net.Conn]bool{}, nextAt: math.Inf(1)}
	born, started := n.now(), w.hist.Now()
	if !cold {
		born -= 1e6
		started = -1e6 * time.Second
	}
	n.incarnation = w.hist.AddIncarnation(oracle.Incarnation{Node: id, StartedAt: started, Capacity: float64(cfg.Cores) * cfg.Speed, WarmUpFrom: cfg.SlowStartMinFraction, WarmUpS: cfg.SlowStartS})
	n.model = node.New(cfg, w.keys, seed, born, n)
	n.timer = time.AfterFunc(time.Hour, n.ring)
	go n.accept(l)
	return n, nil
}

// inSlowStart tells that its start is of this run.
func (n *Node) inSlowStart() bool { return n.slowStart }

func (n *Node) now() float64 { return time.Since(n.zero).Seconds() }

// do runs something on the model, and sets the timer for what comes next.
func (n *Node) do(f func(m *node.Model, now float64)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.crashed {
		return
	}
	n.keysMu.Lock()
	f(n.model, n.now())
	n.keysMu.Unlock()
	if next := n.model.Next(); next != n.nextAt {
		n.nextAt = next
		if !math.IsInf(next, 1) {
			n.timer.Reset(max(0, time.Duration((next-n.now())*float64(time.Second))))
		}
	}
}

func (n *Node) ring() { n.do(func(m *node.Model, now float64) { m.Advance(now) }) }

// SetConditions says how things stand at the node from now on.
func (n *Node) SetConditions(w node.Conditions) {
	n.do(func(m *node.Model, now float64) { m.Advance(now); m.SetConditions(w) })
}

// Pause stops the node's time; its connections stay open. Resume ends that.
func (n *Node) Pause() { n.do(func(m *node.Model, now float64) { m.Pause(now) }) }

// Resume ends a pause.
func (n *Node) Resume() { n.do(func(m *node.Model, now float64) { m.Resume(now) }) }

// Fallen tells that the node has fallen over.
func (n *Node) Fallen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.model.Fallen()
}

// Began implements node.Out.
func (n *Node) Began(_ float64, a *node.Attempt, work float64, repeat bool) {
	n.hist.AttemptStarted(n.attempts[a.Handle].rec, work, repeat)
}

// Answer implements node.Out.
func (n *Node) Answer(_ float64, a *node.Attempt, f node.Fate, load float64) {
	x := n.attempts[a.Handle]
	x.load = load
	x.reply <- f
}

// Ended implements node.Out.
func (n *Node) Ended(_ float64, a *node.Attempt, how string) {
	x := n.attempts[a.Handle]
	if x == nil {
		return
	}
	delete(n.attempts, a.Handle)
	n.hist.AttemptEnded(x.rec, how)
	close(x.reply)
}

// Fell implements node.Out.
func (n *Node) Fell(float64) {
	n.hist.IncarnationCrashed(n.incarnation)
	n.hist.AddFault("node " + n.ID + " fell over")
	n.stop()
}

func (n *Node) stop() {
	n.stopped = true
	n.listener.Close()
	for c := range n.conns {
		reset(c)
	}
}

// reset ends a connection as a dying process does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Stop ends the node as a crash would: what it holds is lost.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop()
	n.crashed = true
	n.timer.Stop()
	for h, x := range n.attempts {
		delete(n.attempts, h)
		n.hist.AttemptEnded(x.rec, "crash")
		close(x.reply)
	}
}

func (n *Node) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.stopped || n.cfg.Conns > 0 && len(n.conns) >= n.cfg.Conns {
			n.mu.Unlock()
			reset(c)
			continue
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

var errBreaks = errors.New("breaks in the command")

// readCommand reads an array of bulk strings. After its head it asks whether the connection is to break now.
func readCommand(r *bufio.Reader, breaks func() bool) ([]string, error) {
	head, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if breaks != nil && breaks() {
		return nil, errBreaks
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
			args, err := readCommand(r, func() (b bool) {
				n.do(func(m *node.Model, _ float64) { b = m.Breaks() })
				return b
			})
			if errors.Is(err, errBreaks) {
				reset(c)
			}
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
	idle := time.Duration(n.cfg.IdleS * float64(time.Second))
	if idle == 0 {
		idle = time.Hour
	}
	wait := time.NewTimer(idle)
	defer wait.Stop()
	for {
		wait.Reset(idle)
		select {
		case args := <-commands:
			if !n.command(c, args, gone) {
				reset(c)
				return
			}
		case <-gone:
			return
		case <-wait.C:
			return
		}
	}
}

// command carries out one command and tells whether the connection goes on.
func (n *Node) command(c net.Conn, args []string, gone <-chan struct{}) bool {
	if len(args) < 4 || !strings.HasPrefix(args[0], "CALL.") {
		answer := "-ERR unknown\r\n"
		if len(args) > 0 && args[0] == "INFO" {
			n.mu.Lock()
			load := loadOf(n.model.Load())
			n.mu.Unlock()
			answer = bulk(load)
		}
		_, err := io.WriteString(c, answer)
		return err == nil
	}
	f := fieldsOf(args[3])
	units, _ := strconv.ParseFloat(f["units"], 64)
	x := &nodeAttempt{reply: make(chan node.Fate, 1), rec: &oracle.Attempt{ID: args[2], Node: n.ID, Account: args[1], Class: f["c"], Plan: f["t"],
		Units: units, Incarnation: n.incarnation, Conn: c.RemoteAddr().String()},
		Attempt: node.Attempt{Request: args[2], Account: args[1], Class: f["c"], Key: f["k"]}}
	n.do(func(m *node.Model, now float64) {
		n.handles++
		x.Handle = n.handles
		n.attempts[x.Handle] = x
		n.hist.AttemptReceived(x.rec)
		n.hist.SetAttemptWork(x.rec, m.Arrive(now, &x.Attempt))
	})
	if x.Handle == 0 { // it had crashed
		return false
	}
	var fate node.Fate
	var answers bool
	select {
	case fate, answers = <-x.reply:
	case <-gone:
		n.hist.ConnectionEnded(x.rec.Conn)
		n.do(func(m *node.Model, now float64) {
			if n.attempts[x.Handle] == x {
				m.Leave(now, &x.Attempt)
			}
		})
		return false
	}
	if !answers { // it fell over or crashed
		return false
	}
	text, goesOn := replyOf(fate, args[2], loadOf(x.load))
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	if fate == node.Copy { // at once, or so late that the next command may be there already
		time.Sleep(time.Duration(x.Handle%3) * 4 * time.Millisecond)
		if _, err := io.WriteString(c, text); err != nil {
			goesOn = false
		}
	}
	if fate == node.Served || fate == node.Copy || fate == node.AbsurdLoad || fate == node.Late {
		n.hist.AttemptAnswered(x.rec)
	}
	return goesOn
}

func bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

func loadOf(util float64) string { return fmt.Sprintf("cpu_share=%.3f,svc_ms=%.1f", util, 100.0) }

// replyOf words what a fate brings back, and tells whether the connection goes on after it.
func replyOf(f node.Fate, id, load string) (text string, goesOn bool) {
	value := bulk("v:" + id)
	whole := "*3\r\n" + value + "$-1\r\n" + bulk(load)
	switch f {
	case node.Served, node.Late, node.Copy:
		return whole, true
	case node.Error, node.ErrorRan:
		return "-ERR failed " + load + "\r\n", true
	case node.Full:
		return "-BUSY " + load + "\r\n", true
	case node.ResetMid:
		return whole[:len(whole)/3], false
	case node.Garbage:
		return "HTTP/1.1 200 OK\r\n\r\n", true
	case node.Lying:
		return fmt.Sprintf("*3\r\n$%d\r\nv:%s\r\n$-1\r\n$-1\r\n", len(id)-3, id), true
	case node.Endless:
		return "*3\r\n$" + strconv.Itoa(1<<20) + "\r\n" + strings.Repeat("x", 2000), true
	case node.Valueless:
		return "*3\r\n$-1\r\n$-1\r\n$-1\r\n", true
	case node.AbsurdLoad:
		return "*3\r\n" + value + "$-1\r\n" + bulk("cpu_share=1e8,svc_ms=-4"), true
	}
	return "", false // ResetUnrun, ResetRan
}
