package link

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"
)

const patience = 20 * time.Second

// random makes a record whose fields all survive the link.
func random(rng *rand.Rand) Msg {
	m := Msg{Kind: Kind(1 + rng.IntN(int(kinds)-1))}
	for _, f := range layout[m.Kind] {
		switch f {
		case fCell:
			m.Cell = uint16(rng.Uint32())
		case fEpoch:
			m.Epoch = rng.Uint64()
		case fHandle:
			m.Handle = rng.Uint64()
		case fRound:
			m.Round = rng.Uint32()
		case fN:
			m.N = rng.Uint32()
		case fWant:
			m.Want = uint16(rng.Uint32())
		case fClass:
			m.Class = uint8(rng.Uint32())
		case fPlan:
			m.Plan = uint8(rng.Uint32())
		case fFlag:
			m.Flag = rng.IntN(2) == 1
		case fWait:
			m.Wait = float64(rng.Uint32()) / 1e6
		case fValue:
			m.Value = float64(rng.IntN(1e6)) / 100
		case fName:
			m.Name = strings.Repeat("x", rng.IntN(MaxText+1))
		case fLoad:
			if m.HasLoad = rng.IntN(2) == 1; m.HasLoad {
				for i := range m.Load {
					m.Load[i] = float64(float32(rng.Float64()))
				}
			}
		}
	}
	return m
}

// Guards against a field that is written and not read, or the reverse.
func TestRecordsComeBack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	seen := map[Kind]bool{}
	for range 5000 {
		want := []Msg{random(rng), random(rng)}
		var b []byte
		for i := range want {
			b = Append(b, &want[i])
			seen[want[i].Kind] = true
		}
		got, err := Parse(b)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	}
	if len(seen) != int(kinds)-1 {
		t.Errorf("%d kinds of %d were tried", len(seen), kinds-1)
	}
}

// Guards against what is no number: it would reach the module.
func TestBadValues(t *testing.T) {
	for _, b := range [][]byte{
		{0}, {byte(kinds)}, {byte(Claim)}, {byte(Claim), 0x80},
		{byte(Claim), 0xff, 0xff, 0xff, 0x7f, 1, 1},                                                       // a cell beyond 65,535
		append([]byte{byte(Outcome), 1, 0, 0, 0, 0, 1}, []byte(strings.Repeat("\x7f\xc0\x00\x00", 6))...), // NaN
		{byte(TaleEnd), 1, 1, 2}, // a flag of 2
		append([]byte{byte(Probe), 1, 1, MaxText + 1}, make([]byte, 200)...),
	} {
		if m, err := Parse(b); err == nil {
			t.Errorf("%v was read as %+v", b, m)
		}
	}
}

// FuzzParse looks for frames that crash the reader, or that are read as something they can't be written as.
func FuzzParse(f *testing.F) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		m := random(rng)
		f.Add(Append(nil, &m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		msgs, err := Parse(b)
		if err != nil {
			return
		}
		var again []byte
		for i := range msgs {
			again = Append(again, &msgs[i])
		}
		back, err := Parse(again)
		if err != nil || len(back) != len(msgs) {
			t.Fatalf("%v was read, but not read again: %v", b, err)
		}
	})
}

func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// Guards against harm by a peer that speaks nonsense: the link ends with one error, and what was whole before it
// has been handed on.
func TestBrokenFramesEndTheLink(t *testing.T) {
	good := Append(nil, &Msg{Kind: Claim, Cell: 3, Epoch: 9, Round: 1})
	frame := func(b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }
	for name, b := range map[string][]byte{
		"oversized": binary.BigEndian.AppendUint32(nil, MaxFrame+1),
		"empty":     binary.BigEndian.AppendUint32(nil, 0),
		"unknown":   frame([]byte{200, 1, 2}),
		"cut":       frame(good)[:6],
		"http":      []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			l := NewConn(near, patience)
			got := make(chan []Msg, 4)
			ended := make(chan error, 1)
			go func() { ended <- l.Serve(func(m []Msg) { got <- m }) }()
			far.Write(frame(good))
			if m := <-got; len(m) != 1 || m[0].Epoch != 9 {
				t.Fatalf("got %+v", m)
			}
			far.Write(b)
			if name == "cut" {
				far.Close()
			}
			select {
			case err := <-ended:
				if err == nil {
					t.Error("the link ended without an error")
				}
			case <-time.After(patience):
				t.Fatal("the link goes on")
			}
			if len(got) != 0 {
				t.Errorf("%+v was handed on", <-got)
			}
		})
	}
}

// Guards against a peer that was stopped or cut off: no byte for the stated time ends the link.
func TestSilenceEndsTheLink(t *testing.T) {
	near, _ := pair(t)
	l := NewConn(near, 50*time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- l.Serve(func([]Msg) {}) }()
	select {
	case err := <-ended:
		if ne, ok := errors.AsType[net.Error](err); !ok || !ne.Timeout() {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(patience):
		t.Fatal("the link goes on")
	}
}

// Guards against a queue without an end towards a peer that does not read.
func TestPeerThatDoesNotRead(t *testing.T) {
	near, _ := pair(t)
	l := NewConn(near, patience)
	m := Msg{Kind: Tale, Name: strings.Repeat("x", MaxText)}
	for range 200_000 { // some 28 MB
		if l.Send(m); !l.Room() {
			l.mu.Lock()
			n, closed := len(l.buf), l.closed
			l.mu.Unlock()
			if n > MaxWaiting {
				t.Fatalf("%d bytes wait", n)
			}
			if closed {
				return
			}
		}
	}
	t.Error("all was taken")
}

// Guards against records that are lost or out of order where many senders meet a slow reader.
func TestManyRecordsInOrder(t *testing.T) {
	near, far := pair(t)
	a, b := NewConn(near, patience), NewConn(far, patience)
	const n = 50_000
	go func() {
		for i := range n {
			for !a.Room() {
				runtime.Gosched()
			}
			a.Send(Msg{Kind: Gone, Handle: uint64(i)})
		}
	}()
	next := uint64(0)
	b.Serve(func(msgs []Msg) {
		for _, m := range msgs {
			if m.Handle != next {
				t.Errorf("%d came, want %d", m.Handle, next)
			}
			next++
		}
		if next == n {
			b.Close(errors.New("done"))
		}
	})
	if next != n {
		t.Errorf("%d came", next)
	}
}

// A word of overload crosses from a planner to a forwarder and on to another planner, and is neither a cell nor a request to those that don't
// know it.
func TestOverloadWordsCross(t *testing.T) {
	for _, cell := range []int{0, 5, 1000} {
		for _, phase := range []uint8{0, 200} {
			said := OverloadOf(cell, 0.6, phase)
			if said.Kind != Release || said.Cell != OverloadCell || said.Cell == KnowsHoldsCell {
				t.Fatalf("%+v", said)
			}
			gone := Msg{Kind: Gone, Handle: said.Epoch}
			if c, l, p, ok := gone.Overload(); !ok || c != cell || l < 0.59 || l > 0.61 || p != phase {
				t.Errorf("%d, %g, %d, %v", c, l, p, ok)
			}
		}
	}
	for _, handle := range []uint64{0, 1, KnowsHoldsHandle, 1 << 62} {
		if _, _, _, ok := (&Msg{Kind: Gone, Handle: handle}).Overload(); ok {
			t.Errorf("handle %x is taken for a word", handle)
		}
	}
}
