package sockets

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"
)

// Guards against a connection that is closed over bytes that its reader has taken from the socket: until the reader calls Read again and
// finds nothing, it does not count as waiting.
func TestReader_WaitsOnlyWithNothingInHand(t *testing.T) {
	near, far, raw := tcpPair(t)
	r := NewReader(raw, nil)
	if r.Waiting() {
		t.Error("a reader counts as waiting before its first Read")
	}
	texts, next, ended := make(chan string), make(chan struct{}), make(chan error, 1)
	go func() {
		b := make([]byte, 8)
		for {
			n, err := r.Read(b)
			if err != nil {
				ended <- err
				return
			}
			texts <- string(b[:n])
			<-next // as if it processed them
		}
	}()
	waitFor(t, "the reader waits", r.Waiting)
	if _, err := far.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	if got := <-texts; got != "abc" || r.Waiting() || !OpenAndSilent(raw) {
		t.Errorf("read %q, waiting %t, socket empty %t; want abc, false, true", got, r.Waiting(), OpenAndSilent(raw))
	}
	next <- struct{}{}
	waitFor(t, "the reader waits again", r.Waiting)
	if err := near.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Read at the deadline: got %v, want %v", err, os.ErrDeadlineExceeded)
	}
	if err := near.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	far.Close()
	if n, err := r.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("Read after the peer's close: got %d, %v, want 0, %v", n, err, io.EOF)
	}
}
