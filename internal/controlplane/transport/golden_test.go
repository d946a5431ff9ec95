package transport

import (
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"eiderspread/internal/testbed/golden"
)

// Guards the wire format between forwarders and planners: the stored frame has a record of every kind with all fields set, and the records
// that peers of earlier versions ignore.
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
	header := make([]byte, 4)
	if _, err := io.ReadFull(far, header); err != nil {
		t.Fatal(err)
	}
	body := make([]byte, int(header[2])<<8|int(header[3]))
	if _, err := io.ReadFull(far, body); err != nil {
		t.Fatal(err)
	}
	stored := golden.Check(t, "frame.bin", append(header, body...))
	got, err := ParseFrame(stored[4:])
	if err != nil || len(got) != len(msgs) {
		t.Fatalf("decoded %d records (error %v), want %d", len(got), err, len(msgs))
	}
	for i, msg := range got {
		read, sent := reflect.ValueOf(msg), reflect.ValueOf(msgs[i])
		for f := range read.NumField() {
			if !read.Field(f).IsZero() && !reflect.DeepEqual(read.Field(f).Interface(), sent.Field(f).Interface()) {
				t.Errorf("record %d: field %s is decoded as %v, want %v", i, read.Type().Field(f).Name, read.Field(f), sent.Field(f))
			}
		}
	}
	var encoded []byte
	for i := range got {
		encoded = AppendMessage(encoded, &got[i])
	}
	golden.Same(t, "records encoded again", encoded, stored[4:])
}
