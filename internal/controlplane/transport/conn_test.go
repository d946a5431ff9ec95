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

// randomMessage returns a message whose values encoding and decoding leave unchanged.
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

// Guards the codec: messages of every kind with random values are decoded as they were encoded.
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
			t.Fatalf("decoded messages are %+v (error %v), want %+v", got, err, want)
		}
	}
	if len(seen) != int(kindCount)-1 {
		t.Errorf("%d kinds were tested, want all %d", len(seen), kindCount-1)
	}
}

// Guards against values out of range from a faulty peer: a frame that holds one is rejected.
func TestParseFrame_InvalidValues(t *testing.T) {
	for _, b := range [][]byte{
		{0}, {byte(kindCount)}, {byte(KindClaim)}, {byte(KindClaim), 0x80},
		{byte(KindClaim), 0xff, 0xff, 0xff, 0x7f, 1, 1},                                                       // cell above 65,535
		append([]byte{byte(KindOutcome), 1, 0, 0, 0, 0, 1}, []byte(strings.Repeat("\x7f\xc0\x00\x00", 6))...), // NaN
		{byte(KindUsageReportEnd), 1, 1, 2},                                                                   // flag that is neither 0 nor 1
		append([]byte{byte(KindProbe), 1, 1, MaxNameBytes + 1}, make([]byte, 200)...),
	} {
		if m, err := ParseFrame(b); err == nil {
			t.Errorf("frame %v is decoded as %+v, want an error", b, m)
		}
	}
}

// FuzzParseFrame looks for frames that crash the decoder, or whose messages can't be encoded and decoded again.
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
		var encoded []byte
		for i := range msgs {
			encoded = AppendMessage(encoded, &msgs[i])
		}
		decoded, err := ParseFrame(encoded)
		if err != nil || len(decoded) != len(msgs) {
			t.Fatalf("frame %v holds %d messages, encoded again it holds %d (error %v)", b, len(msgs), len(decoded), err)
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

// Guards against bytes that are not the protocol: they end the link with an error, and the complete frames before them are handled.
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
				t.Fatalf("the frame before the malformed one is handled as %+v, want one message with epoch 9", m)
			}
			write(t, far, b)
			if name == "cut" {
				far.Close()
			}
			select {
			case err := <-ended:
				if err == nil {
					t.Error("the link ended without an error, want one")
				}
			case <-time.After(testTimeout):
				t.Fatalf("the link is still open %v after the malformed frame", testTimeout)
			}
			if len(got) != 0 {
				t.Errorf("messages %+v of the malformed frame are handled, want none", <-got)
			}
		})
	}
}

// Guards against a peer that is silent, such as one behind a cut network: the link ends after the idle timeout.
func TestConn_IdleTimeoutCloses(t *testing.T) {
	near, _ := connPair(t)
	conn := NewConn(near, 50*time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- conn.Serve(func([]Message) {}) }()
	select {
	case err := <-ended:
		if ne, ok := errors.AsType[net.Error](err); !ok || !ne.Timeout() {
			t.Errorf("the link ended with error %v, want a timeout", err)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the link is still open after %v of silence", testTimeout)
	}
}

// Guards against a peer that does not read: the queue of messages for it stays within MaxQueuedBytes, and the link is closed.
func TestConn_QueueBoundCloses(t *testing.T) {
	near, _ := connPair(t)
	conn := NewConn(near, testTimeout)
	msg := Message{Kind: KindUsageReport, Name: strings.Repeat("x", MaxNameBytes)}
	for range 200_000 { // about 28 MB
		if conn.Send(msg); !conn.Writable() {
			conn.mu.Lock()
			n, closed := len(conn.queued), conn.closed
			conn.mu.Unlock()
			if n > MaxQueuedBytes {
				t.Fatalf("%d bytes are queued, want at most %d", n, MaxQueuedBytes)
			}
			if closed {
				return
			}
		}
	}
	t.Error("the link is still open after all messages were sent to a peer that does not read")
}

// Guards the order of records: none is lost or reordered between a fast sender and a slower reader.
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
				t.Errorf("received handle %d, want %d", msg.Handle, next)
			}
			next++
		}
		if next == n {
			b.Close(errDone)
		}
	})
	if next != n || !errors.Is(err, errDone) {
		t.Errorf("received %d records and the link ended with %v, want %d records and %v", next, err, n, errDone)
	}
}

// Guards the encoding of load-shedding levels: a level survives the way from a planner through a forwarder to another planner, and peers
// of earlier versions take it for no known cell and no request.
func TestShedLevel_RoundTrip(t *testing.T) {
	for _, cell := range []int{0, 5, 1000} {
		for _, phase := range []uint8{0, 200} {
			msg := NewShedLevel(cell, 0.6, phase)
			if msg.Kind != KindRelease || msg.Cell != ShedLevelCell || msg.Cell == CordonCapableCell {
				t.Fatalf("cell %d, phase %d: got %+v, want a KindRelease of cell %d", cell, phase, msg, ShedLevelCell)
			}
			relayed := Message{Kind: KindDisconnected, Handle: msg.Epoch}
			if c, l, p, ok := relayed.ShedLevel(); !ok || c != cell || l < 0.59 || l > 0.61 || p != phase {
				t.Errorf("decoded cell %d, level %g, phase %d, ok %v; want %d, 0.6, %d, true", c, l, p, ok, cell, phase)
			}
		}
	}
	for _, handle := range []uint64{0, 1, CordonCapableHandle, 1 << 62} {
		if _, _, _, ok := (&Message{Kind: KindDisconnected, Handle: handle}).ShedLevel(); ok {
			t.Errorf("handle %x is decoded as a load-shedding level, want none", handle)
		}
	}
}
