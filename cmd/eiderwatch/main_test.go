package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/standin/etcd"
)

// Guards the command line: a wrong call is one clear error.
func TestCalls(t *testing.T) {
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
func TestNodes(t *testing.T) {
	dir := t.TempDir()
	server, err := etcd.New()
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
	must("kernel", "list")
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
