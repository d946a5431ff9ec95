package testbed

import (
	"bufio"
	"context"
	"encoding/json"
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

// Proc is a program under test.
type Proc struct {
	Name, Listen, Status string
	log                  string
	cmd                  func() *exec.Cmd
	adminInterfaces      [2]adminInterface // the one in use changes with each hot restart

	mu           sync.Mutex
	running      *exec.Cmd
	exited       chan struct{}
	paused       bool
	starts       int           // incarnations so far
	replacements int           // hot restarts so far
	termSentAt   time.Time     // when SIGTERM was sent; zero unless the program is terminating
	cpu          time.Duration // of processes that have ended
}

// Start starts a new incarnation of the program.
func (p *Proc) Start() error { return p.start(true) }

// start starts a process of the program, as a new incarnation or within the current one.
func (p *Proc) start(newIncarnation bool) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := p.cmd()
	c.Stdout, c.Stderr = out, out
	if err := startOnThread(c); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.running, p.exited, p.paused = c, exited, false
	if newIncarnation {
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

// Incarnation returns the number of the current incarnation, or -1 while the program does not run or is paused.
func (p *Proc) Incarnation() int {
	if !p.Up() {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// startThread returns a channel of calls to the one thread that starts all programs, which lives as long as the testbed. The kernel kills a
// program when the thread that started it ends, so that no program stays behind when the testbed itself is killed.
var startThread = sync.OnceValue(func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for do := range calls {
			do()
		}
	}()
	return calls
})

// startOnThread starts a command on the thread of startThread.
func startOnThread(c *exec.Cmd) error {
	if c.SysProcAttr == nil {
		c.SysProcAttr = &syscall.SysProcAttr{}
	}
	c.SysProcAttr.Pdeathsig = syscall.SIGKILL
	done := make(chan error)
	startThread() <- func() { done <- c.Start() }
	return <-done
}

// Up tells whether the program runs and is not paused.
func (p *Proc) Up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil || p.paused {
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
	if p.running != nil {
		_ = p.running.Process.Signal(s)
	}
}

// HUP sends SIGHUP, which makes the program read its files again.
func (p *Proc) HUP() { p.signal(syscall.SIGHUP) }

// RSS returns the resident memory of the program in bytes, or 0 if it does not run.
func (p *Proc) RSS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.running.Process.Pid))
	if err != nil {
		return 0
	}
	if f := strings.Fields(string(text)); len(f) > 1 {
		pages, _ := strconv.ParseInt(f[1], 10, 64)
		return pages * int64(os.Getpagesize())
	}
	return 0
}

// Kill kills the program and waits for its end.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// leaveAfter is the time from SIGTERM until the front sends the program no new connections: between 0.2 and 0.4 s on the platform.
const leaveAfter = 300 * time.Millisecond

// TerminatingFor returns the time since SIGTERM was sent, or 0 if the program is not terminating.
func (p *Proc) TerminatingFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.termSentAt.IsZero() {
		return 0
	}
	return time.Since(p.termSentAt)
}

// Term sends SIGTERM and waits for the end of the program.
func (p *Proc) Term() {
	p.mu.Lock()
	p.termSentAt = time.Now()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.termSentAt = time.Time{}
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

// Pause stops the program with SIGSTOP until Resume.
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
func (p *Proc) Ready(timeout time.Duration) error {
	end := time.Now().Add(timeout)
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
			return fmt.Errorf("%s ended before it answered PING, its log: %s", p.Name, text)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s did not answer PING within %v", p.Name, timeout)
}

// CPU returns the processor time that all processes of the program have used.
func (p *Proc) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	cpu := p.cpu
	if p.running != nil {
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.running.Process.Pid)); err == nil {
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

// ReadStatus decodes the program's status page into v.
func (p *Proc) ReadStatus(ctx context.Context, v any) error {
	if p.Status == "" {
		return fmt.Errorf("%s has no status page", p.Name)
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

// PeakRSS returns the highest resident memory of the current process so far in bytes, or 0 if it does not run.
func (p *Proc) PeakRSS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.running.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
