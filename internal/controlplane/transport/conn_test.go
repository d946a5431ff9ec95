package transport

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

const testTimeout = 20 * time.Second

// randomMessage returns a message all of whose fields survive the wire.
func randomMessage(rng *rand.Rand) Message {
	msg := Message{Kind: Kind(1 + rng.IntN(int(kindCount)-1))}
	for _, f := range layout[msg.Kind] {
		switch f {
		case fieldCell:
			msg.Cell = uint16(rng.Uint32())
		case fieldEpoch:
			msg.Epoch = rng.Uint64()
		case fieldHandle:
			msg.Handle = rng.Uint64()
		case fieldRound:
			msg.Round = rng.Uint32()
		case fieldNumber:
			msg.Number = rng.Uint32()
		case fieldRequester:
			msg.Requester = uint16(rng.Uint32())
		case fieldClass:
			msg.Class = uint8(rng.Uint32())
		case fieldPlan:
			msg.Plan = uint8(rng.Uint32())
		case fieldFlag:
			msg.Flag = rng.IntN(2) == 1
		case fieldDuration:
			msg.DurationS = float64(rng.Uint32()) / 1e6
		case fieldUnits:
			msg.Units = float64(rng.IntN(1e6)) / 100
		case fieldName:
			msg.Name = strings.Repeat("x", rng.IntN(MaxNameBytes+1))
		case fieldLoad:
			if msg.HasLoad = rng.IntN(2) == 1; msg.HasLoad {
				for i := range msg.Load {
					msg.Load[i] = float64(float32(rng.Float64()))
				}
			}
		}
	}
	return msg
}

// Each kind is read as it was written.
func TestMessage_RoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	seen := map[Kind]bool{}
	for range 5000 {
		want := []Message{randomMessage(rng), randomMessage(rng)}
		var b []byte
		for i := range want {
			b = AppendMessage(b, &want[i])
			seen[want[i].Kind] = true
		}
		got, err := ParseFrame(b)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	}
	if len(seen) != int(kindCount)-1 {
		t.Errorf("%d kinds of %d were tried", len(seen), kindCount-1)
	}
}

// Values out of their range are errors.
func TestParseFrame_InvalidValues(t *testing.T) {
	for _, b := range [][]byte{
		{0}, {byte(kindCount)}, {byte(KindClaim)}, {byte(KindClaim), 0x80},
		{byte(KindClaim), 0xff, 0xff, 0xff, 0x7f, 1, 1},                                                       // a cell beyond 65,535
		append([]byte{byte(KindOutcome), 1, 0, 0, 0, 0, 1}, []byte(strings.Repeat("\x7f\xc0\x00\x00", 6))...), // NaN
		{byte(KindUsageReportEnd), 1, 1, 2},                                                                   // a flag of 2
		append([]byte{byte(KindProbe), 1, 1, MaxNameBytes + 1}, make([]byte, 200)...),
	} {
		if m, err := ParseFrame(b); err == nil {
			t.Errorf("%v was read as %+v", b, m)
		}
	}
}

// FuzzParseFrame looks for frames that crash the reader, or that can't be written as they were read.
func FuzzParseFrame(f *testing.F) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		msg := randomMessage(rng)
		f.Add(AppendMessage(nil, &msg))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		msgs, err := ParseFrame(b)
		if err != nil {
			return
		}
		var again []byte
		for i := range msgs {
			again = AppendMessage(again, &msgs[i])
		}
		back, err := ParseFrame(again)
		if err != nil || len(back) != len(msgs) {
			t.Fatalf("%v was read, but not read again: %v", b, err)
		}
	})
}

func write(t *testing.T, conn net.Conn, b []byte) {
	t.Helper()
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
}

func connPair(t *testing.T) (net.Conn, net.Conn) {
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

// A malformed frame ends the link with an error, and the complete frames before it are handled.
func TestConn_MalformedFramesClose(t *testing.T) {
	good := AppendMessage(nil, &Message{Kind: KindClaim, Cell: 3, Epoch: 9, Round: 1})
	frame := func(b []byte) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...) }
	for name, b := range map[string][]byte{
		"oversized": binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1),
		"empty":     binary.BigEndian.AppendUint32(nil, 0),
		"unknown":   frame([]byte{200, 1, 2}),
		"cut":       frame(good)[:6],
		"http":      []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connPair(t)
			conn := NewConn(near, testTimeout)
			got := make(chan []Message, 4)
			ended := make(chan error, 1)
			go func() { ended <- conn.Serve(func(m []Message) { got <- m }) }()
			write(t, far, frame(good))
			if m := <-got; len(m) != 1 || m[0].Epoch != 9 {
				t.Fatalf("got %+v", m)
			}
			write(t, far, b)
			if name == "cut" {
				far.Close()
			}
			select {
			case err := <-ended:
				if err == nil {
					t.Error("the link ended without an error")
				}
			case <-time.After(testTimeout):
				t.Fatal("the link goes on")
			}
			if len(got) != 0 {
				t.Errorf("%+v was handled", <-got)
			}
		})
	}
}

// A link from which nothing is read for the idle timeout ends.
func TestConn_IdleTimeoutCloses(t *testing.T) {
	near, _ := connPair(t)
	conn := NewConn(near, 50*time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- conn.Serve(func([]Message) {}) }()
	select {
	case err := <-ended:
		if ne, ok := errors.AsType[net.Error](err); !ok || !ne.Timeout() {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the link goes on")
	}
}

// The queue towards a peer that does not read is bounded.
func TestConn_QueueBoundCloses(t *testing.T) {
	near, _ := connPair(t)
	conn := NewConn(near, testTimeout)
	msg := Message{Kind: KindUsageReport, Name: strings.Repeat("x", MaxNameBytes)}
	for range 200_000 { // some 28 MB
		if conn.Send(msg); !conn.Writable() {
			conn.mu.Lock()
			n, closed := len(conn.queued), conn.closed
			conn.mu.Unlock()
			if n > MaxQueuedBytes {
				t.Fatalf("%d bytes are queued", n)
			}
			if closed {
				return
			}
		}
	}
	t.Error("everything was queued")
}

// A fast sender and a slow reader lose no records and keep their order.
func TestConn_ManyRecordsInOrder(t *testing.T) {
	near, far := connPair(t)
	a, b := NewConn(near, testTimeout), NewConn(far, testTimeout)
	const n = 50_000
	go func() {
		for i := range n {
			for !a.Writable() {
				runtime.Gosched()
			}
			a.Send(Message{Kind: KindDisconnected, Handle: uint64(i)})
		}
	}()
	next, errDone := uint64(0), errors.New("done")
	err := b.Serve(func(msgs []Message) {
		for _, msg := range msgs {
			if msg.Handle != next {
				t.Errorf("%d came, want %d", msg.Handle, next)
			}
			next++
		}
		if next == n {
			b.Close(errDone)
		}
	})
	if next != n || !errors.Is(err, errDone) {
		t.Errorf("%d came; %v", next, err)
	}
}

// A load-shedding level crosses from a planner to a forwarder and on to another planner; to earlier versions it is neither a cell nor a
// request.
func TestShedLevel_RoundTrip(t *testing.T) {
	for _, cell := range []int{0, 5, 1000} {
		for _, phase := range []uint8{0, 200} {
			msg := NewShedLevel(cell, 0.6, phase)
			if msg.Kind != KindRelease || msg.Cell != ShedLevelCell || msg.Cell == CordonCapableCell {
				t.Fatalf("%+v", msg)
			}
			relayed := Message{Kind: KindDisconnected, Handle: msg.Epoch}
			if c, l, p, ok := relayed.ShedLevel(); !ok || c != cell || l < 0.59 || l > 0.61 || p != phase {
				t.Errorf("%d, %g, %d, %v", c, l, p, ok)
			}
		}
	}
	for _, handle := range []uint64{0, 1, CordonCapableHandle, 1 << 62} {
		if _, _, _, ok := (&Message{Kind: KindDisconnected, Handle: handle}).ShedLevel(); ok {
			t.Errorf("handle %x is taken for a level", handle)
		}
	}
}
