package transport

import (
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"eiderspread/internal/testbed/golden"
)

// Guards the bytes between forwarders and planners: a frame with a record of every kind, each field set, and the records that peers of versions
// before ignore.
func TestGoldenFrame(t *testing.T) {
	var all Message
	golden.Fill(&all)
	all.DurationS, all.Units = 1.25, 2.5
	var msgs []Message
	for kind := KindHello; kind < kindCount; kind++ {
		msg := all
		msg.Kind = kind
		msgs = append(msgs, msg)
	}
	msgs = append(msgs, Message{Kind: KindDisconnected, Handle: CordonCapableHandle}, Message{Kind: KindRelease, Cell: CordonCapableCell}, NewShedLevel(3, 0.6, 200))
	near, far := net.Pipe()
	defer far.Close()
	conn := NewConn(near, time.Minute)
	defer conn.Close(nil)
	conn.Send(msgs...)
	head := make([]byte, 4)
	if _, err := io.ReadFull(far, head); err != nil {
		t.Fatal(err)
	}
	body := make([]byte, int(head[2])<<8|int(head[3]))
	if _, err := io.ReadFull(far, body); err != nil {
		t.Fatal(err)
	}
	stored := golden.Check(t, "frame.bin", append(head, body...))
	got, err := ParseFrame(stored[4:])
	if err != nil || len(got) != len(msgs) {
		t.Fatalf("%d records are read, %v", len(got), err)
	}
	for i, msg := range got {
		read, sent := reflect.ValueOf(msg), reflect.ValueOf(msgs[i])
		for f := range read.NumField() {
			if !read.Field(f).IsZero() && !reflect.DeepEqual(read.Field(f).Interface(), sent.Field(f).Interface()) {
				t.Errorf("record %d: %s is read as %v, want %v", i, read.Type().Field(f).Name, read.Field(f), sent.Field(f))
			}
		}
	}
	var again []byte
	for i := range got {
		again = AppendMessage(again, &got[i])
	}
	golden.Same(t, "records written again", again, stored[4:])
}
