package testbed

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Proc is one program under test.
type Proc struct {
	Name, Listen, Status string
	log                  string
	cmd                  func() *exec.Cmd
	adminInterfaces      [2]adminInterface // of an ingress; the one in use changes with each replacement

	mu     sync.Mutex
	run    *exec.Cmd
	exited chan struct{}
	paused bool
	starts int
	turn   int           // replacements
	termAt time.Time     // when it was asked to end, while it does
	cpu    time.Duration // of runs that have ended
}

// Start starts the program.
func (p *Proc) Start() error { return p.start(true) }

// start starts the program, for another life of it or in the one that goes on.
func (p *Proc) start(another bool) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := p.cmd()
	c.Stdout, c.Stderr = out, out
	if err := spawned(c); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.run, p.exited, p.paused = c, exited, false
	if another {
		p.starts++
	}
	p.mu.Unlock()
	go func() {
		_ = c.Wait()
		p.mu.Lock()
		p.cpu += c.ProcessState.UserTime() + c.ProcessState.SystemTime()
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Incarnation tells one run of the program from another; it is below 0 while the program does not run or is paused.
func (p *Proc) Incarnation() int {
	if !p.Up() {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// starting has all programs started by one thread that lives as long as the laboratory: a program ends with the thread
// that started it, so that none is left behind when the laboratory itself is killed.
var starting = sync.OnceValue(func() chan func() {
	todo := make(chan func())
	go func() {
		runtime.LockOSThread()
		for do := range todo {
			do()
		}
	}()
	return todo
})

func spawned(c *exec.Cmd) error {
	if c.SysProcAttr == nil {
		c.SysProcAttr = &syscall.SysProcAttr{}
	}
	c.SysProcAttr.Pdeathsig = syscall.SIGKILL
	done := make(chan error)
	starting() <- func() { done <- c.Start() }
	return <-done
}

// Up tells that the program runs and is not paused.
func (p *Proc) Up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil || p.paused {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *Proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		_ = p.run.Process.Signal(s)
	}
}

// HUP has the program read its files again.
func (p *Proc) HUP() { p.signal(syscall.SIGHUP) }

// RSS is the program's resident memory in bytes, 0 if it does not run.
func (p *Proc) RSS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.run.Process.Pid))
	if err != nil {
		return 0
	}
	if f := strings.Fields(string(text)); len(f) > 1 {
		pages, _ := strconv.ParseInt(f[1], 10, 64)
		return pages * int64(os.Getpagesize())
	}
	return 0
}

// Kill ends the program at once and waits for its end.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// leaveAfter a program was asked to end, the front sends it no new connections: between 0.2 and 0.4 s on the platform.
const leaveAfter = 300 * time.Millisecond

// Leaving is for how long the program has been asked to end; 0 while it has not, or has ended.
func (p *Proc) Leaving() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.termAt.IsZero() {
		return 0
	}
	return time.Since(p.termAt)
}

// Term asks the program to end and waits for its end.
func (p *Proc) Term() {
	p.mu.Lock()
	p.termAt = time.Now()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.termAt = time.Time{}
		p.mu.Unlock()
	}()
	p.signal(syscall.SIGTERM)
	p.wait()
}

func (p *Proc) wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Pause stops the program's time, Resume lets it go on.
func (p *Proc) Pause() {
	p.mu.Lock()
	p.paused = true
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
}

// Resume ends a pause.
func (p *Proc) Resume() {
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	p.paused = false
	p.mu.Unlock()
}

// Ready waits until the program answers PING.
func (p *Proc) Ready(most time.Duration) error {
	end := time.Now().Add(most)
	for time.Now().Before(end) {
		if c, err := net.DialTimeout("tcp", p.Listen, time.Second); err == nil {
			_ = c.SetDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if strings.HasPrefix(line, "+PONG") {
				return nil
			}
		}
		if !p.Up() {
			text, _ := os.ReadFile(p.log)
			return fmt.Errorf("%s ended: %s", p.Name, text)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", p.Name)
}

// CPU is what the program has used, all its runs together.
func (p *Proc) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	cpu := p.cpu
	if p.run != nil {
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.run.Process.Pid)); err == nil {
			f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
			if len(f) > 13 {
				user, _ := strconv.Atoi(f[11])
				sys, _ := strconv.Atoi(f[12])
				cpu += time.Duration(user+sys) * 10 * time.Millisecond
			}
		}
	}
	return cpu
}

// ReadStatus reads a program's status into v.
func (p *Proc) ReadStatus(ctx context.Context, v any) error {
	if p.Status == "" {
		return errors.New("no status")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Status+"/", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}
