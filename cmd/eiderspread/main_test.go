package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderspread/internal/dataplane/ingressconfig"
)

// Guards against a start that hangs or panics on an invalid configuration. The error must be one line that names the
// fault.
func TestRun_BadConfigurationIsOneLine(t *testing.T) {
	for text, want := range map[string]string{
		"":                             "EDGE_CONFIG names no configuration file",
		"{":                            "unexpected end of JSON input",
		`{"listen":"127.0.0.1:0"}`:     "discovery: ",
		`{"listen":"a","discovery":1}`: "cannot unmarshal",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"balancers":1,` +
			`"limits":{"dialTimeoutS":0.25,"connIdleS":15}}}`: "no classes given",
	} {
		path := ""
		if text != "" {
			path = filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		t.Setenv("EDGE_CONFIG", path)
		err := run(nil)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line with %q", text, err, want)
		}
	}
	t.Setenv("EDGE_CONFIG", filepath.Join(t.TempDir(), "none"))
	if err := run(nil); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Errorf("missing file: got error %v, want \"no such file\"", err)
	}
}

// Guards against an invalid file that is applied at a reload, or that stops later reloads.
func TestReload_BadFileIgnored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hup, done, to := make(chan os.Signal), make(chan struct{}), make(chan ingressconfig.Config, 2)
	defer close(done)
	logged, w := io.Pipe()
	go reloadOnSignal(hup, done, path, ingressconfig.Config{}, to, slog.New(slog.NewTextHandler(w, nil)))
	lines := bufio.NewReader(logged)
	write(`{"listen":`)
	hup <- syscall.SIGHUP
	if got, _ := lines.ReadString('\n'); !strings.Contains(got, "level=ERROR") || !strings.Contains(got, "unexpected end") {
		t.Errorf("logged %q for an invalid file, want level=ERROR and \"unexpected end\"", got)
	}
	write(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{"balancers":1,` +
		`"limits":{"dialTimeoutS":0.25,"connIdleS":15,"maxAttempts":2},` +
		`"profiles":[{"name":"look","aimS":1,"deadlineS":2,"effect":"retryable","worth":1}]}}`)
	hup <- syscall.SIGHUP
	if got, _ := lines.ReadString('\n'); !strings.Contains(got, "other than the discovery address, classes and attempts") {
		t.Errorf("logged %q for a valid file with other changes, want a warning that they need a restart", got)
	}
	if cfg := <-to; cfg.Discovery != "127.0.0.1:2" || len(to) > 0 {
		t.Errorf("received %+v and %d more configurations, want one with discovery 127.0.0.1:2", cfg, len(to))
	}
}

const testTimeout = 20 * time.Second // bounds each wait of a test

// Guards against a SIGHUP that ends the process or disturbs its clients. Two reloads change the discovery address, and
// one between them reads an invalid file. The ingress must watch each new address, and serve a client throughout.
func TestReload_OnSIGHUP(t *testing.T) {
	spare := make(chan os.Signal, 8) // a SIGHUP that the program does not handle must not end the test process
	signal.Notify(spare, syscall.SIGHUP)
	defer signal.Stop(spare)

	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	go func() {
		for {
			c, err := backend.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if strings.HasPrefix(line, "c=") { // the last argument of a read
						_, _ = io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
					}
				}
			}()
		}
	}()
	watched := make(chan int, 16)
	var agents []string
	for i := range 3 {
		end := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			fmt.Fprintf(w, `{"version":%d,"full":true,"servers":[{"id":"s","addr":"%s","zone":"a","state":"in_service"}]}`+"\n",
				10-i, backend.Addr())
			w.(http.Flusher).Flush()
			if q.URL.Query().Get("watch") != "" {
				watched <- i
				select {
				case <-end:
				case <-q.Context().Done():
				}
			}
		}))
		defer srv.Close()
		defer close(end)
		agents = append(agents, strings.TrimPrefix(srv.URL, "http://"))
	}
	listen := freeAddress(t)

	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		t.Helper()
		text := fmt.Sprintf(`{"name":"n0","listen":"%s","discovery":"%s","seed":"1","settings":{"balancers":1,
			"limits":{"dialTimeoutS":1,"connIdleS":15,"maxAttempts":3},
			"profiles":[{"name":"look","aimS":10,"deadlineS":20,"effect":"retryable","worth":1}],
			"packages":[{"name":"basic","unitsPerS":1000000,"peakUnits":1000000,"pays":1}]}}`, listen, discovery)
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	watches := func(want int) {
		t.Helper()
		select {
		case got := <-watched:
			if got != want {
				t.Fatalf("discovery agent %d is watched, want agent %d", got, want)
			}
		case <-time.After(testTimeout):
			t.Fatalf("discovery agent %d is not watched after %v", want, testTimeout)
		}
	}
	hup := func() {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	write(agents[0])
	t.Setenv("EDGE_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- run(nil) }()
	watches(0)

	stop, served := make(chan struct{}), make(chan error, 1)
	go func() {
		served <- func() error {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				return err
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(3 * testTimeout)) // the next read reports an error
			r := bufio.NewReader(c)
			for n := 0; ; n++ {
				fields := "c=look,t=basic,d=20000,units=1,spread=1,first=0"
				id := fmt.Sprint("q", n)
				fmt.Fprintf(c, "*4\r\n$8\r\nCALL.GET\r\n$16\r\n00000000b4d65521\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
					len(id), id, len(fields), fields)
				for _, want := range []string{"$1\r\n", "v\r\n"} {
					if got, err := r.ReadString('\n'); err != nil || got != want {
						return errors.Join(fmt.Errorf("request %d: got %q, want %q", n, got, want), err)
					}
				}
				select {
				case <-stop:
					return nil
				default:
				}
			}
		}()
	}()
	write(agents[1])
	hup()
	watches(1)
	if err := os.WriteFile(path, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	hup()
	write(agents[2]) // the signal before may find either of the last two files
	hup()
	watches(2)
	close(stop)
	if err := <-served; err != nil {
		t.Error(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the program ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Errorf("the program did not end within %v of SIGTERM", testTimeout)
	}
}
