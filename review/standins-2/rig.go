package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case has started, and the record of what was sent, answered and run.
type rig struct {
	root    string // of the repository
	tmp     string
	trouble bool

	mu     sync.Mutex
	record *os.File
	began  time.Time
	procs  []*process
}

func newRig(root, folder string) (*rig, error) {
	base := os.TempDir()
	if len(base) > 40 { // an ingress's $TMPDIR lies in it, and only one case is about long paths
		base = "/tmp"
	}
	tmp, err := os.MkdirTemp(base, "rv2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &rig{root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", record: f, began: time.Now()}, nil
}

// run runs a case and ends whatever it started. A panic counts as a case that could not run.
func (r *rig) run(do func(*rig) (bool, error)) (broken bool, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
		r.note("result: broken=%v error=%v", broken, err)
		r.endAll()
		r.mu.Lock()
		r.record.Close()
		r.mu.Unlock()
		os.RemoveAll(r.tmp)
	}()
	limit := time.AfterFunc(110*time.Second, func() {
		r.note("the case took too long")
		r.endAll()
		os.RemoveAll(r.tmp)
		os.Exit(2)
	})
	defer limit.Stop()
	r.note("disruption: %v", r.trouble)
	return do(r)
}

// note writes a line with the time since the start to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.4f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// process is a process of the project that a case has started.
type process struct {
	rig  *rig
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a shell command from the repository's root, as the deploy file's run is started. The command has to end in exec.
func (r *rig) start(name, command string, env ...string) *process {
	log, err := os.Create(filepath.Join(r.tmp, name+".log"))
	must(err)
	p := &process{rig: r, name: name, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = r.root, log, log
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.cmd.Start())
	r.note("process %s started", name)
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		err := p.cmd.Wait()
		r.note("process %s ended: %v", name, err)
		log.Close()
		close(p.done)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.rig.note("%v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (r *rig) endAll() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		if !p.ended() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = exec.Command("cp", "-r", r.tmp, keep).Run()
	}
}

// object is a JSON object.
type object = map[string]any

// settings returns the settings of rayon-quebec's kind: three classes, three plans.
func settings(ingresses, self int) object {
	return object{"balancers": ingresses, "me": self, "myZone": "qc-1", "tickS": 0.004, "discovery": "pushed",
		"failureDomains": []string{"qc-1"}, "family": "gate", "kinds": []string{"gen-a", "gen-b"}, "tier": 0, "weights": "none",
		"clientHabits": object{"marksRetry": false},
		"familyInfo":   object{"maxUnits": 6, "peerIntake": 40, "sharedCounter": false, "truedUp": false},
		"feedback":     object{"fields": []string{"cpu_share", "served_ps", "svc_ms"}, "how": "answers"},
		"limits": object{"cancel": true, "connIdleS": 15, "dialTimeoutS": 0.25, "maxAttempts": 5, "maxRetryAfterS": 1, "mostHeld": 20000,
			"multiplex": 32, "parallelTries": false, "peerMessages": ingresses > 1, "probes": true, "retryAfter": true},
		"packages": []object{
			{"name": "comptoir", "unitsPerS": 1.8, "peakUnits": 8, "pays": 0.8},
			{"name": "resto", "unitsPerS": 8.6, "peakUnits": 19, "parallel": 6, "pays": 1.1},
			{"name": "chaine", "unitsPerS": 30, "peakUnits": 79, "pays": 1.6, "hardRate": 55, "capDepth": 147, "ceilingSlack": 15}},
		"prices": object{"crossZone": 0},
		"profiles": []object{
			{"name": "zone-check", "aimS": 0.5, "deadlineS": 2, "effect": "retryable", "keyScope": "all", "keyTtlS": 5, "worth": 1},
			{"name": "slot-hold", "aimS": 1, "deadlineS": 4, "effect": "dedup", "keyScope": "all", "keyTtlS": 4, "worth": 3},
			{"name": "courier-send", "aimS": 1.5, "deadlineS": 4, "effect": "fragile", "keyScope": "all", "keyTtlS": 5, "worth": 5}},
		"rules": object{"answerSlackS": 0.016, "askWithinS": 10, "coldFrom": 0.26, "coldS": 15, "fallMultiple": 3, "fallS": 1,
			"stopSendingWithinS": 0.25},
		"scoreParts": object{"worstTenant": 0.25}, "stages": []string{"zone-fleet"}}
}

// ingress is one ingress of the platform's kind: a process, or two during an upgrade.
type ingress struct {
	rig           *rig
	name          string
	listen        string
	console       string // of the newest process
	config        object
	dir           string // $TMPDIR, shared by the processes of an upgrade
	generation    int
	discoveryAddr string
}

// newIngresses configures n ingresses that know the backends of d.
func (r *rig) newIngresses(n int, discoveryAddr string, known list) []*ingress {
	var peers []string
	for range n {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		must(err)
		peers = append(peers, c.LocalAddr().String())
		defer c.Close()
	}
	var all []*ingress
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		in := &ingress{rig: r, name: name, listen: freeAddr(), dir: filepath.Join(r.tmp, name), discoveryAddr: discoveryAddr}
		must(os.Mkdir(in.dir, 0o700))
		in.config = object{"name": name, "listen": in.listen, "discovery": discoveryAddr, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", i+1),
			"limits":      object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"peer_listen": peers[i], "peers": peers, "known": known, "settings": settings(n, i)}
		all = append(all, in)
	}
	return all
}

// start starts a process of the ingress by the deploy file's command, with a console of its own.
func (in *ingress) start() *process {
	in.generation++
	in.console = freeAddr()
	in.config["console"] = in.console
	text, err := json.Marshal(in.config)
	must(err)
	path := filepath.Join(in.rig.tmp, fmt.Sprintf("%s-%d.json", in.name, in.generation))
	must(os.WriteFile(path, text, 0o600))
	return in.rig.start(fmt.Sprintf("%s-%d", in.name, in.generation), "exec bin/eiderspread", "EDGE_NAME="+in.name, "EDGE_LISTEN="+in.listen,
		"EDGE_DISCOVERY="+in.discoveryAddr, "EDGE_CONFIG="+path, "EDGE_CONSOLE="+in.console, "TMPDIR="+in.dir)
}

var errNotReady = errors.New("not ready in time")

// awaitReady waits until the newest process of the ingress says yes at its console.
func (in *ingress) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if call(http.MethodGet, in.console, "/v1/readyz") {
			in.rig.note("%s says yes at console %d", in.name, in.generation)
			return nil
		}
	}
	return fmt.Errorf("%s: %w", in.name, errNotReady)
}

// awaitPong waits until the ingress answers PING with PONG.
func (in *ingress) awaitPong(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := dial(in.listen)
		if err != nil {
			continue
		}
		answer, err := c.do(time.Second, "PING")
		c.Close()
		if err == nil && answer.kind == '+' {
			return nil
		}
	}
	return fmt.Errorf("%s: no PONG: %w", in.name, errNotReady)
}

// call makes an operator's call and reports whether the answer is 2xx.
func call(method, addr, path string) bool {
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	must(err)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode/100 == 2
}
