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
	adminTimeout   = time.Second // of a call to an admin or status address
	commandTimeout = time.Minute // of a restart or replace command
	maxStatusBytes = 1 << 20     // of a status page
	maxEvents      = 64          // capacity of upgrader.events

	// adminEnv is the environment variable in which a replace command gets the admin address that the present process does not use. The
	// variable's name is older than that of this program; operators' commands rely on it.
	adminEnv = "EIDERFLEET_DOOR"
)

// upgrader implements rollout.Output by HTTP calls and operators' commands. Only the goroutine of run changes its fields; each call and
// command runs in a goroutine of its own, which sends the result as a function on events.
type upgrader struct {
	rollout     *rollout.Rollout
	programs    []upgradeProgram // in the rollout's order
	adminStates []adminState     // by program
	events      chan func(now float64)
	client      http.Client
}

// adminState is the known state of one program's admin interfaces.
type adminState struct {
	checking bool   // a readiness check is in progress
	current  string // the address that was last found ready; during a hot restart, until the new process is ready, the predecessor's
	replaced string // the address of the predecessor in a hot restart; empty before
}

// newUpgrader returns an upgrader whose rollout starts at time now with the program named from, or with the first if from is empty.
func newUpgrader(file upgradeFile, from string, now float64) (*upgrader, error) {
	u := &upgrader{
		adminStates: make([]adminState, len(file.Programs)),
		events:      make(chan func(float64), maxEvents),
		client:      http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
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

// CheckReadiness implements rollout.Output. It does nothing while a check of the same program is in progress.
func (u *upgrader) CheckReadiness(i int) {
	if u.adminStates[i].checking {
		return
	}
	u.adminStates[i].checking = true
	program, replaced := u.programs[i], u.adminStates[i].replaced
	go func() {
		answered, ready := u.findReady(program.admins(), replaced)
		busy := program.Status != "" && answered && u.busy(program.Status)
		u.events <- func(now float64) {
			state := &u.adminStates[i]
			state.checking = false
			if replaced != state.replaced {
				return // the check started before the hot restart
			}
			if ready != "" {
				state.current = ready
			}
			u.rollout.HandleReadiness(now, i, answered, ready != "", busy)
		}
	}()
}

// findReady sends a readiness check to each address. It returns whether any answered, and the last address that is ready, except that of a
// replaced process.
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

// busy reports whether a program's status page shows open requests. It returns false if the page can't be read.
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
			err = fmt.Errorf("drain call returned HTTP status %d, want 2xx", status)
		}
		u.events <- func(now float64) { u.rollout.HandleDrained(now, i, err) }
	}()
}

// Restart implements rollout.Output.
func (u *upgrader) Restart(i int) {
	program, state := u.programs[i], &u.adminStates[i]
	command, env := program.Restart, os.Environ()
	if program.hotRestart() {
		command, state.replaced = program.Replace, state.current
		freeAddr := program.Admins[0]
		if freeAddr == state.current {
			freeAddr = program.Admins[1]
		}
		env = append(env, adminEnv+"="+freeAddr)
	}
	go func() {
		err := runCommand(command, env)
		u.events <- func(now float64) { u.rollout.HandleRestarted(now, i, err) }
	}()
}

// runCommand runs an operator's command within commandTimeout. The command's output goes to standard error.
func runCommand(command, env []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, command[0], command[1:]...)
	c.Env = env
	c.Stdout, c.Stderr = os.Stderr, os.Stderr
	return c.Run()
}

// call sends an HTTP request without a body and returns the status code of the response.
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
