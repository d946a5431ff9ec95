package ingress

import (
	"io"
	"net"
	"testing"

	"eiderspread/policy"
)

const value = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"

func (w *wire) served(what string) {
	w.t.Helper()
	if a, b := w.line(), w.line(); a != "$1" || b != "v" {
		w.t.Errorf("%s: got %q, %q", what, a, b)
	}
}

// Guards against the second copy of an answer that is taken for the answer to the next command: a
// connection on which bytes wait, or that has ended, gets none, also before its reader has come to it.
func TestNothingIsWrittenBehindStrayBytes(t *testing.T) {
	for name, stray := range map[string]string{"a copy": value, "noise": "x", "the end": ""} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), sendTo(0))
			mine, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			old := get(t, conns)
			if io.WriteString(old, stray); stray == "" {
				old.Close()
			}
			var c *backConn
			r.do(func() { // a pooled connection whose reader has not run yet
				be := r.in.backends.byID["s0"]
				c = &backConn{be: be, at: be.target, conn: mine.(*net.TCPConn)}
				c.raw, _ = c.conn.SyscallConn()
				c.idleAt = r.in.now
				be.idle = append(be.idle, c)
				r.in.backends.open++
			})
			r.until("it has come", func() bool { return !silent(c.raw) })
			client := r.client()
			client.send(look("a")...)
			b := get(t, conns)
			if got := b.command(); len(got) != 4 {
				t.Fatalf("the new connection got %q", got)
			}
			io.WriteString(b, value)
			client.served("on a new connection")
			if stray != "" && old.command() != nil {
				t.Error("a command was written behind the stray bytes")
			}
		})
	}
}

// Guards against the same where the copy comes once the next command is written: no client must be served
// with it. The next command's request has failed, as its own answer can't be told any more.
func TestCopyBehindTheNextCommand(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), func(r *rig) {
		sendTo(0)(r)
		r.in.backends.copyS = 3600
	})
	c := r.client()
	c.send(look("a")...)
	b := get(t, conns)
	b.command()
	io.WriteString(b, value)
	c.served("the first")
	get(t, r.mod.outcomes)
	c.send(look("b")...)
	if got := b.command(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the connection got %q", got)
	}
	io.WriteString(b, value)
	if o := get(t, r.mod.outcomes); o.Status != policy.Error || o.Over {
		t.Errorf("got %+v", o)
	}
	if b.command() != nil {
		t.Error("the connection is used on")
	}
}

// Guards against an answer from what stands now where a backend has been: a connection that was in use
// while its backend moved, or started anew, is not pooled.
func TestMovedBackendsConnectionsAreNotPooled(t *testing.T) {
	from, old := listen(t)
	to, moved := listen(t)
	for name, change := range map[string]func(*target){
		"moved":     func(e *target) { e.Addr = to },
		"restarted": func(e *target) { e.StartedMS = 5 },
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, testConfig(from), sendTo(0))
			c := r.client()
			c.send(look("a")...)
			b := get(t, old)
			b.command()
			r.do(func() {
				e := r.in.backends.byID["s0"].target
				change(&e)
				r.in.takeList(targets{Servers: []target{e}}, r.in.now)
			})
			io.WriteString(b, value)
			c.served("the answer that was out")
			c.send(look("b")...)
			next := moved
			if name == "restarted" {
				next = old
			}
			b = get(t, next)
			if b.command() == nil {
				t.Fatal("the next command did not come")
			}
			io.WriteString(b, value)
			c.served("the next one")
		})
	}
}

// Guards against a backend taken for down, and a request for failed, where a dial fails while another
// connection has become free.
func TestFailedDialLeavesTheFreeConnection(t *testing.T) {
	addr, conns := listen(t)
	fail, dialled := make(chan struct{}), make(chan struct{}, 2)
	r := start(t, testConfig(addr), func(r *rig) {
		sendTo(0)(r)
		dial, n := r.in.backends.dial, 0
		r.in.backends.dial = func(addr string) (net.Conn, error) { // one after another in this test
			n++
			dialled <- struct{}{}
			if n == 1 {
				return dial(addr)
			}
			<-fail
			return nil, io.ErrUnexpectedEOF
		}
	})
	c := r.client()
	c.send(look("a")...)
	b := get(t, conns)
	b.command()
	get(t, dialled)
	c.send(look("b")...)
	get(t, dialled)
	io.WriteString(b, value)
	c.served("the first")
	if o := get(t, r.mod.outcomes); o.Status != policy.OK {
		t.Fatalf("got %+v", o)
	}
	close(fail)
	if got := b.command(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the free connection got %q", got)
	}
	io.WriteString(b, value)
	c.served("the second")
}

// Guards against good values thrown away for the figures behind them, against figures out of all range,
// and against values in replies that are none.
func TestReplies(t *testing.T) {
	for reply, want := range map[string]struct {
		status policy.Status
		load   float64 // of the cores, -1: none
	}{
		"*3\r\n$1\r\nv\r\n$-1\r\n$14\r\ncpu_share=0.25\r\n":           {policy.OK, 0.25},
		"*3\r\n$1\r\nv\r\n$3\r\n\x00?!\r\n$-1\r\n":                    {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n:7\r\n$3\r\n\x00?!\r\n":                     {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$13\r\ncpu_share=1e8\r\n":            {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$13\r\ncpu_share=NaN\r\n":            {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$12\r\ncpu_share=-1\r\n":             {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$24\r\ncpu_share=0.5,svc_ms=1e9\r\n": {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$0\r\n\r\n":                          {policy.OK, -1},
		"*3\r\n:1\r\n$-1\r\n$-1\r\n":                                  {policy.Error, -1},
		"*0\r\n":                                                      {policy.Error, -1},
		"+OK\r\n":                                                     {policy.Error, -1},
		"-BUSY cpu_share=0.5\r\n":                                     {policy.Full, 0.5},
		"-BUSYNESS\r\n":                                               {policy.Error, -1},
	} {
		if n, err := frame([]byte(reply)); n != len(reply) || err != nil {
			t.Fatalf("%q: frame gives %d, %v", reply, n, err)
		}
		res := parseReply([]byte(reply))
		load := -1.0
		if res.load != nil {
			load = res.load.Util
		}
		if res.status != want.status || load != want.load || (res.value != nil) != (want.status == policy.OK) {
			t.Errorf("%q: got %+v, load %v", reply, res, load)
		}
	}
}

// Guards against a late second copy of a refusal or an error that is taken for what became of the next command: it would tell of another
// request that it never ran. The connection rests until a copy has come, and what does come on it then ends it.
func TestCopyOfWhatIsNoValue(t *testing.T) {
	for _, answer := range []string{"-BUSY\r\n", "-ERR failed\r\n"} {
		t.Run(answer[:len(answer)-2], func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), func(r *rig) {
				sendTo(0)(r)
				r.in.backends.copyS = 3600
			})
			c := r.client()
			c.send(look("a")...)
			b := get(t, conns)
			b.command()
			io.WriteString(b, answer)
			get(t, r.mod.outcomes)
			c2 := r.client()
			c2.send(look("b")...)
			other := get(t, conns) // not the one that answered last
			if got := other.command(); len(got) != 4 || got[2] != "b" {
				t.Fatalf("the new connection got %q", got)
			}
			io.WriteString(b, answer)
			if b.command() != nil {
				t.Error("the connection is used on")
			}
			io.WriteString(other, value)
			c2.served("the second")
		})
	}
}

// Guards the same for values that come late, behind another answer, and for large ones, of which the start tells.
func TestCopiesAreKnown(t *testing.T) {
	var l copies
	a, b := []byte("a"), []byte("b")
	for i, step := range []struct {
		b    []byte
		at   float64
		want bool
	}{{a, 1, false}, {b, 1.01, false}, {a, 1.02, true}, {b, 1.02, true}, {a, 2, false}} {
		if got := l.has(step.b, step.at, 0.1); got != step.want {
			t.Errorf("step %d: %v", i, got)
		}
	}
	addr, conns := listen(t)
	r := start(t, testConfig(addr), func(r *rig) {
		sendTo(0)(r)
		r.in.backends.copyS = 3600
	})
	text, answer := large(maxValue+1, 7)
	c := r.client()
	c.send(look("a")...)
	w := get(t, conns)
	w.command()
	w.Write(answer)
	if got := c.bulk(); string(got) != string(text) {
		t.Fatal("not served")
	}
	get(t, r.mod.outcomes)
	c.send(look("b")...)
	if w.command() == nil {
		t.Fatal("no second command")
	}
	go w.Write(answer) // its end may be cut off
	if o := get(t, r.mod.outcomes); o.Status != policy.Error || o.Over {
		t.Errorf("a copy of a large value: %+v", o)
	}
}

// Guards against an unsafe request that is sent again though it runs: its last byte is out, written by a goroutine that has not said so
// yet, as it is given up.
func TestLastByteIsOutBeforeItIsSaid(t *testing.T) {
	l, change := narrow(t)
	out, said := make(chan struct{}), make(chan struct{})
	r := start(t, testConfig(l.Addr().String()), func(r *rig) {
		change(r)
		r.in.backends.ended = func() { close(out); <-said }
	})
	c := r.client()
	c.send("CALL.POST", customer, "a", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", string(make([]byte, maxValue)))
	get(t, r.mod.requests)
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if args := newWire(t, b).command(); len(args) != 5 { // all of it is there: it runs
		t.Fatal("the command did not come whole")
	}
	get(t, out)
	r.do(func() { r.in.expire(r.in.requests["a"].attempts[0]) })
	close(said)
	if o := get(t, r.mod.outcomes); o.Status != policy.Timeout {
		t.Errorf("given up while its last byte was out: %+v, may it be sent again?", o)
	}
}

// Guards the other side of that edge: what is given up before its last byte never goes out whole.
func TestGivenUpBeforeTheLastByte(t *testing.T) {
	mine, theirs := net.Pipe()
	defer theirs.Close()
	c := &backConn{}
	got := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(theirs)
		got <- b
	}()
	if !c.neverWhole() || !c.neverWhole() {
		t.Fatal("nothing of it was out")
	}
	c.finishWrite(mine, []byte("rest"), func() bool { return true }, func() { t.Error("the last byte went out") })
	mine.Close()
	if b := get(t, got); string(b) != "res" || !c.neverWhole() {
		t.Errorf("%q went out", b)
	}
}
