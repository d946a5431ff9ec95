package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"eiderspread/internal/testbed/oracle"
)

// What operators do by hand to one-program ingresses: replace a program beside itself, take nodes out and call them back.
// Ingresses of a fleet of one level have a door each; every second start of one has it at another address. In two levels planners have one.

const (
	replaceMost    = 10 * time.Second // for an old program to end after its successor was started
	callMost       = 2 * time.Second
	callRetry      = 50 * time.Millisecond
	maxAdminLeaseS = 0.6              // seconds: planners with longer leases have no door
	resumeMost     = 10 * time.Second // for a call back to get through to an ingress that is down now
)

// adminInterface is one address of a program's operators' door, and the configuration that names it.
type adminInterface struct{ console, file string }

// addAdminInterfaces gives a program two configurations that differ in the door alone, and a folder that outlives it. wrap, if not nil, words the
// operator's file that names a configuration; the program is given that one.
func (f *Fleet) addAdminInterfaces(p *Proc, kind, file string, wrap func(n int, base string) (string, error)) error {
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
		path, err := f.write(fmt.Sprintf("%s-%d.json", p.Name, i), c)
		if err != nil {
			return err
		}
		if wrap != nil {
			if path, err = wrap(i, path); err != nil {
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

func (p *Proc) admin() adminInterface {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.adminInterfaces[p.turn%len(p.adminInterfaces)]
}

// Replace starts the program a second time beside itself, and returns when the first has ended. To clients its life goes
// on: no connection may end by it.
func (p *Proc) Replace() error {
	p.mu.Lock()
	old, exited := p.run, p.exited
	p.turn++
	p.mu.Unlock()
	if old == nil || !p.Up() {
		return errors.New("nothing runs that could be replaced")
	}
	if err := p.start(false); err != nil {
		return err
	}
	select {
	case <-exited:
		return nil
	case <-time.After(replaceMost):
		_ = old.Process.Kill()
		<-exited
		return fmt.Errorf("%s: the old program did not end", p.Name)
	}
}

// ReplaceInVain starts the program a second time beside itself, has meanwhile run from its first yes on, and kills it. The first
// process goes on; it returns when that one takes clients again.
func (p *Proc) ReplaceInVain(meanwhile func()) error {
	p.mu.Lock()
	old, exited, paused, turn := p.run, p.exited, p.paused, p.turn
	p.turn++
	p.mu.Unlock()
	if old == nil || !p.Up() {
		return errors.New("nothing runs that could be replaced")
	}
	err := p.start(false)
	if err == nil {
		p.ready(replaceMost / 2)
		meanwhile()
		p.Kill()
	}
	select {
	case <-exited: // it had nothing left: what died was the program
		return p.start(true)
	default:
	}
	p.mu.Lock()
	p.run, p.exited, p.paused, p.turn = old, exited, paused, turn
	p.mu.Unlock()
	if err == nil && !p.ready(replaceMost/2) {
		err = fmt.Errorf("%s: the first program does not take clients again", p.Name)
	}
	return err
}

// ready waits until the program's door says that it takes clients; false if it does not come to that.
func (p *Proc) ready(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(callRetry / 10) {
		if status, err := p.Call(context.Background(), http.MethodGet, "/v1/readyz"); err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

var operators = http.Client{Timeout: callMost, Transport: &http.Transport{DisableKeepAlives: true}}

// Call makes an operator's call and returns its status.
func (p *Proc) Call(ctx context.Context, method, path string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.admin().console+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := operators.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// cordon has operators take a node out at every ingress that says yes, for as long as wait does, and call it back.
func (f *Fleet) cordon(n *Node, meanwhile func()) {
	held := make([]bool, len(f.Forwarders))
	var all sync.WaitGroup
	for i, p := range f.Forwarders {
		all.Go(func() {
			if status, err := p.Call(context.Background(), http.MethodPost, "/v1/backends/"+n.ID+"/suspend"); err == nil && status == http.StatusOK {
				held[i] = true
				f.Hist.SetCordon(f.Observer(i), n.ID, true)
			}
		})
	}
	all.Wait()
	meanwhile()
	for i, p := range f.Forwarders {
		if !held[i] {
			continue
		}
		all.Go(func() {
			f.Hist.SetCordon(f.Observer(i), n.ID, false)
			status := 0
			for end := time.Now().Add(resumeMost); time.Now().Before(end); time.Sleep(callRetry) {
				var err error
				if status, err = p.Call(context.Background(), http.MethodPost, "/v1/backends/"+n.ID+"/resume"); err == nil && status < 500 {
					break
				}
			}
			if status != http.StatusOK {
				f.Hist.AddFault(fmt.Sprintf("%s does not call %s back: status %d", p.Name, n.ID, status))
			}
		})
	}
	all.Wait()
}

// cordonAtPlanner has operators take a node out at one planner, for as long as meanwhile does, and call it back at another. From the yes on
// every forwarder is bound, whoever leads.
func (f *Fleet) cordonAtPlanner(n *Node, at int, meanwhile func()) {
	path := "/v1/backends/" + n.ID
	yes, status, err := false, 0, error(nil)
	for end := time.Now().Add(resumeMost / 3); !yes && time.Now().Before(end); at++ { // a planner may be down, or linked to too few
		status, err = f.Planners[at%len(f.Planners)].Call(context.Background(), http.MethodPost, path+"/suspend")
		yes = err == nil && status == http.StatusOK
	}
	if yes {
		for i := range f.Forwarders {
			f.Hist.SetCordon(f.Observer(i), n.ID, true)
		}
	} else {
		f.Hist.AddFault(fmt.Sprintf("planner %d does not hold %s: status %d, %v", at%len(f.Planners), n.ID, status, err))
	}
	meanwhile()
	for i := range f.Forwarders {
		if yes {
			f.Hist.SetCordon(f.Observer(i), n.ID, false)
		}
	}
	for end := time.Now().Add(resumeMost); time.Now().Before(end); time.Sleep(callRetry) {
		at++ // whichever answers
		if status, err = f.Planners[at%len(f.Planners)].Call(context.Background(), http.MethodPost, path+"/resume"); err == nil && status == http.StatusOK {
			return
		}
	}
	f.Hist.AddFault(fmt.Sprintf("nobody calls %s back: status %d, %v", n.ID, status, err))
}

func init() {
	kinds["fleet held"] = kind{"operators take a node out at one planner and call it back at another", 1, 2, one("held"),
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			if n := f.pick(x.A); n != nil {
				f.cordonAtPlanner(n, x.B, func() { wait(x.For) })
			}
		}}
	kinds["away"] = kind{"operators send a planner away and have it back", 1, 2, onPlanner,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			p := f.Planners[x.A%len(f.Planners)]
			_, _ = p.Call(context.Background(), http.MethodPost, "/v1/ingress/drain")
			wait(x.For)
			_, _ = p.Call(context.Background(), http.MethodPost, "/v1/ingress/activate")
		}}
	kinds["replaced"] = kind{"operators replace an ingress's program beside itself", 1, 4, onForwarder,
		func(f *Fleet, x Fault, _ func(time.Duration) bool) {
			i, from := x.A%len(f.Forwarders), f.Hist.Now()
			if err := f.Forwarders[i].Replace(); err != nil {
				f.Hist.AddFault("not replaced: " + err.Error())
				return
			}
			f.Hist.AddReplacement(i, from, f.Hist.Now())
		}}
	kinds["fleet replaced"] = kind{"operators replace a forwarder's program beside itself", 2, 2, onForwarder, kinds["replaced"].inject}
	kinds["successor dies"] = kind{"operators replace a forwarder's program, and the new one dies of it", 1, 2, onForwarder,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			i, from := x.A%len(f.Forwarders), f.Hist.Now()
			err := f.Forwarders[i].ReplaceInVain(func() { wait(time.Duration(0.4 * x.X * float64(time.Second))) })
			f.Hist.AddOutage(i, from, f.Hist.Now()) // what the new one had taken is its clients' to try again
			if err != nil {
				f.Hist.AddFault("not replaced in vain: " + err.Error())
			}
		}}
	kinds["held"] = kind{"operators take a node out at every ingress, restart it at times, and call it back", 1, 4, one("held"),
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
	scenarios["operators"] = scenario{what: "programs replaced beside themselves, nodes held and restarted, while nodes err, drain and crash and programs die",
		kinds: []string{"replaced", "replaced", "replaced", "held", "held", "held", "drain", "crash", "sick", "forwarder", "broken roster", "silent roster", "late roster"},
		every: 400 * time.Millisecond, faultyFraction: 0.05, hangUps: 0.03, batches: 0.2, misbehaving: 1,
		floors: map[string]int{oracle.RuleCordon: 20, oracle.RuleReplacement: 20, oracle.RuleNoRequestLost: 50}}
}
