package hotrestart

import (
	"bytes"
	"net"
	"path/filepath"
	"testing"
	"time"

	"eiderspread/internal/testbed/golden"
)

// Guards against changes of the messages that bring unread answers, and of what a successor says to get it.
func TestGoldenAnswers(t *testing.T) {
	golden.Check(t, "answers.bin", []byte{byte(Ready), AcceptsAnswers, byte(Answer)})
	golden.Check(t, "next_value.bin", []byte{byte(NextValue)})
}

// Guards against changes of the message that brings a drain, and of what a successor says to get it.
func TestGoldenDrain(t *testing.T) {
	golden.Check(t, "drain.bin", append([]byte{byte(Ready), TakesDrain, byte(Drain)}, EncodeTime(1234.5)...))
	if at, err := DecodeTime(EncodeTime(1234.5)); at != 1234.5 || err != nil {
		t.Errorf("decoded %v, error %v, want 1234.5", at, err)
	}
	if _, err := DecodeTime([]byte{1, 2}); err == nil {
		t.Error("a short body was decoded")
	}
}

// Guards against changes of the messages of a hot restart, and of the paths of the socket and the lock file, which two versions share.
func TestGoldenMessages(t *testing.T) {
	l, err := Listen(filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.DialUnix("unixpacket", nil, l.listener.Addr().(*net.UnixAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	link, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	var packets [][]byte
	kinds := []Kind{Hello, Sockets, Ready, Snapshot, Proceed, Client, LargeValue, Event, Order}
	for i, kind := range kinds {
		if err := link.Send(kind, []byte{Version, byte(i)}, time.Minute); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 64)
		n, err := raw.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		packets = append(packets, b[:n])
	}
	path := SocketPath("/folder", "a/name")
	packets = append(packets, []byte(path), []byte(NewLock("/folder", "a/name").path))
	stored := bytes.Split(golden.Check(t, "messages.bin", bytes.Join(packets, []byte{'\n'})), []byte{'\n'})
	for i, kind := range kinds {
		if _, err := raw.Write(stored[i]); err != nil {
			t.Fatal(err)
		}
		m, err := link.Expect(kind, 0, time.Minute)
		if err != nil || !bytes.Equal(m.Body, []byte{Version, byte(i)}) {
			t.Errorf("message %d: got body %q, error %v", i, m.Body, err)
		}
	}
}
