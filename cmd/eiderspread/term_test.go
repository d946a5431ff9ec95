package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// runAsProgramEnv is set where a test starts itself as the program.
const runAsProgramEnv = "EIDERSPREAD_TEST_RUNS_IT"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// programOptions are what a test asks of the program and of the stand-in for its backend.
type programOptions struct {
	deadline    string        // of requests, in seconds
	console     string        // the operators' address; empty: none
	answerAfter time.Duration // how long the backend takes for a request
}

// startProgram starts the program as a process of its own, with one backend that answers all requests.
func startProgram(t *testing.T, options programOptions) (listen string, cmd *exec.Cmd) {
	t.Helper()
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { backend.Close() })
	go func() {
		for {
			c, err := backend.Accept()
			if err != nil {
				return
			}
			go serveRequests(c, options.answerAfter)
		}
	}()
	listen = freeAddress(t)
	folder := t.TempDir()
	path := filepath.Join(folder, "config.json")
	text := fmt.Sprintf(`{"name":"term","listen":"%s","console":"%s","discovery":"127.0.0.1:1","seed":"1",
		"known":{"version":1,"full":true,"servers":[{"id":"s","addr":"%s","state":"in_service"}]},
		"settings":{"balancers":1,"limits":{"dialTimeoutS":1,"connIdleS":15,"maxAttempts":3,"retryAfter":true,"maxRetryAfterS":1},
		"profiles":[{"name":"look","aimS":%s,"deadlineS":%s,"effect":"retryable","worth":1}],
		"packages":[{"name":"basic","unitsPerS":1000000,"peakUnits":1000000,"pays":1}]}}`,
		listen, options.console, backend.Addr(), options.deadline, options.deadline)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "EDGE_CONFIG="+path, "TMPDIR="+folder)
	if testing.Verbose() {
		cmd.Stderr = os.Stderr
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", listen); err == nil {
			c.Close()
			return listen, cmd
		} else if time.Now().After(end) {
			t.Fatal("the program does not listen")
		}
	}
}

// freeAddress is one on loopback at which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// serveRequests answers each request of one connection with a part of its id, in order, until the connection ends.
func serveRequests(c net.Conn, answerAfter time.Duration) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if id, ok := strings.CutPrefix(line, "q-"); ok {
			time.Sleep(answerAfter)
			fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(strings.TrimSpace(id)), strings.TrimSpace(id))
		}
	}
}

// Clients that always have requests under way, and new ones, go on through a planned restart: a connection ends between two whole answers,
// none is reset, and what came whole before the signal is served. A close with a command unread resets it, and takes answers along.
func TestShutdown_ClientsActiveAfterSIGTERM(t *testing.T) {
	const clients, ahead = 6, 4
	listen, cmd := startProgram(t, programOptions{deadline: "0.4"})
	var all, first sync.WaitGroup
	errs := make(chan error, clients)
	for n := range clients {
		first.Add(1)
		all.Go(func() {
			errs <- func() error {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					first.Done()
					return err
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(testTimeout)) // an error shows in the next read
				r := bufio.NewReader(c)
				send := func(k int) error {
					id, fields := fmt.Sprintf("q-%d-%d", n, k), "c=look,t=basic,d=400,units=1,spread=1,first=0"
					_, err := fmt.Fprintf(c, "*4\r\n$8\r\nCALL.GET\r\n$16\r\n00000000b4d6552%d\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", n, len(id), id, len(fields), fields)
					return err
				}
				for k := range ahead {
					if err := send(k); err != nil {
						return err
					}
				}
				for k := 0; ; k++ {
					line, err := r.ReadString('\n')
					switch {
					case errors.Is(err, io.EOF) && line == "" && k > 0:
						return nil // the end, between two answers
					case err != nil:
						return fmt.Errorf("answer %d: %q, %w", k, line, err)
					case line[0] == '$':
						want := fmt.Sprintf("%d-%d\r\n", n, k)
						if value, err := r.ReadString('\n'); err != nil || value != want {
							return errors.Join(fmt.Errorf("answer %d: %q, want %q", k, value, want), err)
						}
					case line[0] != '-':
						return fmt.Errorf("answer %d: %q", k, line)
					}
					if k == 20 {
						first.Done()
					}
					_ = send(k + ahead) // to an end that was sent already, perhaps: what comes back tells
				}
			}()
		})
	}
	first.Wait()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	all.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			t.Error(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
