package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds on what is read from a socket. The codec itself knows none: it would wait for a value of
// any announced size, and a negative length in a command makes it panic.
const (
	maxValue    = 64 << 10
	maxElements = 16
	maxDepth    = 4
	maxLine     = 1 << 10
	maxFrame    = maxElements*maxLine + 2*maxValue
	readSize    = 4 << 10
)

var errOversized = errors.New("value over 64 KiB")

// frame returns the length of the RESP value that b starts with, 0 if it is not whole yet, or what
// is wrong with it. Lengths are checked before the bytes that they announce have come.
func frame(b []byte) (int, error) { return frameAt(b, 0) }

func frameAt(b []byte, depth int) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(b) > maxLine {
			return 0, errors.New("line too long")
		}
		// An unknown type is told at once: its line may never end.
		if strings.IndexByte("*$+-:", b[0]) < 0 {
			return 0, fmt.Errorf("unknown type %q", b[0])
		}
		return 0, nil
	}
	if end > maxLine {
		return 0, errors.New("line too long")
	}
	if end < 2 || b[end-1] != '\r' {
		return 0, errors.New("malformed line")
	}
	line, n := b[1:end-1], end+1
	switch b[0] {
	case '+', '-':
		return n, nil
	case ':':
		if _, err := strconv.ParseInt(string(line), 10, 64); err != nil {
			return 0, errors.New("malformed number")
		}
		return n, nil
	case '$':
		size, err := strconv.Atoi(string(line))
		switch {
		case err != nil || size < -1:
			return 0, errors.New("invalid length")
		case size > maxValue:
			return 0, errOversized
		case size == -1:
			return n, nil
		case len(b) < n+size+2:
			return 0, nil
		case b[n+size] != '\r' || b[n+size+1] != '\n':
			return 0, errors.New("value and length differ")
		}
		return n + size + 2, nil
	case '*':
		count, err := strconv.Atoi(string(line))
		switch {
		case err != nil || count < 0 || count > maxElements:
			return 0, errors.New("invalid number of elements")
		case depth == maxDepth:
			return 0, errors.New("nested too deep")
		}
		for range count {
			m, err := frameAt(b[n:], depth+1)
			if m == 0 || err != nil {
				return 0, err
			}
			n += m
		}
		return n, nil
	}
	return 0, fmt.Errorf("unknown type %q", b[0])
}

// buffer gathers what is read from one connection.
type buffer struct{ b []byte }

// room returns the space to read into.
func (f *buffer) room() []byte {
	if cap(f.b)-len(f.b) < readSize/2 {
		f.b = append(make([]byte, 0, max(readSize, 2*len(f.b)+readSize/2)), f.b...)
	}
	return f.b[len(f.b):cap(f.b)]
}

func (f *buffer) grew(n int) { f.b = f.b[:len(f.b)+n] }

// drop forgets the first n bytes, and lets go of a buffer that one large value blew up.
func (f *buffer) drop(n int) {
	rest := f.b[n:]
	if len(rest) == 0 && cap(f.b) > 4*readSize {
		f.b = nil
		return
	}
	f.b = f.b[:copy(f.b, rest)]
}
