package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"time"

	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/controlplane/rollout"
)

const (
	upgradeTick = 20 * time.Millisecond
	doorMost    = time.Second
	restartMost = time.Minute
)

// upgradeProgram is one of a rollout's programs, as the operator's file names it.
type upgradeProgram struct {
	Name    string
	Kind    rollout.Kind
	Door    string   // its operators' door
	Status  string   // its status address; empty: whether anything is left on it is not asked
	Restart []string // the command that ends it and starts the next version; it returns when it has done so
	Doors   []string // in place of door, with replace: of its processes, one after the other
	Replace []string // in place of restart: the command that starts the next version beside it; doorEnv names the door it is to have
}

// doorEnv is in the environment of a replace command: the address of the program's doors that is free.
const doorEnv = "EIDERFLEET_DOOR"

// check tells what is wrong with a program of the file.
func (p upgradeProgram) check() error {
	beside := len(p.Replace) > 0
	switch {
	case beside && p.Kind == rollout.Planner:
		return fmt.Errorf("program %q: a planner hands its cells over and is restarted, it is not replaced beside itself", p.Name)
	case beside && (len(p.Doors) != 2 || p.Doors[0] == p.Doors[1] || p.Door != "" || len(p.Restart) > 0):
		return fmt.Errorf("program %q: replace goes with two doors, and with neither door nor restart", p.Name)
	case !beside && (p.Door == "" || len(p.Restart) == 0 || len(p.Doors) > 0):
		return fmt.Errorf("program %q: door and restart are needed, or doors and replace", p.Name)
	}
	return nil
}

// upgrader carries a rollout out: over HTTP at the programs' doors, and with the restart commands.
type upgrader struct {
	list   []upgradeProgram // in the rollout's order
	events chan func(now float64)
	client http.Client
	asking []bool
	last   []string // by program: the door that said yes last; of one that is being replaced, it counts no more
	before []string // the door of the process that was replaced
	log    io.Writer
	r      *rollout.Rollout
}

// upgrade rolls a fleet's programs by an operator's file (deploy/upgrade.toml).
func upgrade(args []string, log io.Writer) error {
	set := flag.NewFlagSet("upgrade", flag.ContinueOnError)
	from := set.String("from", "", "the program to begin with; those before it are left alone")
	check := set.Bool("check", false, "check the file, say in which order programs are taken, and end")
	if err := set.Parse(args); err != nil {
		return err
	}
	if set.NArg() != 1 {
		return fmt.Errorf("upgrade wants one file")
	}
	var f struct {
		Program []upgradeProgram
		UpS     float64 `toml:"up_s"`
		SettleS float64 `toml:"settle_s"`
	}
	if err := operatorconfig.Decode(set.Arg(0), &f); err != nil {
		return err
	}
	times := rollout.DefaultTimeouts
	if f.UpS > 0 {
		times.StartS = f.UpS
	}
	if f.SettleS > 0 {
		times.StableS = f.SettleS
	}
	u := &upgrader{events: make(chan func(float64), 64), asking: make([]bool, len(f.Program)), last: make([]string, len(f.Program)), before: make([]string, len(f.Program)), log: log,
		client: http.Client{Timeout: doorMost, Transport: &http.Transport{DisableKeepAlives: true}}}
	var list []rollout.Program
	by := map[string]upgradeProgram{}
	for _, p := range f.Program {
		if err := p.check(); err != nil {
			return fmt.Errorf("%s: %w", set.Arg(0), err)
		}
		list, by[p.Name] = append(list, rollout.Program{Name: p.Name, Kind: p.Kind, HotRestart: len(p.Replace) > 0}), p
	}
	began := time.Now()
	now := func() float64 { return time.Since(began).Seconds() }
	var err error
	if u.r, err = rollout.New(list, times, *from, now(), u); err != nil {
		return fmt.Errorf("%s: %w", set.Arg(0), err)
	}
	for _, p := range u.r.Programs() {
		u.list = append(u.list, by[p.Name])
		if *check {
			fmt.Fprintln(log, p.Kind, p.Name)
		}
	}
	if *check {
		return nil
	}
	tick := time.NewTicker(upgradeTick)
	defer tick.Stop()
	said := ""
	for {
		select {
		case do := <-u.events:
			do(now())
		case <-tick.C:
			u.r.Tick(now())
		}
		done, p, phase := u.r.Progress()
		if say := fmt.Sprintf("%d of %d done; %s %s", done, len(u.list), p.Name, phase); say != said {
			said = say
			fmt.Fprintf(log, "%7.2f  %s\n", now(), say)
		}
		if over, err := u.r.Done(); over {
			return err
		}
	}
}

// call makes an operator's call at a program's door: an error, or the status.
func (u *upgrader) call(method, url string) (int, error) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// CheckReadiness implements rollout.Out. No program is asked while an answer of its is outstanding.
func (u *upgrader) CheckReadiness(i int) {
	if u.asking[i] {
		return
	}
	u.asking[i] = true
	p, before := u.list[i], u.before[i]
	doors := p.Doors
	if len(doors) == 0 {
		doors = []string{p.Door}
	}
	go func() {
		heard, yes := false, ""
		for _, door := range doors {
			status, err := u.call(http.MethodGet, "http://"+door+"/v1/readyz")
			heard = heard || err == nil
			if err == nil && status/100 == 2 && door != before {
				yes = door
			}
		}
		busy := p.Status != "" && heard && u.busy(p.Status)
		u.events <- func(now float64) {
			u.asking[i] = false
			if before != u.before[i] {
				return // asked before it was replaced
			}
			if yes != "" {
				u.last[i] = yes
			}
			u.r.HandleAnswer(now, i, heard, yes != "", busy)
		}
	}()
}

// busy tells whether requests are open on a program.
func (u *upgrader) busy(addr string) bool {
	resp, err := u.client.Get("http://" + addr + "/")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var st struct{ Requests int }
	return json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&st) == nil && st.Requests > 0
}

// Drain implements rollout.Out.
func (u *upgrader) Drain(i int) {
	p := u.list[i]
	go func() {
		status, err := u.call(http.MethodPost, "http://"+p.Door+"/v1/ingress/drain")
		if err == nil && status/100 != 2 {
			err = fmt.Errorf("drain is answered with %d", status)
		}
		u.events <- func(now float64) { u.r.Drained(now, i, err) }
	}()
}

// Restart implements rollout.Out.
func (u *upgrader) Restart(i int) {
	p := u.list[i]
	command, env := p.Restart, os.Environ()
	if len(p.Replace) > 0 {
		command, u.before[i] = p.Replace, u.last[i]
		free := p.Doors[0]
		if free == u.last[i] {
			free = p.Doors[1]
		}
		env = append(env, doorEnv+"="+free)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), restartMost)
		defer cancel()
		c := exec.CommandContext(ctx, command[0], command[1:]...)
		c.Env = env
		c.Stdout, c.Stderr = os.Stderr, os.Stderr
		err := c.Run()
		u.events <- func(now float64) { u.r.Restarted(now, i, err) }
	}()
}
