package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"eiderspread/internal/testbed/oracle"
)

// Operations of operators: hot restarts of programs, and cordons of nodes. Operators call the admin interfaces of programs. Ingresses and
// forwarders have two addresses for it, which alternate with each hot restart, as predecessor and successor run at the same time. Planners
// have one.

const (
	replaceTimeout  = 10 * time.Second      // for the predecessor to end after its successor was started
	callTimeout     = 2 * time.Second       // of one call
	callRetry       = 50 * time.Millisecond // interval between retries of a call
	maxAdminLeaseS  = 0.6                   // seconds: planners with longer leases have no admin interface
	uncordonTimeout = 10 * time.Second      // for an uncordon call to succeed at a program that may be down at first
)

// adminInterface is an address of the admin interface of a program, and the configuration with that address.
type adminInterface struct{ addr, file string }

// addAdminInterfaces gives a program two configurations that differ only in the address of the admin interface, and a temporary directory that
// outlives its processes. writeOperatorFile, if not nil, writes an operator's file that names configuration base; the program is then started
// with that file.
func (f *Fleet) addAdminInterfaces(p *Proc, kind, file string, writeOperatorFile func(n int, base string) (string, error)) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	tmp := filepath.Join(f.cfg.Dir, "tmp-"+p.Name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	for i := range p.adminInterfaces {
		var c map[string]any
		if err := json.Unmarshal(text, &c); err != nil {
			return err
		}
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		c["console"] = addr
		path, err := f.writeJSON(fmt.Sprintf("%s-%d.json", p.Name, i), c)
		if err != nil {
			return err
		}
		if writeOperatorFile != nil {
			if path, err = writeOperatorFile(i, path); err != nil {
				return err
			}
		}
		p.adminInterfaces[i] = adminInterface{addr, path}
	}
	p.cmd = func() *exec.Cmd {
		c := f.cfg.Spawn(kind, p.admin().file)
		if c.Env == nil {
			c.Env = os.Environ()
		}
		c.Env = append(c.Env, "TMPDIR="+tmp)
		if kind == "ingress" && f.cfg.Operator != "" {
			c.Env = append(c.Env, envOperator+"="+filepath.Join(f.cfg.Dir, p.Name+".toml"))
		}
		if kind == "ingress" && f.cfg.LateDials > 0 {
			c.Env = append(c.Env, fmt.Sprintf("%s=%g", envDialLate, f.cfg.LateDials))
		}
		return c
	}
	return nil
}

// admin returns the admin interface that is in use.
func (p *Proc) admin() adminInterface {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.adminInterfaces[p.replacements%len(p.adminInterfaces)]
}

// Replace hot-restarts the program: it starts a successor and returns when the predecessor has ended. The incarnation stays the same, as no
// client's connection may end because of a hot restart.
func (p *Proc) Replace() error {
	p.mu.Lock()
	old, exited := p.running, p.exited
	p.replacements++
	p.mu.Unlock()
	if old == nil || !p.Up() {
		return fmt.Errorf("%s is not running, so it has no hot restart", p.Name)
	}
	if err := p.start(false); err != nil {
		return err
	}
	select {
	case <-exited:
		return nil
	case <-time.After(replaceTimeout):
		_ = old.Process.Kill()
		<-exited
		return fmt.Errorf("%s: the predecessor did not end within %v of the start of its successor", p.Name, replaceTimeout)
	}
}

// ReplaceAndKillSuccessor starts a successor, calls meanwhile when it is ready or after half of replaceTimeout, and kills it. The predecessor
// goes on; the method returns when the predecessor accepts clients again.
func (p *Proc) ReplaceAndKillSuccessor(meanwhile func()) error {
	return p.replaceAndKill(func() { p.waitReady(replaceTimeout / 2); meanwhile() }, func() bool { return p.waitReady(replaceTimeout / 2) })
}

// ReplaceAndKillSuccessorAfter starts a successor and kills it after a time. Other than ReplaceAndKillSuccessor, it is for a program that is drained,
// which is never ready.
func (p *Proc) ReplaceAndKillSuccessorAfter(lifetime time.Duration) error {
	return p.replaceAndKill(func() { time.Sleep(lifetime) }, p.Up)
}

// replaceAndKill starts a successor, calls meanwhile and kills it. goesOn then reports whether the predecessor goes on.
func (p *Proc) replaceAndKill(meanwhile func(), goesOn func() bool) error {
	p.mu.Lock()
	old, exited, paused, replacements := p.running, p.exited, p.paused, p.replacements
	p.replacements++
	p.mu.Unlock()
	if old == nil || !p.Up() {
		return fmt.Errorf("%s is not running, so it has no hot restart", p.Name)
	}
	err := p.start(false)
	if err == nil {
		meanwhile()
		p.Kill()
	}
	select {
	case <-exited: // the predecessor had handed over everything and ended: the kill ended the program
		return p.startAndWait()
	default:
	}
	p.mu.Lock()
	p.running, p.exited, p.paused, p.replacements = old, exited, paused, replacements
	p.mu.Unlock()
	if err == nil && !goesOn() {
		if !p.Up() { // it had handed over everything, and was still ending when its successor was killed
			return p.startAndWait()
		}
		err = fmt.Errorf("%s: the predecessor is not ready %v after its successor was killed", p.Name, replaceTimeout/2)
	}
	return err
}

// startAndWait starts a new incarnation and waits until it serves.
func (p *Proc) startAndWait() error {
	if err := p.start(true); err != nil {
		return err
	}
	return p.Ready(replaceTimeout)
}

// waitReady waits until the program's admin interface reports it as ready. It returns false if that does not happen within timeout, or if
// the program ends.
func (p *Proc) waitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); p.Up() && time.Now().Before(end); time.Sleep(callRetry / 10) {
		if status, err := p.Call(context.Background(), http.MethodGet, "/v1/readyz"); err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

var adminClient = http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Call calls the admin interface of the program and returns the HTTP status.
func (p *Proc) Call(ctx context.Context, method, path string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.admin().addr+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// cordon cordons a node at every ingress that accepts the call, runs meanwhile, and uncordons the node at these ingresses.
func (f *Fleet) cordon(n *Node, meanwhile func()) {
	cordoned := make([]bool, len(f.Forwarders))
	var all sync.WaitGroup
	for i, p := range f.Forwarders {
		all.Go(func() {
			if status, err := p.Call(context.Background(), http.MethodPost, "/v1/backends/"+n.ID+"/suspend"); err == nil && status == http.StatusOK {
				cordoned[i] = true
				f.Hist.SetCordon(f.Observer(i), n.ID, true)
			}
		})
	}
	all.Wait()
	meanwhile()
	for i, p := range f.Forwarders {
		if !cordoned[i] {
			continue
		}
		all.Go(func() {
			f.Hist.SetCordon(f.Observer(i), n.ID, false)
			status := 0
			for end := time.Now().Add(uncordonTimeout); time.Now().Before(end); time.Sleep(callRetry) {
				var err error
				if status, err = p.Call(context.Background(), http.MethodPost, "/v1/backends/"+n.ID+"/resume"); err == nil && status < 500 {
					break
				}
			}
			if status != http.StatusOK {
				f.Hist.AddFault(fmt.Sprintf("%s does not uncordon %s: status %d", p.Name, n.ID, status))
			}
		})
	}
	all.Wait()
}

// cordonAtPlanner cordons a node at one planner, runs meanwhile, and uncordons the node at another planner. Once a planner has accepted the
// cordon, it binds every forwarder, whichever planner leads.
func (f *Fleet) cordonAtPlanner(n *Node, at int, meanwhile func()) {
	path := "/v1/backends/" + n.ID
	cordoned, status, err := false, 0, error(nil)
	for end := time.Now().Add(uncordonTimeout / 3); !cordoned && time.Now().Before(end); at++ { // a planner may be down, or linked to too few forwarders
		status, err = f.Planners[at%len(f.Planners)].Call(context.Background(), http.MethodPost, path+"/suspend")
		cordoned = err == nil && status == http.StatusOK
	}
	if cordoned {
		for i := range f.Forwarders {
			f.Hist.SetCordon(f.Observer(i), n.ID, true)
		}
	} else {
		f.Hist.AddFault(fmt.Sprintf("planner %d does not cordon %s: status %d, %v", at%len(f.Planners), n.ID, status, err))
	}
	meanwhile()
	for i := range f.Forwarders {
		if cordoned {
			f.Hist.SetCordon(f.Observer(i), n.ID, false)
		}
	}
	for end := time.Now().Add(uncordonTimeout); time.Now().Before(end); time.Sleep(callRetry) {
		at++ // try the next planner
		if status, err = f.Planners[at%len(f.Planners)].Call(context.Background(), http.MethodPost, path+"/resume"); err == nil && status == http.StatusOK {
			return
		}
	}
	f.Hist.AddFault(fmt.Sprintf("no planner uncordons %s: status %d, %v", n.ID, status, err))
}

func init() {
	kinds["fleet held"] = kind{"operators cordon a node at one planner and uncordon it at another", 1, 2, fixedTarget("held"),
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			if n := f.pick(x.A); n != nil {
				f.cordonAtPlanner(n, x.B, func() { wait(x.For) })
			}
		}}
	kinds["away"] = kind{"operators drain a planner and activate it again", 1, 2, onPlanner,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			p := f.Planners[x.A%len(f.Planners)]
			_, _ = p.Call(context.Background(), http.MethodPost, "/v1/ingress/drain")
			wait(x.For)
			_, _ = p.Call(context.Background(), http.MethodPost, "/v1/ingress/activate")
		}}
	kinds["replaced"] = kind{"operators hot-restart an ingress", 1, 4, onForwarder,
		func(f *Fleet, x Fault, _ func(time.Duration) bool) {
			i, from := x.A%len(f.Forwarders), f.Hist.Now()
			if err := f.Forwarders[i].Replace(); err != nil {
				f.Hist.AddFault("hot restart failed: " + err.Error())
				return
			}
			f.Hist.AddHotRestart(i, from, f.Hist.Now())
		}}
	kinds["fleet replaced"] = kind{"operators hot-restart a forwarder", 2, 2, onForwarder, kinds["replaced"].inject}
	kinds["successor dies"] = kind{"operators hot-restart a forwarder, and the successor is killed", 1, 2, onForwarder,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			i, from := x.A%len(f.Forwarders), f.Hist.Now()
			err := f.Forwarders[i].ReplaceAndKillSuccessor(func() { wait(time.Duration(0.4 * x.X * float64(time.Second))) })
			f.Hist.AddOutage(i, from, f.Hist.Now()) // clients have to retry what the successor had accepted
			if err != nil {
				f.Hist.AddFault("hot restart with killed successor failed: " + err.Error())
			}
		}}
	kinds["held"] = kind{"operators cordon a node at every ingress, restart it at times, and uncordon it", 1, 4, fixedTarget("held"),
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			n := f.pick(x.A)
			if n == nil {
				return
			}
			f.cordon(n, func() {
				if x.B%3 == 0 {
					f.crash(n, "", x, wait)
				}
				wait(x.For)
			})
		}}
	scenarios["operators"] = scenario{what: "hot restarts of programs and cordons and restarts of nodes, while nodes fail, drain and crash and programs are killed",
		kinds: []string{"replaced", "replaced", "replaced", "held", "held", "held", "drain", "crash", "sick", "forwarder", "broken roster", "silent roster", "late roster"},
		every: 400 * time.Millisecond, faultyFraction: 0.05, hangUps: 0.03, batches: 0.2, misbehaving: 1,
		floors: map[string]int{oracle.RuleCordon: 20, oracle.RuleHotRestart: 20, oracle.RuleNoRequestLost: 50}}
}
