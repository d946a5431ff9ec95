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

// Faults of the soak (docs/operating-laboratory.md): what operators and machines do to a process while it serves.

const (
	drainTimeout     = 4 * time.Second        // after which a drained ingress may hold no client
	drainRequestAge  = 2 * time.Second        // but for those whose request is older
	drainSlack       = 250 * time.Millisecond // until what is held at that moment has to be gone
	activateTimeout  = 2 * time.Second        // for an ingress to take clients again
	minStall         = 40 * time.Millisecond  // a process stands still for so long
	maxStall         = 150 * time.Millisecond // and at most, by the operators' page
	stallInterval    = 200 * time.Millisecond // between two times
	brokenConfigTime = 100 * time.Millisecond // a configuration that can't be read stays so long
)

// drainAndActivate has operators drain an ingress, hold it against what they are promised, and activate it. A deaf front goes on sending it clients.
func (f *Fleet) drainAndActivate(i int, deaf bool, stays time.Duration, wait func(time.Duration) bool) {
	p := f.Forwarders[i]
	call := func(what string) (int, error) {
		return p.Call(context.Background(), http.MethodPost, "/v1/ingress/"+what)
	}
	if status, err := call("drain"); err != nil || status != http.StatusOK {
		f.Hist.AddFault(fmt.Sprintf("%s is not drained: status %d, %v", p.Name, status, err))
		return
	}
	life := p.Incarnation()
	f.Front.SetDrained(i, !deaf)
	defer f.Front.SetDrained(i, false)
	if wait(drainTimeout) {
		held := f.clients.overdueConns(i, drainRequestAge)
		wait(drainSlack)
		still := f.clients.overdueConns(i, drainRequestAge+drainSlack)
		e := oracle.DrainResult{Forwarder: i}
		for k, how := range held {
			if still[k] != "" {
				e.OpenConnections = append(e.OpenConnections, how)
			}
		}
		if life >= 0 && p.Incarnation() == life {
			f.Hist.AddDrainResult(e)
		}
		wait(stays)
	}
	if status, err := call("activate"); err != nil || status != http.StatusOK {
		f.Hist.AddFault(fmt.Sprintf("%s is not activated: status %d, %v", p.Name, status, err))
		return
	}
	if err := p.Ready(activateTimeout); err != nil {
		f.Hist.AddFault("after its drain " + err.Error())
	}
}

// stall has a process stand still again and again, each time for as long as operators allow at most.
func (f *Fleet) stall(i int, x Fault, wait func(time.Duration) bool) {
	p := f.Forwarders[i]
	still := minStall + time.Duration(x.X*float64(maxStall-minStall))
	for end := time.Now().Add(x.For); time.Now().Before(end); {
		p.signal(syscall.SIGSTOP)
		goesOn := wait(still)
		p.signal(syscall.SIGCONT)
		if !goesOn || !wait(stallInterval) {
			return
		}
	}
}

// reloadConfigs has an ingress read its configuration again: first a broken one, then one with fewer attempts, then its own.
func (f *Fleet) reloadConfigs(i int, x Fault, wait func(time.Duration) bool) {
	p := f.Forwarders[i]
	path := p.admin().file
	own, err := os.ReadFile(path)
	if err != nil {
		f.Hist.AddFault("not reloaded: " + err.Error())
		return
	}
	put := func(text []byte) {
		next := path + ".next"
		err := os.WriteFile(next, text, 0o600)
		if err == nil {
			err = os.Rename(next, path)
		}
		if err != nil {
			f.Hist.AddFault("not reloaded: " + err.Error())
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
		f.Hist.AddFault("not reloaded: " + err.Error())
		return
	}
	c["settings"].(map[string]any)["limits"].(map[string]any)["maxAttempts"] = 2 + x.B%(MaxAttempts-1)
	if text, err := json.Marshal(c); err == nil {
		put(text)
	}
	wait(x.For)
}

// recordRuleViolations records what each ingress has logged of rules that it broke.
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

// Logs are the logs of all ingresses.
func (f *Fleet) Logs() []string {
	list, _ := filepath.Glob(filepath.Join(f.cfg.Dir, "*.log"))
	return list
}

func init() {
	kinds["drained"] = kind{"operators drain an ingress, whose front notices, and activate it", 1, 4, onForwarder,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			f.drainAndActivate(x.A%len(f.Forwarders), false, x.For/2, wait)
		}}
	kinds["drained-deaf"] = kind{"operators drain an ingress, whose front does not notice, and activate it", 1, 4, onForwarder,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) {
			f.drainAndActivate(x.A%len(f.Forwarders), true, x.For/2, wait)
		}}
	kinds["held up"] = kind{"an ingress stands still for up to 0.15 s, again and again", 1, 4, onForwarder,
		func(f *Fleet, x Fault, wait func(time.Duration) bool) { f.stall(x.A%len(f.Forwarders), x, wait) }}
	kinds["reloaded"] = kind{"an ingress reads a broken configuration, one with fewer attempts, and its own", 1, 4, onForwarder,
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
