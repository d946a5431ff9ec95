package main

import (
	"bufio"
	"context"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/testbed/etcdstandin"
)

// Guards the command line: each invalid call fails with an error that names the fault, and the example configuration passes -check.
func TestRun_RejectsBadCommandLines(t *testing.T) {
	for want, args := range map[string][]string{
		"no command given":  nil,
		"unknown command":   {"serve"},
		"expected one conf": {"run"},
		"nodes: expected":   {"nodes", "x"},
		"no such file":      {"nodes", "nowhere.toml", "list"},
		"flag provided but": {"run", "-quick", "x"},
	} {
		if err := run(context.Background(), args, os.Stdout); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("arguments %q: got error %v, want one with %q", args, err, want)
		}
	}
	if err := run(context.Background(), []string{"run", "-check", "../../deploy/etcd.toml"}, os.Stdout); err != nil {
		t.Errorf("run -check of the example configuration: %v", err)
	}
}

// Guards the nodes commands against the loss of another operator's drain mark: marks are set and removed by compare-and-swap, and a leased
// mark ends with the command that set it.
func TestNodesCommands(t *testing.T) {
	dir := t.TempDir()
	server, err := etcdstandin.New()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	client := "http://" + server.Addr()
	file := filepath.Join(dir, "etcd.toml")
	if err := os.WriteFile(file, []byte("listen = \"127.0.0.1:1\"\nendpoints = [\""+client+"\"]\nprefix = \"/t/\"\ntimeout_ms = 20000\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	call := func(ctx context.Context, args ...string) (string, error) {
		var b strings.Builder
		err := run(ctx, append([]string{"nodes", file}, args...), &b)
		return b.String(), err
	}
	ctx := context.Background()
	must := func(want string, args ...string) {
		t.Helper()
		if got, err := call(ctx, args...); err != nil || !strings.Contains(got, want) {
			t.Errorf("nodes %q: got output %q, error %v; want output with %q", args, got, err, want)
		}
	}
	fails := func(want string, args ...string) {
		t.Helper()
		if _, err := call(ctx, args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("nodes %q: got error %v, want one with %q", args, err, want)
		}
	}
	must("a drains from revision", "drain", "-why", "kernel", "a")
	must(`"held":false,"why":"kernel"} (revision `, "list")
	fails("marked already", "drain", "a")
	must("no longer drains", "undrain", "a")
	fails("is not marked", "undrain", "a")
	fails("expected one node id", "drain", "a/b")
	fails("unknown command", "stop", "a")
	held, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		_, err := call(held, "drain", "-hold", "b")
		ended <- err
	}()
	wait := func(want bool) {
		t.Helper()
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			if got, err := call(ctx, "list"); err == nil && strings.Contains(got, "drain/b") == want {
				return
			}
		}
		t.Fatalf("presence of the leased mark does not become %v", want)
	}
	wait(true)
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	wait(false)
}

// Guards the standin command: committed changes last across a restart with -file, and each invalid call fails with an error that names the
// fault.
func TestStandinCommand(t *testing.T) {
	dir := t.TempDir()
	for want, args := range map[string][]string{
		"must be a loopback address": {"-listen", "10.0.0.1:1"},
		"must be set together":       {"-listen", "127.0.0.1:0", "-user", "x"},
		"expected only flags":        {"serve"},
		"certificate":                {"-listen", "127.0.0.1:0", "-cert", "nowhere"},
		"no such file":               {"-listen", "127.0.0.1:0", "-file", filepath.Join(dir, "no", "such")},
	} {
		if err := run(context.Background(), append([]string{"standin"}, args...), io.Discard); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("standin %q: got error %v, want one with %q", args, err, want)
		}
	}
	for _, want := range []string{"from revision 1 on", "from revision 2 on"} {
		ctx, cancel := context.WithCancel(context.Background())
		in, out := io.Pipe()
		ended := make(chan error, 1)
		go func() {
			ended <- run(ctx, []string{"standin", "-listen", "127.0.0.1:0,127.0.0.1:0", "-file", filepath.Join(dir, "log")}, out)
			out.Close()
		}()
		line, err := bufio.NewReader(in).ReadString('\n')
		if err != nil || !strings.Contains(line, want) {
			t.Fatalf("first line is %q, error %v; want a line with %q", line, err, want)
		}
		first := regexp.MustCompile(`127\.0\.0\.1:\d+`).FindString(line)
		file := filepath.Join(dir, "etcd.toml")
		if err := os.WriteFile(file, []byte("listen = \"127.0.0.1:1\"\nendpoints = [\"http://"+first+"\"]\nprefix = \"/t/\"\ntimeout_ms = 20000\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		var got strings.Builder
		if err := run(ctx, []string{"nodes", file, "drain", "a"}, io.Discard); (err != nil) != (want == "from revision 2 on") {
			t.Errorf("%s: drain: got error %v, want one only after the restart", want, err) // the mark lasts across the restart
		}
		if err := run(ctx, []string{"nodes", file, "list"}, &got); err != nil || !strings.Contains(got.String(), "drain/a") {
			t.Errorf("%s: list: got output %q, error %v; want the mark drain/a", want, got.String(), err)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
