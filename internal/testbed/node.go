// Package testbed runs fleets on loopback sockets against stand-ins for backends, discovery, the front and clients. Links can be cut, processes
// can be killed and paused, and a schedule injects faults into all of them. Package node has the model of a backend, package oracle the
// invariant checker, package simulation runs fleets in virtual time, and package mutation has the guards that are removed on purpose. All sockets
// are on loopback addresses. One process holds the stand-ins, so that one clock times all events; the programs under test are processes of their
// own.
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

// Node is a stand-in backend on a socket: a node.Model with its connections. It records each attempt in the history when the last byte of
// its command has arrived, and again when the attempt ends.
type Node struct {
	ID          string
	cfg         node.Config
	hist        *oracle.History
	incarnation int
	started     time.Time
	slowStart   bool
	epoch       time.Time   // start of the model's time
	keysMu      *sync.Mutex // guards the model's Keys, which all nodes share; locked after mu

	mu         sync.Mutex
	listener   net.Listener
	model      *node.Model
	timer      *time.Timer
	nextAt     float64
	lastHandle uint64
	attempts   map[uint64]*nodeAttempt // by handle; those that have not ended
	conns      map[net.Conn]bool
	stopped    bool // accepts no connections any more
	crashed    bool // the model is no longer run either
}

// nodeAttempt is an attempt that has not ended.
type nodeAttempt struct {
	node.Attempt
	rec   *oracle.Attempt
	reply chan node.Fate // holds the fate to answer with, if any; closed when the attempt ends
	load  float64        // reported with the answer
}

// NodeNet is what all nodes of a fleet share: the history, the time of the models and the memory of keys.
type NodeNet struct {
	hist  *oracle.History
	epoch time.Time
	mu    sync.Mutex
	keys  *node.Keys
}

// NewNodeNet returns a NodeNet whose time starts now, without keys.
func NewNodeNet(hist *oracle.History) *NodeNet {
	return &NodeNet{hist: hist, epoch: time.Now(), keys: node.NewKeys()}
}

// Start starts a node at addr, or at an address of its own if addr is empty. A cold node starts now, any other counts as started 1e6 s ago.
func (w *NodeNet) Start(id, addr string, cfg node.Config, cold bool, seed uint64) (*Node, error) {
	if addr == "" {
		addr = hostAddr(0)
	}
	var l net.Listener
	var err error
	for range 50 { // the previous node may hold the address for a moment
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, cfg: cfg, listener: l, hist: w.hist, epoch: w.epoch, keysMu: &w.mu, started: time.Now(), slowStart: cold, attempts: map[uint64]*nodeAttempt{},
		conns: map[net.Conn]bool{}, nextAt: math.Inf(1)}
	modelStart, started := n.now(), w.hist.Now()
	if !cold {
		modelStart -= 1e6
		started = -1e6 * time.Second
	}
	n.incarnation = w.hist.AddIncarnation(oracle.Incarnation{Node: id, StartedAt: started, Capacity: float64(cfg.Cores) * cfg.Speed, WarmUpFrom: cfg.SlowStartMinFraction, WarmUpS: cfg.SlowStartS})
	n.model = node.New(cfg, w.keys, seed, modelStart, n)
	n.timer = time.AfterFunc(time.Hour, n.advance)
	go n.accept(l)
	return n, nil
}

// inSlowStart tells whether the node was started cold.
func (n *Node) inSlowStart() bool { return n.slowStart }

func (n *Node) now() float64 { return time.Since(n.epoch).Seconds() }

// do calls f with the model, unless the node has crashed, and sets the timer to the model's next event.
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

func (n *Node) advance() { n.do(func(m *node.Model, now float64) { m.Advance(now) }) }

// SetConditions changes the conditions of the node from now on.
func (n *Node) SetConditions(w node.Conditions) {
	n.do(func(m *node.Model, now float64) { m.Advance(now); m.SetConditions(w) })
}

// Pause stops the work of the node until Resume; its connections stay open.
func (n *Node) Pause() { n.do(func(m *node.Model, now float64) { m.Pause(now) }) }

// Resume ends a pause.
func (n *Node) Resume() { n.do(func(m *node.Model, now float64) { m.Resume(now) }) }

// IsCollapsed tells whether the node has failed because it was sent too much work while cold.
func (n *Node) IsCollapsed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.model.IsCollapsed()
}

// Began implements node.Observer.
func (n *Node) Began(_ float64, a *node.Attempt, work float64, repeat bool) {
	n.hist.AttemptStarted(n.attempts[a.Handle].rec, work, repeat)
}

// Answer implements node.Observer.
func (n *Node) Answer(_ float64, a *node.Attempt, f node.Fate, load float64) {
	x := n.attempts[a.Handle]
	x.load = load
	x.reply <- f
}

// Ended implements node.Observer.
func (n *Node) Ended(_ float64, a *node.Attempt, how string) {
	x := n.attempts[a.Handle]
	if x == nil {
		return
	}
	delete(n.attempts, a.Handle)
	n.hist.AttemptEnded(x.rec, how)
	close(x.reply)
}

// Collapsed implements node.Observer.
func (n *Node) Collapsed(float64) {
	n.hist.IncarnationCrashed(n.incarnation)
	n.hist.AddFault("node " + n.ID + " collapsed: too much work while cold")
	n.stop()
}

// stop closes the listener and resets all connections. n.mu is held.
func (n *Node) stop() {
	n.stopped = true
	n.listener.Close()
	for c := range n.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset, as the end of its process would.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Stop ends the node as a crash would: its attempts are lost.
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

var errBroken = errors.New("injected break within a command")

// readCommand reads a command, an array of bulk strings. It returns errBroken if breaks, called after the header of the array, is true.
func readCommand(r *bufio.Reader, breaks func() bool) ([]string, error) {
	head, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if breaks != nil && breaks() {
		return nil, errBroken
	}
	count, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "*")))
	if err != nil || head[0] != '*' || count > 16 {
		return nil, fmt.Errorf("invalid command header %q, want an array of at most 16 strings", head)
	}
	args := make([]string, 0, count)
	for range count {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		size, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "$")))
		if err != nil || size < 0 || size > 64<<10 {
			return nil, fmt.Errorf("invalid string header %q, want a length of 0 to 65536 bytes", line)
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		args = append(args, string(b[:size]))
	}
	return args, nil
}

// parseFields parses the comma-separated name=value pairs of a call.
func parseFields(list string) map[string]string {
	m := map[string]string{}
	for part := range strings.SplitSeq(list, ",") {
		k, v, _ := strings.Cut(part, "=")
		m[k] = v
	}
	return m
}

// serve processes the commands of a connection one after the other. It keeps reading while a command is in progress, so that an attempt whose
// connection is closed ends at once.
func (n *Node) serve(c net.Conn) {
	commands := make(chan []string)
	quit := make(chan struct{})
	closed := make(chan struct{})
	defer close(quit)
	go func() {
		defer close(closed)
		r := bufio.NewReader(c)
		for {
			args, err := readCommand(r, func() (b bool) {
				n.do(func(m *node.Model, _ float64) { b = m.Breaks() })
				return b
			})
			if errors.Is(err, errBroken) {
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
	idleTimer := time.NewTimer(idle)
	defer idleTimer.Stop()
	for {
		idleTimer.Reset(idle)
		select {
		case args := <-commands:
			if !n.command(c, args, closed) {
				reset(c)
				return
			}
		case <-closed:
			return
		case <-idleTimer.C:
			return
		}
	}
}

// command processes one command and tells whether the connection stays open.
func (n *Node) command(c net.Conn, args []string, closed <-chan struct{}) bool {
	if len(args) < 4 || !strings.HasPrefix(args[0], "CALL.") {
		answer := "-ERR unknown\r\n"
		if len(args) > 0 && args[0] == "INFO" {
			n.mu.Lock()
			load := formatLoad(n.model.Load())
			n.mu.Unlock()
			answer = bulkString(load)
		}
		_, err := io.WriteString(c, answer)
		return err == nil
	}
	f := parseFields(args[3])
	units, _ := strconv.ParseFloat(f["units"], 64)
	x := &nodeAttempt{reply: make(chan node.Fate, 1), rec: &oracle.Attempt{ID: args[2], Node: n.ID, Account: args[1], Class: f["c"], Plan: f["t"],
		Units: units, Incarnation: n.incarnation, Conn: c.RemoteAddr().String()},
		Attempt: node.Attempt{Request: args[2], Account: args[1], Class: f["c"], Key: f["k"]}}
	n.do(func(m *node.Model, now float64) {
		n.lastHandle++
		x.Handle = n.lastHandle
		n.attempts[x.Handle] = x
		n.hist.AttemptReceived(x.rec)
		n.hist.SetAttemptWork(x.rec, m.Arrive(now, &x.Attempt))
	})
	if x.Handle == 0 { // the node had crashed
		return false
	}
	var fate node.Fate
	var hasReply bool
	select {
	case fate, hasReply = <-x.reply:
	case <-closed:
		n.hist.ConnectionEnded(x.rec.Conn)
		n.do(func(m *node.Model, now float64) {
			if n.attempts[x.Handle] == x {
				m.Abandon(now, &x.Attempt)
			}
		})
		return false
	}
	if !hasReply { // the node has failed or crashed
		return false
	}
	text, keepOpen := formatReply(fate, args[2], formatLoad(x.load))
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	if fate == node.Copy { // the copy comes 0, 4 or 8 ms later, so that the next command may have arrived
		time.Sleep(time.Duration(x.Handle%3) * 4 * time.Millisecond)
		if _, err := io.WriteString(c, text); err != nil {
			keepOpen = false
		}
	}
	if fate == node.Served || fate == node.Copy || fate == node.AbsurdLoad || fate == node.Late {
		n.hist.AttemptAnswered(x.rec)
	}
	return keepOpen
}

func bulkString(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

func formatLoad(util float64) string { return fmt.Sprintf("cpu_share=%.3f,svc_ms=%.1f", util, 100.0) }

// formatReply returns the bytes that a fate answers with, and whether the connection stays open.
func formatReply(f node.Fate, id, load string) (text string, keepOpen bool) {
	value := bulkString("v:" + id)
	whole := "*3\r\n" + value + "$-1\r\n" + bulkString(load)
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
		return "*3\r\n" + value + "$-1\r\n" + bulkString("cpu_share=1e8,svc_ms=-4"), true
	}
	return "", false // ResetUnrun, ResetRan
}
