package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/held"
	"eiderspread/internal/takeover"
	"eiderspread/policy"
)

// withDoor is a configuration with an operators' door, in a folder of the test's own.
func withDoor(t *testing.T, backends ...string) Config {
	t.Setenv("TMPDIR", t.TempDir())
	cfg := testConfig(backends...)
	cfg.Console = "127.0.0.1:0"
	return cfg
}

// call makes an operator's call and returns its status.
func (r *rig) call(method, path string) int {
	r.t.Helper()
	c, err := net.Dial("tcp", r.in.console.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n\r\n", method, path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.t.Fatal(method, path, err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// backendIn is what the module was last told of a backend.
func backendIn(t *testing.T, list []policy.Server, id string) policy.Server {
	t.Helper()
	for _, s := range list {
		if s.ID == id {
			return s
		}
	}
	t.Fatalf("%s is not told of in %+v", id, list)
	panic("unreachable")
}

// Guards the drain rule against discovery and against time: what operators hold gets nothing until it is called back,
// and what waits for a connection to it is given back at once.
func TestSuspendedBackendGetsNothing(t *testing.T) {
	addr, conns := listen(t)
	cfg := withDoor(t, addr)
	r := start(t, cfg, sendTo(0))
	get(t, r.mod.lists)
	r.client().send(look("before")...)
	get(t, conns).command()
	if got := r.call("POST", "/v1/backends/s0/suspend"); got != 200 {
		t.Fatal(got)
	}
	if s := backendIn(t, get(t, r.mod.lists), "s0"); s.State != policy.Draining {
		t.Fatalf("told as %+v", s)
	}
	r.do(func() { r.in.takeList(cfg.Known, r.in.now) }) // discovery says that it serves
	if s := backendIn(t, get(t, r.mod.lists), "s0"); s.State != policy.Draining {
		t.Fatalf("discovery put it back: %+v", s)
	}
	r.client().send(look("meanwhile")...)
	if o := get(t, r.mod.outcomes); o.ID != "meanwhile" || o.Status != policy.Moot {
		t.Fatalf("sent all the same: %+v", o)
	}
	if got := r.call("POST", "/v1/backends/x/suspend"); got != 404 {
		t.Fatal("an id of nobody:", got)
	}
	if got := r.call("POST", "/v1/backends/s0/suspend"); got != 200 {
		t.Fatal(got)
	}
	if got := r.call("POST", "/v1/backends/s0/resume"); got != 200 {
		t.Fatal(got)
	}
	if s := backendIn(t, get(t, r.mod.lists), "s0"); s.State != policy.Up || s.SinceS == 0 {
		t.Errorf("called back as %+v, want up and just started", s)
	}
	r.client().send(look("after")...)
	if get(t, conns).command() == nil {
		t.Fatal("called back, but not in use")
	}
}

// Guards the door against a loop that is busy: no is said in time.
func TestDoorAnswersWhileTheLoopIsBusy(t *testing.T) {
	r := start(t, withDoor(t, "127.0.0.1:1"), nil)
	free := make(chan struct{})
	r.in.Post(func(float64) { <-free })
	if got := r.call("POST", "/v1/ingress/drain"); got != 503 {
		t.Error("yes was said before it was done:", got)
	}
	if got := r.call("GET", "/v1/readyz"); got != 200 {
		t.Error(got)
	}
	close(free)
}

// Guards clients and the front when an ingress is drained by hand: no at once, served while they stay, nothing left.
func TestClientsAreSentAway(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, withDoor(t, addr), sendTo(0))
	idle, busy := r.client(), r.client()
	idle.send("PING")
	idle.line()
	busy.send(look("long")...)
	b := get(t, conns)
	b.command()
	if got := r.call("POST", "/v1/ingress/drain"); got != 200 {
		t.Fatal(got)
	}
	if r.call("GET", "/v1/readyz") == 200 {
		t.Error("ready while drained")
	}
	if idle.send("PING"); !strings.HasPrefix(idle.line(), "-") {
		t.Error("PING is still answered with yes")
	}
	late := r.client() // the front has not noticed yet
	late.send(look("late")...)
	lateB := get(t, conns)
	lateB.command()
	r.drainSince(1.75)
	if idle.line() != "" {
		t.Error("an idle connection is kept")
	}
	for i, w := range []*wire{busy, late} {
		io.WriteString([]*wire{b, lateB}[i], "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		if w.line() != "$1" || w.line() != "v" || w.line() != "" {
			t.Error("a request was not answered, or its connection stayed")
		}
	}
	r.until("nobody is left", func() bool { return r.in.clients.open() == 0 })
	if r.call("POST", "/v1/ingress/activate") != 200 || r.call("GET", "/v1/readyz") != 200 {
		t.Error("not taken back")
	}
	again := r.client()
	if again.send("PING"); again.line() != "+PONG" {
		t.Error("clients are not taken again")
	}
}

// drainSince has the drain look as if it had begun so many seconds ago.
func (r *rig) drainSince(ago float64) {
	r.do(func() {
		r.in.drain.End()
		r.in.drain.Begin(r.in.now - ago)
	})
}

// serveBackend answers every request at a backend with a value.
func serveBackend(conns chan *wire) {
	for w := range conns {
		go func() {
			for w.command() != nil {
				io.WriteString(w, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
			}
		}()
	}
}

// Guards every kind of connection while a process is replaced: idle, busy, with half a command read, with a command
// behind an open one, new. Each is answered, none is refused or closed, and what is held stays held.
func TestReplacement(t *testing.T) {
	addr, conns := listen(t)
	other, otherConns := listen(t)
	go serveBackend(otherConns)
	cfg := withDoor(t, addr, other)
	old := start(t, cfg, sendTo(0))
	cfg.Listen = old.in.listener.Addr().String()
	if old.call("POST", "/v1/backends/s1/suspend") != 200 {
		t.Fatal("no")
	}
	idle, half, busy := old.client(), old.client(), old.client()
	idle.send("PING")
	idle.line()
	text := command(look("half")...)
	io.WriteString(half, text[:30])
	busy.send(look("busy")...)
	b := get(t, conns)
	b.command()
	io.WriteString(busy, command(look("behind")...)[:50])
	old.until("the halves have been read", func() bool { return len(old.in.requests) == 1 })

	young := start(t, cfg, func(r *rig) {
		r.mod.onRequest = func(q policy.Request) { r.in.Send(q.ID, "s0", 0) }
	})
	young.until("the new process is ready", young.in.taking.Load)
	if old.call("GET", "/v1/readyz") == 200 || young.call("GET", "/v1/readyz") != 200 {
		t.Error("not the new process alone is ready")
	}
	for s := (policy.Server{}); s.State != policy.Draining; {
		s = backendIn(t, get(t, young.mod.lists), "s1")
	}
	fresh := young.client()
	fresh.send("PING")
	if fresh.line() != "+PONG" {
		t.Error("a new connection is not served")
	}
	idle.send("PING")
	if idle.line() != "+PONG" {
		t.Error("an idle connection was not passed on")
	}
	io.WriteString(half, text[30:])
	if q := get(t, young.mod.requests); q.ID != "half" {
		t.Errorf("%+v came in place of the request in two halves", q)
	}
	hb := get(t, conns)
	if hb.command() == nil {
		t.Fatal("not sent")
	}
	io.WriteString(hb, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	if half.line() != "$1" || half.line() != "v" {
		t.Error("the request in two halves was not answered")
	}
	select {
	case <-old.end:
		t.Fatal("the old process ended with a request open")
	default:
	}
	io.WriteString(b, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	if busy.line() != "$1" || busy.line() != "v" {
		t.Error("the old process did not answer what it had taken")
	}
	get(t, old.end)
	io.WriteString(busy, command(look("behind")...)[50:])
	if q := get(t, young.mod.requests); q.ID != "behind" {
		t.Errorf("%+v", q)
	}
	young.until("the link has ended", func() bool { return young.in.heir == nil })
	if young.call("POST", "/v1/backends/s1/resume") != 200 {
		t.Error("what was held before can't be called back")
	}
}

// successor is a new process that has been given the sockets.
func successor(t *testing.T, path string) *takeover.Link {
	t.Helper()
	link, err := takeover.Dial(path)
	if link == nil || err != nil {
		t.Fatal(err)
	}
	link.Send(takeover.Hello, []byte{takeover.Version}, patience)
	m, err := link.Expect(takeover.Sockets, 1, patience)
	if err != nil {
		t.Fatal(err)
	}
	m.Close()
	return link
}

// takeOver has it say that it is ready, and waits for the word to go on.
func takeOver(t *testing.T, link *takeover.Link) {
	t.Helper()
	link.Send(takeover.Ready, nil, patience)
	if _, err := link.Expect(takeover.Go, 0, patience); err != nil {
		t.Fatal(err)
	}
}

// Guards the end of a process that was asked to end, and of which the successor has died: it answers what it holds, and does
// not come back to life.
func TestSuccessorThatDiesAfterTheSignal(t *testing.T) {
	for _, order := range []string{"after it leaves", "before"} {
		t.Run(order, func(t *testing.T) {
			r := start(t, withDoor(t, "127.0.0.1:1"), func(r *rig) { r.in.acceptFor = time.Hour }) // until the test says so
			open, idle := r.client(), r.client()
			idle.send("PING")
			idle.line()
			open.send(look("open")...)
			get(t, r.mod.requests)
			path, _ := takeover.Path(os.TempDir(), r.in.cfg.Name)
			link := successor(t, path)
			takeOver(t, link)
			r.term()
			r.until("it has heard the signal", func() bool { return r.in.signalled })
			die := func() {
				link.Close()
				r.until("it knows that its successor has died", func() bool { return r.in.heirs.stage == none })
			}
			if order == "before" {
				die()
				r.do(r.in.leave)
			} else {
				r.do(r.in.leave)
				die()
			}
			r.do(func() { r.in.Fail("open") })
			if open.line() != "-ERR failed" {
				t.Error("what it had taken was not answered")
			}
			get(t, r.end)
			if r.in.stopped {
				t.Error("it waited for a listener that rests")
			}
		})
	}
}

// Guards the descriptors of an ingress that runs as two processes: what the other one still has counts.
func TestConnectionsElsewhereCount(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), func(r *rig) { r.in.clients.keep, r.in.clients.most, r.in.clients.elsewhere = 2, 2, 1 })
	first := (*wire)(nil)
	for i := range 2 {
		w := r.client()
		if i == 0 {
			first = w
		}
		w.send("PING")
		if w.line() != "+PONG" {
			t.Fatal("not served")
		}
	}
	if r.do(func() {
		if n := r.in.clients.open(); n != 1 {
			t.Errorf("%d connections here and one elsewhere, 2 may be", n)
		}
	}); first.line() != "" {
		t.Error("the one that idles longest was not closed")
	}
}

// Guards clients against a new process that dies right after it took over: the old one goes on with all of them.
func TestSuccessorThatDies(t *testing.T) {
	addr, conns := listen(t)
	go serveBackend(conns)
	r := start(t, withDoor(t, addr), func(r *rig) {
		r.mod.onRequest = func(q policy.Request) {
			if q.ID != "open" { // which keeps the old process
				r.in.Send(q.ID, "s0", 0)
			}
		}
	})
	idle, half, busy := r.client(), r.client(), r.client()
	busy.send(look("open")...)
	get(t, r.mod.requests)
	idle.send("PING")
	idle.line()
	text := command(look("half")...)
	io.WriteString(half, text[:30])
	path, err := takeover.Path(os.TempDir(), r.in.cfg.Name)
	if err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		link := successor(t, path)
		var limit *timer
		if round > 0 { // the first dies before it is ready
			takeOver(t, link)
			if r.call("GET", "/v1/readyz") == 200 {
				t.Error("ready with nobody at the listener")
			}
			r.do(func() { limit = r.in.heirs.end })
		}
		most := 0
		link.Close() // with what was passed on meanwhile
		r.until("the old process goes on", func() bool {
			most = r.in.backends.most
			return r.in.taking.Load() && r.in.heirs.stage == none && (limit == nil || limit.index < 0) // else all ends by it
		})
		if want := r.in.cfg.free() * 3 / 8; most != want {
			t.Errorf("%d connections to backends, want %d again", most, want)
		}
		late := r.client()
		late.send(look(fmt.Sprint("late", round))...)
		if late.line() != "$1" || late.line() != "v" {
			t.Fatal("a new connection is not served")
		}
	}
}

// Guards the running process against one of other addresses.
func TestReplacementElsewhereIsRefused(t *testing.T) {
	cfg := withDoor(t, "127.0.0.1:1")
	r := start(t, cfg, nil)
	r.do(func() {}) // it serves, and listens for a successor
	cfg.Listen = "127.0.0.1:1"
	if _, err := open(cfg, r.in.log); err == nil || !strings.Contains(err.Error(), "does not hand over") {
		t.Fatal(err)
	}
	w := r.client()
	if w.send("PING"); w.line() != "+PONG" {
		t.Fatal("the running process suffered by it")
	}
}

// Guards the hold against a process that comes back to a file that is spoilt: it starts, and says so.
func TestSpoiltHolds(t *testing.T) {
	cfg := withDoor(t, "127.0.0.1:1")
	os.WriteFile(storePath(cfg.Name), []byte("{"), 0o600)
	r := start(t, cfg, nil)
	if r.call("POST", "/v1/backends/s0/suspend") != 200 {
		t.Fatal("no")
	}
	if err := held.NewStore(storePath(cfg.Name)).Look(func(h held.Holds) {
		if len(h) != 1 {
			t.Error(h)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

// Guards chains: a process that is replaced while the one before it still ends. Idle connections come to the last one by way of the
// middle one, what the first holds is answered, and each ends when all before it have.
func TestReplacedWhileTheFirstStillEnds(t *testing.T) {
	addr, conns := listen(t)
	cfg := withDoor(t, addr)
	first := start(t, cfg, sendTo(0))
	cfg.Listen = first.in.listener.Addr().String()
	busy, idle := first.client(), first.client()
	idle.send("PING")
	idle.line()
	busy.send(look("busy")...)
	b := get(t, conns)
	b.command()
	second := start(t, cfg, sendTo(0))
	second.until("the second serves", second.in.taking.Load)
	third := start(t, cfg, nil)
	third.until("the third serves", third.in.taking.Load)
	idle.send("PING")
	if idle.line() != "+PONG" {
		t.Fatal("an idle connection did not come through")
	}
	select {
	case <-second.end:
		t.Fatal("the second ended while the first has a request open: the first would go on by itself")
	default:
	}
	io.WriteString(b, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	if busy.line() != "$1" || busy.line() != "v" {
		t.Fatal("not answered")
	}
	get(t, first.end)
	get(t, second.end)
	busy.send(look("again")...)
	if q := get(t, third.mod.requests); q.ID != "again" {
		t.Errorf("%+v came to the third", q)
	}
	third.until("nothing is left of the others", func() bool { return third.in.heir == nil })
}

// Guards ten replacements in a row, with connections that live through all of them.
func TestTenReplacementsInARow(t *testing.T) {
	addr, conns := listen(t)
	go serveBackend(conns)
	cfg := withDoor(t, addr)
	was := start(t, cfg, sendTo(0))
	cfg.Listen = was.in.listener.Addr().String()
	var clients []*wire
	for range 5 {
		clients = append(clients, was.client())
	}
	for n := range 10 {
		for i, w := range clients {
			w.send(look(fmt.Sprint("r", n, "-", i))...)
			if w.line() != "$1" || w.line() != "v" {
				t.Fatalf("client %d is not served by process %d", i, n)
			}
		}
		is := start(t, cfg, sendTo(0))
		is.until("the next serves", is.in.taking.Load)
		get(t, was.end)
		is.until("the link has ended", func() bool { return is.in.heir == nil })
		was = is
	}
}
