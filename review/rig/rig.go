package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ---- record ----

type recorder struct {
	mu    sync.Mutex
	file  *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: bufio.NewWriter(f), start: time.Now()}, nil
}

// log writes one line: seconds since the start, and the event.
func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Flush()
}

// ---- addresses ----

// host is the loopback address of this run. It is drawn, so that no other program takes a port of it between its choice and its use.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// freeAddr returns a loopback address with a free port.
func freeAddr(network string) string {
	if network == "udp" {
		c, err := net.ListenPacket("udp4", host+":0")
		check(err)
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp4", host+":0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// cannotRun is the panic value of a case that can't run.
type cannotRun struct{ why string }

func check(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

// ---- discovery ----

type server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// discovery is the agent on an ingress's machine. Its list does not change during a run.
type discovery struct {
	addr string
	full list
}

func startDiscovery(servers []server) *discovery {
	l, err := net.Listen("tcp4", host+":0")
	check(err)
	d := &discovery{addr: l.Addr().String(), full: list{41, true, servers}}
	go http.Serve(l, d)
	return d
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := json.Marshal(d.full)
	w.Write(append(text, '\n'))
	if r.URL.Query().Get("watch") == "" {
		return
	}
	w.(http.Flusher).Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			w.Write([]byte("\n"))
			w.(http.Flusher).Flush()
		}
	}
}

// ---- backends ----

// backend is a zone node: it runs each request for the time that its class takes, and answers with a value, null and its load report.
type backend struct {
	id, addr string
	rec      *recorder
	work     func(class string) time.Duration
	value    func(id string, f map[string]string) string
	write    func(b *backend, c *serverConn, id string, reply []byte) // writes the reply to the call id; has the connection's lock
	ran      sync.Map                                                 // ids of the calls that have begun here
	load     atomic.Value                                             // string: the load report, refreshed now and then
}

// serverConn is a backend's side of a connection. The lock is held while an answer is written.
type serverConn struct {
	net.Conn
	mu     sync.Mutex
	open   atomic.Int64 // commands that are not answered yet
	idleAt atomic.Int64 // since when there is none, in Unix milliseconds
}

func plainWrite(_ *backend, c *serverConn, _ string, reply []byte) { c.Write(reply) }

// refreshLoad renews the load report every 170 to 930 ms, as the site file says.
func (b *backend) refreshLoad(everyMS int) {
	for {
		b.load.Store(fmt.Sprintf("cpu_share=%.3f,served_ps=%.1f,svc_ms=%.1f", 0.3+0.2*rand.Float64(), 10+5*rand.Float64(), 60+40*rand.Float64()))
		time.Sleep(time.Duration(everyMS) * time.Millisecond)
	}
}

func startBackend(b *backend, reportMS int) {
	l, err := net.Listen("tcp4", host+":0")
	check(err)
	b.addr = l.Addr().String()
	b.load.Store("cpu_share=0.3,served_ps=10,svc_ms=80")
	if b.write == nil {
		b.write = plainWrite
	}
	go b.refreshLoad(reportMS)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
}

func (b *backend) report() string { return b.load.Load().(string) }

// encode returns the answer with the load report of this moment.
func (b *backend) encode(value string) []byte {
	report := b.report()
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(report), report)
}

// idleS is after how many seconds a backend closes an idle connection, as the settings say.
const idleS = 15

// serve begins each command at once, also one that is written behind another, and answers in the order of the commands.
func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	c := &serverConn{Conn: conn}
	c.idleAt.Store(time.Now().UnixMilli())
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(500 * time.Millisecond):
			}
			if c.open.Load() == 0 && time.Now().UnixMilli()-c.idleAt.Load() > idleS*1000 {
				conn.Close()
				return
			}
		}
	}()
	answered := make(chan struct{}) // the command before
	close(answered)
	r := bufio.NewReaderSize(conn, 128<<10)
	for {
		args, err := readCommand(r)
		if err != nil {
			return
		}
		c.open.Add(1)
		before, done := answered, make(chan struct{})
		answered = done
		go func() {
			answer := b.run(args)
			<-before
			c.mu.Lock()
			answer(c)
			c.idleAt.Store(time.Now().UnixMilli())
			c.open.Add(-1)
			c.mu.Unlock()
			close(done)
		}()
	}
}

// run carries out a command, and returns what writes its answer.
func (b *backend) run(args []string) func(*serverConn) {
	line := func(text string) func(*serverConn) { return func(c *serverConn) { c.Write([]byte(text)) } }
	switch {
	case strings.HasPrefix(args[0], "CALL.") && len(args) >= 4:
		id, f := args[2], fields(args[3])
		b.rec.log("backend %s runs %s class %s", b.id, id, f["c"])
		b.ran.Store(id, true)
		time.Sleep(b.work(f["c"]))
		return func(c *serverConn) { b.write(b, c, id, b.encode(b.value(id, f))) }
	case args[0] == "PING":
		return line("+PONG\r\n")
	case args[0] == "INFO":
		return func(c *serverConn) { fmt.Fprintf(c, "$%d\r\n%s\r\n", len(b.report()), b.report()) }
	case args[0] == "CLIENT", args[0] == "SELECT":
		return line("+OK\r\n")
	}
	return line("-ERR unknown command\r\n")
}

// ---- ingresses ----

type ingress struct {
	name, listen string
	cmd          *exec.Cmd
	ended        chan struct{}
	stopping     atomic.Bool
}

type fleet struct {
	root, tmp string
	rec       *recorder
	ingresses []*ingress
	crashed   atomic.Bool
	late      atomic.Int64 // by how much this program's own waits were late at most, in nanoseconds
}

// measureLateness notes how late this program runs.
func (f *fleet) measureLateness() {
	for {
		const wait = 10 * time.Millisecond
		began := time.Now()
		time.Sleep(wait)
		f.late.Store(max(f.late.Load(), int64(time.Since(began)-wait)))
	}
}

// runCommand returns the command "run" of the deploy file.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	check(err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			return strings.TrimSuffix(strings.TrimSpace(rest), `"`)
		}
	}
	panic(cannotRun{"no run in the deploy file"})
}

// settings are those of the wire's page, for a fleet of n ingresses.
func settings(n, me int) map[string]any {
	class := func(name, effect string, aim, deadline, ttl, worth float64) map[string]any {
		return map[string]any{"aimS": aim, "deadlineS": deadline, "effect": effect, "keyScope": "all", "keyTtlS": ttl, "lateWorth": 0.0,
			"name": name, "stream": false, "worth": worth}
	}
	plan := func(name string, rate, burst, pays, hardRate, capDepth, slack float64) map[string]any {
		return map[string]any{"capDepth": capDepth, "ceilingSlack": slack, "excessCost": 1.0, "extraWorth": 0.0, "hardRate": hardRate, "name": name,
			"parallel": 0, "pays": pays, "peakUnits": burst, "unitsPerS": rate}
	}
	return map[string]any{
		"balancers": n, "clientHabits": map[string]any{"marksRetry": false}, "discovery": "pushed", "failureDomains": []string{"qc-1"}, "family": "gate",
		"familyInfo": map[string]any{"counterPrice": 0.0, "counterTimeoutS": 0.0, "maxUnits": 6, "meterPeriodS": 0.0, "peerIntake": 40.0, "sharedCounter": false, "truedUp": false},
		"feedback":   map[string]any{"fields": []string{"cpu_share", "served_ps", "svc_ms"}, "how": "answers"},
		"kinds":      []string{"gen-a", "gen-b"},
		"limits": map[string]any{"cancel": true, "connIdleS": 15.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeoutS": 0.25, "maxAttempts": 5,
			"maxRetryAfterS": 1.0, "mostHeld": 20000, "multiplex": 32, "parallelTries": false, "peerMessages": true, "probes": true, "retryAfter": true},
		"me": me, "myZone": "qc-1",
		"packages":   []any{plan("comptoir", 1.8, 8, 0.8, 0, 0, 0), plan("resto", 8.6, 19, 1.1, 0, 0, 0), plan("chaine", 30, 79, 1.6, 55, 147, 15)},
		"prices":     map[string]any{"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.03, "probe": 0.01, "waste": 0.03},
		"profiles":   []any{class("zone-check", "retryable", 0.5, 2, 5, 1), class("slot-hold", "dedup", 1, 4, 4, 3), class("courier-send", "fragile", 1.5, 4, 5, 5)},
		"rules":      map[string]any{"answerSlackS": 0.016, "askWithinS": 10.0, "coldFrom": 0.26, "coldS": 15.0, "fallMultiple": 3.0, "fallS": 1.0, "stopSendingWithinS": 0.25},
		"scoreParts": map[string]any{"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
		"stages":     []string{"zone-fleet"}, "tickS": 0.004, "tier": 0, "weights": "none"}
}

// start starts n ingresses, and returns once all answer PING with PONG.
func (f *fleet) start(n int, servers []server) {
	run := runCommand(f.root)
	var peers []string
	for range n {
		peers = append(peers, freeAddr("udp"))
	}
	for i := range n {
		in := &ingress{name: fmt.Sprintf("n%d", i), listen: freeAddr("tcp"), ended: make(chan struct{})}
		d := startDiscovery(servers)
		tmp := filepath.Join(f.tmp, in.name)
		check(os.MkdirAll(filepath.Join(tmp, "tmp"), 0o755))
		cfg, err := json.MarshalIndent(map[string]any{"name": in.name, "listen": in.listen, "discovery": d.addr, "seed": fmt.Sprintf("%016x", rand.Uint64()),
			"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"peer_listen": peers[i], "peers": peers, "known": d.full, "settings": settings(n, i)}, "", " ")
		check(err)
		path := filepath.Join(tmp, "config.json")
		check(os.WriteFile(path, cfg, 0o644))
		logFile, err := os.Create(filepath.Join(tmp, "log"))
		check(err)
		in.cmd = exec.Command("/bin/sh", "-c", run)
		in.cmd.Dir, in.cmd.Stdout, in.cmd.Stderr = f.root, logFile, logFile
		in.cmd.Env = append(os.Environ(), "EDGE_NAME="+in.name, "EDGE_LISTEN="+in.listen, "EDGE_DISCOVERY="+d.addr, "EDGE_CONFIG="+path, "TMPDIR="+filepath.Join(tmp, "tmp"))
		in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		check(in.cmd.Start())
		f.ingresses = append(f.ingresses, in)
		go func() {
			err := in.cmd.Wait()
			if !in.stopping.Load() {
				f.crashed.Store(true)
				f.rec.log("ingress %s ended by itself: %v", in.name, err)
			}
			close(in.ended)
		}()
	}
	for _, in := range f.ingresses {
		f.awaitPong(in)
	}
}

func (f *fleet) awaitPong(in *ingress) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := net.DialTimeout("tcp4", in.listen, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		c.Write(command("PING"))
		v, err := readReply(bufio.NewReader(c))
		c.Close()
		if err == nil && v.kind == '+' {
			f.rec.log("ingress %s is ready at %s", in.name, in.listen)
			return
		}
	}
	panic(cannotRun{in.name + " does not become ready"})
}

func (f *fleet) stop() {
	for _, in := range f.ingresses {
		in.stopping.Store(true)
		in.cmd.Process.Kill()
		<-in.ended
		if text, err := os.ReadFile(filepath.Join(f.tmp, in.name, "log")); err == nil {
			for line := range strings.Lines(string(text)) {
				f.rec.log("log of %s: %s", in.name, strings.TrimSpace(line))
			}
		}
	}
}

// ---- clients ----

// call is one request of a client and its answer.
type call struct {
	id, class, plan, account string
	d                        time.Duration // how long the client waits
	units                    int
	key                      string
	body                     string
}

var lastID atomic.Uint64

func newCall(account uint64, plan, class string, units int, d time.Duration) call {
	c := call{id: fmt.Sprintf("%016x", lastID.Add(1)<<20|rand.Uint64N(1<<20)), class: class, plan: plan, account: fmt.Sprintf("%016x", account), d: d, units: units}
	if class == "slot-hold" {
		c.key = fmt.Sprintf("%016x", rand.Uint64())
	}
	return c
}

func (c call) encode(spread, first int) []byte {
	f := fmt.Sprintf("c=%s,t=%s,d=%d", c.class, c.plan, c.d.Milliseconds())
	if c.key != "" {
		f += ",k=" + c.key
	}
	f += fmt.Sprintf(",units=%d,spread=%d,first=%d", c.units, spread, first)
	if c.class == "zone-check" {
		return command("CALL.GET", c.account, c.id, f)
	}
	return command("CALL.POST", c.account, c.id, f, c.body)
}

// short words an answer for the record.
func (v reply) short() string {
	if v.kind == '$' {
		return fmt.Sprintf("a value of %d bytes: %.48q", len(v.text), v.text)
	}
	return fmt.Sprintf("%c%s", v.kind, v.text)
}
