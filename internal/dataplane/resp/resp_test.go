package resp

import (
	"errors"
	"strings"
	"testing"
)

func TestParseHeader(t *testing.T) {
	for _, tc := range []struct {
		text string
		want Header
		err  error
	}{
		{"*3\r\n", Header{Length: 3, Size: 4}, nil},
		{"$0\r\nrest", Header{Size: 4}, nil},
		{"$-1\r\n", Header{Null: true, Size: 5}, nil},
		{"$12", Header{}, nil},
		{"$12\r", Header{}, nil},
		{"$", Header{}, nil},
		{"$01\r\n", Header{}, ErrLength},
		{"$-2\r\n", Header{}, ErrLength},
		{"$-\r\n", Header{}, ErrLength},
		{"$\r\n", Header{}, ErrLength},
		{"$1x", Header{}, ErrLength},
		{"$1\n", Header{}, ErrMalformedLine},
		{"$" + strings.Repeat("1", maxHeaderBytes), Header{}, ErrLineTooLong},
	} {
		if got, err := ParseHeader([]byte(tc.text)); got != tc.want || !errors.Is(err, tc.err) {
			t.Errorf("ParseHeader(%q) = %+v, %v, want %+v, %v", tc.text, got, err, tc.want, tc.err)
		}
	}
}

func TestReplyLen(t *testing.T) {
	for _, tc := range []struct {
		text string
		want int
		err  error
	}{
		{"", 0, nil},
		{"+OK\r\nrest", 5, nil},
		{":12\r\n", 5, nil},
		{":-\r\n", 0, ErrNumber},
		{"$3\r\nabc\r\n", 9, nil},
		{"$3\r\nabc", 0, nil},
		{"$3\r\nabcd\r\n", 0, ErrLengthMismatch},
		{"$-1\r\n", 5, nil},
		{"$65537\r\n", 0, ErrOversized},
		{"*2\r\n$1\r\na\r\n:1\r\n", 15, nil},
		{"*2\r\n$1\r\na\r\n", 0, nil},
		{"*-1\r\n", 0, ErrElementCount},
		{"*17\r\n", 0, ErrElementCount},
		{strings.Repeat("*1\r\n", maxDepth+1), 0, ErrTooDeep},
		{"+" + strings.Repeat("x", maxLineBytes), 0, ErrLineTooLong},
	} {
		if got, err := ReplyLen([]byte(tc.text)); got != tc.want || !errors.Is(err, tc.err) {
			t.Errorf("ReplyLen(%.40q) = %d, %v, want %d, %v", tc.text, got, err, tc.want, tc.err)
		}
	}
}

func TestParseLargeReply(t *testing.T) {
	const maxBytes = 1 << 20
	for text, want := range map[string]LargeReply{
		"*3\r\n$65537\r\nabc":   {ValueAt: 12, ValueSize: 65537, Elements: 3},
		"*3\r\n$65536\r\nabc":   {},
		"*3\r\n$1048577\r\nabc": {},
		"*3\r\n$655":            {},
		"*0\r\n$65537\r\n":      {},
		"$65537\r\n":            {},
		"*3\r\n":                {},
		"":                      {},
	} {
		if got, ok := ParseLargeReply([]byte(text), maxBytes); got != want || ok != (want != LargeReply{}) {
			t.Errorf("ParseLargeReply(%q) = %+v, %v, want %+v", text, got, ok, want)
		}
	}
}
