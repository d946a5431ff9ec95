package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"eiderspread/internal/testbed/oracle"
)

// Faults of the soak (docs/operating-testbed.md): what operators and machines do to a process while it serves requests.

const (
	drainTimeout     = 4 * time.Second        // after this time a drained ingress may hold no client connection,
	drainRequestAge  = 2 * time.Second        // except those with a pending request that is older than this
	drainSlack       = 50 * time.Millisecond  // of each time limit on sockets, by the protocol's page
	linkDialTime     = 50 * time.Millisecond  // for a link to connect to its ingress, or to be refused
	activateTimeout  = 2 * time.Second        // for an ingress to accept clients again after its activation
	minStall         = 40 * time.Millisecond  // shortest time for which a process is stopped
	maxStall         = 150 * time.Millisecond // longest time, as stated on the operators' page
	stallInterval    = 200 * time.Millisecond // time between two stops
	brokenConfigTime = 100 * time.Millisecond // for which an invalid configuration file stays in place
)

// drainAndActivate drains an ingress through its admin interface, checks after drainTimeout that it has closed its client
// connections, and activates it again. With a deaf front, clients still connect to the drained ingress.
func (f *Fleet) drainAndActivate(i int, deaf bool, drainedFor time.Duration, wait func(time.Duration) bool) {
	p := f.Forwarders[i]
	call := func(action string) (int, error) {
		return p.Call(context.Background(), http.MethodPost, "/v1/ingress/"+action)
	}
	if status, err := call("drain"); err != nil || status != http.StatusOK {
		f.Hist.AddFault(fmt.Sprintf("drain of %s failed: status %d, want 200, error %v", p.Name, status, err))
		return
	}
	incarnation := p.Incarnation()
	f.Front.SetDrained(i, !deaf)
	defer f.Front.SetDrained(i, false)
	if wait(drainTimeout + drainSlack) {
		overdue := f.clients.overdueConns(i, drainRequestAge)
		wait(linkDialTime) // until a link that has taken a connection knows whether its ingress refuses it
		result := oracle.DrainResult{Forwarder: i, OpenConnections: f.clients.reachedConns(overdue)}
		if incarnation >= 0 && p.Incarnation() == incarnation {
			f.Hist.AddDrainResult(result)
		}
		wait(drainedFor)
	}
	if status, err := call("activate"); err != nil || status != http.StatusOK {
		f.Hist.AddFault(fmt.Sprintf("activation of %s failed: status %d, want 200, error %v", p.Name, status, err))
		return
	}
	if err := p.Ready(activateTimeout); err != nil {
		f.Hist.AddFault("after drain and activation: " + err.Error())
	}
}

// stall stops a process again and again, each time for minStall to maxStall, by the fault's strength.
func (f *Fleet) stall(i int, x Fault, wait func(time.Duration) bool) {
	p := f.Forwarders[i]
	stopTime := minStall + time.Duration(x.X*float64(maxStall-minStall))
	for end := time.Now().Add(x.For); time.Now().Before(end); {
		running := true
		p.Stall(func() { running = wait(stopTime) })
		if !running || !wait(stallInterval) {
			return
		}
	}
}

// Stall stops the program with SIGSTOP while wait runs. Other than with Pause, it counts as up.
func (p *Proc) Stall(wait func()) {
	p.signal(syscall.SIGSTOP)
	defer p.signal(syscall.SIGCONT)
	wait()
}

// reloadConfigs makes an ingress reload its configuration three times: a truncated file, a valid one with another limit of
// attempts, which is at most its own, and its own.
func (f *Fleet) reloadConfigs(i int, x Fault, wait func(time.Duration) bool) {
	p := f.Forwarders[i]
	path := p.admin().file
	own, err := os.ReadFile(path)
	if err != nil {
		f.Hist.AddFault("configuration not read: " + err.Error())
		return
	}
	put := func(text []byte) {
		next := path + ".next"
		err := os.WriteFile(next, text, 0o600)
		if err == nil {
			err = os.Rename(next, path)
		}
		if err != nil {
			f.Hist.AddFault("configuration not written: " + err.Error())
		}
		p.HUP()
	}
	defer put(own)
	put(own[:len(own)/2])
	if !wait(brokenConfigTime) {
		return
	}
	var c map[string]any
	if err := json.Unmarshal(own, &c); err != nil {
		f.Hist.AddFault("configuration not decoded: " + err.Error())
		return
	}
	c["settings"].(map[string]any)["limits"].(map[string]any)["maxAttempts"] = 2 + x.B%(MaxAttempts-1)
	if text, err := json.Marshal(c); err == nil {
		put(text)
	}
	wait(x.For)
}

// recordRuleViolations reads the ingresses' logs and records the rule violations that they report.
func (f *Fleet) recordRuleViolations() {
	for _, p := range f.Forwarders {
		text, err := os.ReadFile(p.log)
		if err != nil {
			f.Hist.AddFault("log of " + p.Name + ": " + err.Error())
			continue
		}
		c := oracle.IngressViolations{Ingress: p.Name}
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte(`msg="rule broken"`)) {
				c.Lines = append(c.Lines, strings.TrimSpace(string(line)))
			}
		}
		f.Hist.AddIngressViolations(c)
	}
}

// Logs returns the paths of the log files of all programs.
func (f *Fleet) Logs() []string {
	list, _ := filepath.Glob(filepath.Join(f.cfg.Dir, "*.log"))
	return list
}

func init() {
	kinds["drained"] = kind{"an ingress is drained, the front notices, and it is activated again", 1, 4, onForwarder,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			f.drainAndActivate(x.A%len(f.Forwarders), false, x.For/2, wait)
		}}
	kinds["drained-deaf"] = kind{"an ingress is drained, the front does not notice, and it is activated again", 1, 4, onForwarder,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			f.drainAndActivate(x.A%len(f.Forwarders), true, x.For/2, wait)
		}}
	kinds["held up"] = kind{"an ingress is stopped for up to 0.15 s, again and again", 1, 4, onForwarder,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) { f.stall(x.A%len(f.Forwarders), x, wait) }}
	kinds["reloaded"] = kind{"an ingress reloads an invalid configuration, one with another limit of attempts, and its own", 1, 4, onForwarder,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			f.reloadConfigs(x.A%len(f.Forwarders), x, wait)
		}}
	kinds["node reset"] = kind{"all connections to a node are reset", 1, 5, nil, func(f *Fleet, x Fault, _ func(time.Duration) bool) {
		if n := f.pick(x.A); n != nil {
			for _, k := range f.linksOf(n) {
				k.Break()
			}
		}
	}}
}
