package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"time"

	"eiderspread/internal/controlplane/rollout"
)

const (
	adminTimeout   = time.Second // of a call to an admin interface or a status address
	commandTimeout = time.Minute // of a restart or replace command
	maxStatusBytes = 1 << 20     // of a status page
	maxEvents      = 64          // results that wait for the rollout

	// adminEnv is in the environment of a replace command: the one of the program's admin addresses that is free. The name is older
	// than that of this program; operators' commands rely on it.
	adminEnv = "EIDERFLEET_DOOR"
)

// upgrader carries out what a rollout asks for: calls over HTTP and operators' commands. It implements rollout.Output. Only the goroutine
// of run uses it; the calls' goroutines pass their results on through events.
type upgrader struct {
	rollout  *rollout.Rollout
	programs []upgradeProgram // in the rollout's order
	calls    []programCalls   // by program
	events   chan func(now float64)
	client   http.Client
}

// programCalls is what is known of one program's admin interfaces.
type programCalls struct {
	checking bool   // a readiness check is out
	current  string // the address that was ready last; while the program is being replaced, of its predecessor
	replaced string // the address of the process that was replaced
}

// newUpgrader returns an upgrader whose rollout begins at now, with the program named from, or the first.
func newUpgrader(file upgradeFile, from string, now float64) (*upgrader, error) {
	u := &upgrader{
		calls:  make([]programCalls, len(file.Programs)),
		events: make(chan func(float64), maxEvents),
		client: http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var err error
	if u.rollout, err = rollout.New(newRolloutPrograms(file.Programs), file.timeouts(), from, now, u); err != nil {
		return nil, err
	}
	byName := map[string]upgradeProgram{}
	for _, program := range file.Programs {
		byName[program.Name] = program
	}
	for _, program := range u.rollout.Programs() {
		u.programs = append(u.programs, byName[program.Name])
	}
	return u, nil
}

// CheckReadiness implements rollout.Output. While a check of the program is out no other one begins.
func (u *upgrader) CheckReadiness(i int) {
	if u.calls[i].checking {
		return
	}
	u.calls[i].checking = true
	program, replaced := u.programs[i], u.calls[i].replaced
	go func() {
		answered, ready := u.findReady(program.admins(), replaced)
		busy := program.Status != "" && answered && u.busy(program.Status)
		u.events <- func(now float64) {
			calls := &u.calls[i]
			calls.checking = false
			if replaced != calls.replaced {
				return // the check began before the program was replaced
			}
			if ready != "" {
				calls.current = ready
			}
			u.rollout.HandleAnswer(now, i, answered, ready != "", busy)
		}
	}()
}

// findReady asks all addresses. It returns whether any answered, and the last one that is ready, but for that of a replaced process.
func (u *upgrader) findReady(addrs []string, replaced string) (answered bool, ready string) {
	for _, addr := range addrs {
		status, err := u.call(http.MethodGet, "http://"+addr+"/v1/readyz")
		answered = answered || err == nil
		if err == nil && status/100 == 2 && addr != replaced {
			ready = addr
		}
	}
	return answered, ready
}

// busy reports whether requests are open on a program, by its status page.
func (u *upgrader) busy(addr string) bool {
	resp, err := u.client.Get("http://" + addr + "/")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var status struct {
		Requests int `json:"requests"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status)
	return err == nil && status.Requests > 0
}

// Drain implements rollout.Output.
func (u *upgrader) Drain(i int) {
	program := u.programs[i]
	go func() {
		status, err := u.call(http.MethodPost, "http://"+program.Admin+"/v1/ingress/drain")
		if err == nil && status/100 != 2 {
			err = fmt.Errorf("drain is answered with %d", status)
		}
		u.events <- func(now float64) { u.rollout.Drained(now, i, err) }
	}()
}

// Restart implements rollout.Output.
func (u *upgrader) Restart(i int) {
	program, calls := u.programs[i], &u.calls[i]
	command, env := program.Restart, os.Environ()
	if program.hotRestart() {
		command, calls.replaced = program.Replace, calls.current
		free := program.Admins[0]
		if free == calls.current {
			free = program.Admins[1]
		}
		env = append(env, adminEnv+"="+free)
	}
	go func() {
		err := runCommand(command, env)
		u.events <- func(now float64) { u.rollout.Restarted(now, i, err) }
	}()
}

// runCommand runs an operator's command; its output goes to standard error.
func runCommand(command, env []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, command[0], command[1:]...)
	c.Env = env
	c.Stdout, c.Stderr = os.Stderr, os.Stderr
	return c.Run()
}

// call makes a call and returns the status code of the answer.
func (u *upgrader) call(method, url string) (int, error) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}
