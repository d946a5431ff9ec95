package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/hotrestart"
)

// pingingClient is a client's connection that stays open.
type pingingClient struct {
	net.Conn
	reader *bufio.Reader
}

func dialPinging(t *testing.T, listen string) *pingingClient {
	t.Helper()
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout)) // the next read reports an error
	return &pingingClient{conn, bufio.NewReader(conn)}
}

func (c *pingingClient) ping(t *testing.T, message string) {
	t.Helper()
	fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n")
	if line, err := c.reader.ReadString('\n'); err != nil || line != "+PONG\r\n" {
		t.Fatalf("%s: answer to PING is %q, error %v", message, line, err)
	}
}

// folderOfLength returns a new folder whose path has the given length in bytes.
func folderOfLength(t *testing.T, length int) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "u")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	for left := length - len(folder); left > 0; left = length - len(folder) {
		step := min(left-1, 200)
		if left-1-step == 1 { // too little for another folder
			step--
		}
		folder += "/" + strings.Repeat("d", step)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	return folder
}

// Guards upgrades where the path of $TMPDIR is long (review/9): the new process ended, as the clients' address was in use. Two upgrades in a row
// keep a client's connection.
func TestUpgrade_LongTempFolder(t *testing.T) {
	for _, length := range []int{90, 100, 104, 107, 108, 200, 4050} {
		t.Run(fmt.Sprint(length, " bytes"), func(t *testing.T) {
			t.Parallel()
			folder := folderOfLength(t, length)
			options := programOptions{deadline: "0.4", console: freeAddress(t), tempDir: folder}
			listen, old := startProgram(t, options)
			client := dialPinging(t, listen)
			client.ping(t, "before the upgrades")
			for i := range 2 {
				options.console = freeAddress(t)
				next, _ := runProgram(t, options, listen, "127.0.0.1:1", folder)
				waitForEnd(t, old, next)
				client.ping(t, fmt.Sprint("after upgrade ", i+1))
				dialPinging(t, listen).ping(t, fmt.Sprint("new connection after upgrade ", i+1))
				old = next
			}
		})
	}
}

// waitForEnd waits until the old process of an upgrade has ended, and fails the test if the new one ends.
func waitForEnd(t *testing.T, old, next *exec.Cmd) {
	t.Helper()
	ended := make(chan string, 2)
	for name, cmd := range map[string]*exec.Cmd{"old": old, "new": next} {
		go func() { _, _ = cmd.Process.Wait(); ended <- name }()
	}
	select {
	case name := <-ended:
		if name != "old" {
			t.Fatal("the new process has ended")
		}
	case <-time.After(testTimeout):
		t.Fatal("the old process does not end")
	}
}

// Guards operators against a process that can't be replaced and does not say so at its start, and against a new process that does not say why it
// ends. The old process serves on.
func TestUpgrade_RefusalIsNamed(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T) (folder string){
		"no folder":        func(t *testing.T) string { return filepath.Join(folderOfLength(t, 120), "missing") },
		"folder read-only": func(*testing.T) string { return "/proc" },
		"foreign file": func(t *testing.T) string {
			folder := folderOfLength(t, 120)
			if err := os.WriteFile(hotrestart.SocketPath(folder, "term"), []byte("x"), 0o600); err != nil {
				t.Fatal(err)
			}
			return folder
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			folder := prepare(t)
			options := programOptions{deadline: "0.4", console: freeAddress(t), tempDir: folder}
			listen := freeAddress(t)
			_, oldLog := runProgram(t, options, listen, "127.0.0.1:1", folder)
			waitForLine(t, oldLog, "hot restart not available", hotrestart.SocketPath(folder, "term"))
			client := dialPinging(t, listen)
			client.ping(t, "before the upgrade")
			options.console = freeAddress(t)
			next, nextLog := runProgram(t, options, listen, "127.0.0.1:1", folder)
			var exit *exec.ExitError
			if err := next.Wait(); !errors.As(err, &exit) {
				t.Errorf("the new process ended with %v, want an error", err)
			}
			waitForLine(t, nextLog, "address already in use", "no process hands over its sockets", hotrestart.SocketPath(folder, "term"))
			client.ping(t, "after the refused upgrade")
		})
	}
}

// waitForLine waits until a log has a line with all parts.
func waitForLine(t *testing.T, log string, parts ...string) {
	t.Helper()
	text := []byte(nil)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); <-time.After(time.Millisecond) {
		text, _ = os.ReadFile(log)
		for line := range strings.Lines(string(text)) {
			missing := 0
			for _, part := range parts {
				if !strings.Contains(line, part) {
					missing++
				}
			}
			if missing == 0 {
				return
			}
		}
	}
	t.Fatalf("no line with %q in the log:\n%s", parts, text)
}
