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

	"eiderspread/internal/testbed"
)

// runAsProgramEnv is an environment variable. If it is set, the test binary runs the program instead of the tests.
const runAsProgramEnv = "EIDERSPREAD_TEST_RUNS_IT"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	testbed.Host = testbed.OwnHost() // test processes that run at the same time don't take each other's ports
	os.Exit(m.Run())
}

// programOptions configure the program and the fake backend of a test.
type programOptions struct {
	deadline    string        // deadline and latency objective of requests, in seconds
	console     string        // address of the operators' interface; empty: none
	answerAfter time.Duration // time that the backend takes for each request
	listen      string        // address for clients; empty: a free one
	tempDir     string        // empty: a new folder
}

// startProgram starts the program as a separate process, with one fake backend that answers all requests, and returns the address for
// clients once the program listens at it.
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
	listen, folder := options.listen, options.tempDir
	if listen == "" {
		listen = freeAddress(t)
	}
	if folder == "" {
		folder = t.TempDir()
	}
	cmd, log := runProgram(t, options, listen, backend.Addr().String(), folder)
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", listen); err == nil {
			c.Close()
			return listen, cmd
		} else if time.Now().After(end) {
			text, _ := os.ReadFile(log)
			t.Fatalf("the program does not listen at %s after %v; its log: %s", listen, testTimeout, text)
		}
	}
}

// runProgram starts the program as a separate process with a configuration of its own, and returns the path of its log.
func runProgram(t *testing.T, options programOptions, listen, backend, tempDir string) (cmd *exec.Cmd, log string) {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "config.json")
	text := fmt.Sprintf(`{"name":"term","listen":"%s","console":"%s","discovery":"127.0.0.1:1","seed":"1",
		"known":{"version":1,"full":true,"servers":[{"id":"s","addr":"%s","state":"in_service"}]},
		"settings":{"balancers":1,"limits":{"dialTimeoutS":1,"connIdleS":15,"maxAttempts":3,"retryAfter":true,"maxRetryAfterS":1},
		"profiles":[{"name":"look","aimS":%s,"deadlineS":%s,"effect":"retryable","worth":1}],
		"packages":[{"name":"basic","unitsPerS":1000000,"peakUnits":1000000,"pays":1}]}}`,
		listen, options.console, backend, options.deadline, options.deadline)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "EDGE_CONFIG="+path, "TMPDIR="+tempDir)
	file, err := os.Create(filepath.Join(folder, "stderr"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close() // the program has a descriptor of its own
	cmd.Stderr = file
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if text, err := os.ReadFile(file.Name()); err == nil && testing.Verbose() {
			t.Logf("log of a program:\n%s", text)
		}
	})
	return cmd, file.Name()
}

// freeAddress returns a loopback address at which nothing listens. Its port is none that the system gives to other sockets: one of those can be
// taken before the program binds it.
func freeAddress(t *testing.T) string {
	t.Helper()
	addr, err := testbed.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// serveRequests answers the requests of one connection in order until the connection ends, each with its id without the prefix q-.
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

// Guards against answers that are lost at a planned restart, while clients keep several requests in flight and send new ones. A connection
// must end after a complete answer, none may be reset, and complete commands received before SIGTERM must be served. A close with a command
// unread resets the connection, and the answers that are still on their way are lost.
func TestShutdown_ClientsActiveAfterSIGTERM(t *testing.T) {
	const clients, inFlight = 6, 4
	listen, cmd := startProgram(t, programOptions{deadline: "0.4"})
	var all, warmedUp sync.WaitGroup
	errs := make(chan error, clients)
	for n := range clients {
		warmedUp.Add(1)
		all.Go(func() {
			errs <- func() error {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					warmedUp.Done()
					return err
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(testTimeout)) // the next read reports an error
				r := bufio.NewReader(c)
				send := func(k int) error {
					id, fields := fmt.Sprintf("q-%d-%d", n, k), "c=look,t=basic,d=400,units=1,spread=1,first=0"
					_, err := fmt.Fprintf(c, "*4\r\n$8\r\nCALL.GET\r\n$16\r\n00000000b4d6552%d\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", n, len(id), id, len(fields), fields)
					return err
				}
				for k := range inFlight {
					if err := send(k); err != nil {
						return err
					}
				}
				for k := 0; ; k++ {
					line, err := r.ReadString('\n')
					switch {
					case errors.Is(err, io.EOF) && line == "" && k > 0:
						return nil // the connection ended between two answers
					case err != nil:
						return fmt.Errorf("answer %d: got %q, %w; want an answer, or the end after a complete one", k, line, err)
					case line[0] == '$':
						want := fmt.Sprintf("%d-%d\r\n", n, k)
						if value, err := r.ReadString('\n'); err != nil || value != want {
							return errors.Join(fmt.Errorf("answer %d: got value %q, want %q", k, value, want), err)
						}
					case line[0] != '-':
						return fmt.Errorf("answer %d: got %q, want a value or an error reply", k, line)
					}
					if k == 20 {
						warmedUp.Done()
					}
					_ = send(k + inFlight) // may fail on a connection that has ended; the next read reports it
				}
			}()
		})
	}
	warmedUp.Wait()
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

// Guards against a killed process whose connections end like those that it closes between two requests: a client would send a request again
// that may have run. A killed process resets its connections, a process that is told to end closes them.
func TestExit_OnlyKilledProcessResetsConnections(t *testing.T) {
	for name, c := range map[string]struct {
		signal syscall.Signal
		want   error
	}{"killed": {syscall.SIGKILL, syscall.ECONNRESET}, "terminated": {syscall.SIGTERM, io.EOF}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listen, cmd := startProgram(t, programOptions{deadline: "0.4"})
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(testTimeout)) // the next read reports an error
			reader := bufio.NewReader(conn)
			fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n")
			if line, err := reader.ReadString('\n'); err != nil || line != "+PONG\r\n" {
				t.Fatalf("answer to PING: got %q, error %v", line, err)
			}
			if err := cmd.Process.Signal(c.signal); err != nil {
				t.Fatal(err)
			}
			if _, err := reader.ReadByte(); !errors.Is(err, c.want) {
				t.Errorf("the idle connection ended with %v, want %v", err, c.want)
			}
		})
	}
}
