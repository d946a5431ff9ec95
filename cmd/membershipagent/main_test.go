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

// Guards the command line: a wrong call is one clear error.
func TestRun_RejectsBadCommandLines(t *testing.T) {
	for want, args := range map[string][]string{
		"no command given":  nil,
		"unknown command":   {"serve"},
		"run wants one":     {"run"},
		"nodes wants":       {"nodes", "x"},
		"no such file":      {"nodes", "nowhere.toml", "list"},
		"flag provided but": {"run", "-quick", "x"},
	} {
		if err := run(context.Background(), args, os.Stdout); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", args, err, want)
		}
	}
	if err := run(context.Background(), []string{"run", "-check", "../../deploy/etcd.toml"}, os.Stdout); err != nil {
		t.Error(err)
	}
}

// Guards the operator's commands on an etcd: marks are set and taken back by compare-and-swap, and one that is held
// ends with the command that holds it.
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
			t.Errorf("%q: %q, %v", args, got, err)
		}
	}
	fails := func(want string, args ...string) {
		t.Helper()
		if _, err := call(ctx, args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", args, err, want)
		}
	}
	must("a drains from revision", "drain", "-why", "kernel", "a")
	must(`"held":false,"why":"kernel"} (revision `, "list")
	fails("marked already", "drain", "a")
	must("drains no more", "undrain", "a")
	fails("is not marked", "undrain", "a")
	fails("wants the id", "drain", "a/b")
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
		t.Fatalf("the held mark never comes to %v", want)
	}
	wait(true)
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	wait(false)
}

// Guards the stand-in by hand: what is written lasts across a restart, and wrong calls are one clear error.
func TestStandinCommand(t *testing.T) {
	dir := t.TempDir()
	for want, args := range map[string][]string{
		"on loopback addresses alone": {"-listen", "10.0.0.1:1"},
		"go together":                 {"-listen", "127.0.0.1:0", "-user", "x"},
		"wants flags alone":           {"serve"},
		"certificate":                 {"-listen", "127.0.0.1:0", "-cert", "nowhere"},
		"no such file":                {"-listen", "127.0.0.1:0", "-file", filepath.Join(dir, "no", "such")},
	} {
		if err := run(context.Background(), append([]string{"standin"}, args...), io.Discard); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", args, err, want)
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
			t.Fatalf("%q, %v, want %q", line, err, want)
		}
		first := regexp.MustCompile(`127\.0\.0\.1:\d+`).FindString(line)
		file := filepath.Join(dir, "etcd.toml")
		if err := os.WriteFile(file, []byte("listen = \"127.0.0.1:1\"\nendpoints = [\"http://"+first+"\"]\nprefix = \"/t/\"\ntimeout_ms = 20000\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		var got strings.Builder
		if err := run(ctx, []string{"nodes", file, "drain", "a"}, io.Discard); (err != nil) != (want == "from revision 2 on") {
			t.Errorf("%s: drain: %v", want, err) // the mark lasts across the restart
		}
		if err := run(ctx, []string{"nodes", file, "list"}, &got); err != nil || !strings.Contains(got.String(), "drain/a") {
			t.Errorf("%q, %v", got.String(), err)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
