package transport

import (
	"errors"
	"testing"
)

// Guards the handshake: a first message of another version or kind is rejected.
func TestParseHello(t *testing.T) {
	want := Hello{Fleet: "f", Cells: 6, Number: 4095, Incarnation: 1<<64 - 1}
	for _, tc := range []struct {
		name   string
		change func(*Message)
		ok     bool
	}{
		{"a hello", func(*Message) {}, true},
		{"another version", func(msg *Message) { msg.Plan++ }, false},
		{"another kind", func(msg *Message) { msg.Kind = KindHeartbeat }, false},
	} {
		msg := want.Message()
		tc.change(&msg)
		got, err := ParseHello(&msg)
		switch {
		case tc.ok && (err != nil || got != want):
			t.Errorf("%s: got %+v, error %v, want %+v", tc.name, got, err, want)
		case !tc.ok && !errors.Is(err, ErrHandshake):
			t.Errorf("%s: got error %v, want ErrHandshake", tc.name, err)
		}
	}
}
