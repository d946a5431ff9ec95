package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
)

// Bounds on what is read from a socket. The codec itself knows none: it would wait for a value of
// any announced size.
const (
	maxValueBytes  = 64 << 10
	maxElements    = 16
	maxDepth       = 4
	maxLine        = 1 << 10                   // of text
	maxHeader      = 16                        // of a type and a length
	maxFrameBytes  = maxValueBytes + 8*maxLine // one value, and what stands beside it
	readBufferSize = 4 << 10
)

var (
	errOversized      = errors.New("value over 64 KiB")
	errLength         = errors.New("invalid length")
	errCount          = errors.New("invalid number of elements")
	errMalformed      = errors.New("malformed line")
	errLongLine       = errors.New("line too long")
	errInputBudget    = errors.New("no room for more input")
	errLengthMismatch = errors.New("value and length differ")
)

// parseHeader reads the line that b starts with: a type and a length, in digits alone. n is what it takes,
// 0 if it is not whole yet. A length of -1 is told by null.
func parseHeader(b []byte) (length, n int, null bool, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxHeader)], '\n')
	line := b[1:min(len(b), maxHeader)]
	if end >= 0 {
		if end < 2 || b[end-1] != '\r' {
			return 0, 0, false, errMalformed
		}
		line = b[1 : end-1]
	} else if len(b) >= maxHeader {
		return 0, 0, false, errLongLine
	}
	for i, c := range line {
		switch {
		case i == 0 && c == '-':
			null = true
		case null && i == 1 && c == '1':
		case !null && c >= '0' && c <= '9' && (i == 0 || line[0] != '0'):
			length = length*10 + int(c-'0') // of 14 digits at most
		case end < 0 && c == '\r' && i == len(line)-1:
		default:
			return 0, 0, false, errLength
		}
	}
	switch {
	case end < 0:
		return 0, 0, false, nil
	case len(line) == 0, null && len(line) == 1:
		return 0, 0, false, errLength
	}
	return length, end + 1, null, nil
}

// parseCommand splits the command that b, which is not empty, starts with: an array of bulk strings.
// It returns its length, 0 if it is not whole yet, or what is wrong with it. Lengths are checked before
// the bytes that they announce have come. The arguments lie in b and are appended to args.
func parseCommand(b []byte, args [][]byte) ([][]byte, int, error) {
	if b[0] != '*' {
		return nil, 0, fmt.Errorf("expected '*', got %q", b[0])
	}
	count, n, null, err := parseHeader(b)
	switch {
	case err == errLength || null || count > maxElements:
		return nil, 0, errCount
	case err != nil || n == 0:
		return nil, 0, err
	}
	for range count {
		if n == len(b) {
			return nil, 0, nil
		}
		if b[n] != '$' {
			return nil, 0, fmt.Errorf("expected '$', got %q", b[n])
		}
		size, m, null, err := parseHeader(b[n:])
		switch {
		case err != nil:
			return nil, 0, err
		case null:
			return nil, 0, errLength
		case size > maxValueBytes || n+m+size > maxFrameBytes:
			return nil, 0, errOversized
		case m == 0 || len(b) < n+m+size+2:
			return nil, 0, nil
		case b[n+m+size] != '\r' || b[n+m+size+1] != '\n':
			return nil, 0, errLengthMismatch
		}
		n += m
		args = append(args, b[n:n+size:n+size])
		n += size + 2
	}
	return args, n, nil
}

// frameLen returns the length of the reply that b starts with, 0 if it is not whole yet, or what is wrong
// with it.
func frameLen(b []byte) (int, error) { return frameLenAt(b, 0) }

func frameLenAt(b []byte, depth int) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	switch b[0] {
	case '+', '-', ':':
		return lineLen(b)
	case '$':
		size, n, null, err := parseHeader(b)
		switch {
		case err != nil || n == 0:
			return 0, err
		case size > maxValueBytes:
			return 0, errOversized
		case null:
			return n, nil
		case len(b) < n+size+2:
			return 0, nil
		case b[n+size] != '\r' || b[n+size+1] != '\n':
			return 0, errLengthMismatch
		}
		return n + size + 2, nil
	case '*':
		count, n, null, err := parseHeader(b)
		switch {
		case err != nil || n == 0:
			return 0, err
		case null || count > maxElements:
			return 0, errCount
		case depth == maxDepth:
			return 0, errors.New("nested too deep")
		}
		for range count {
			m, err := frameLenAt(b[n:], depth+1)
			if m == 0 || err != nil {
				return 0, err
			}
			n += m
		}
		return n, nil
	}
	return 0, fmt.Errorf("unknown type %q", b[0]) // told at once: its line may never end
}

// lineLen is frame for a line of text or a number.
func lineLen(b []byte) (int, error) {
	end := bytes.IndexByte(b[:min(len(b), maxLine+1)], '\n')
	switch {
	case end < 0 && len(b) > maxLine:
		return 0, errLongLine
	case end < 0:
		return 0, nil
	case end < 2 || b[end-1] != '\r':
		return 0, errMalformed
	}
	if b[0] == ':' {
		if _, err := strconv.ParseInt(string(b[1:end-1]), 10, 64); err != nil {
			return 0, errors.New("malformed number")
		}
	}
	return end + 1, nil
}

// byteBudget bounds the bytes that readers and the loop hold for others, beyond a first buffer a connection.
type byteBudget struct{ available atomic.Int64 }

func (b *byteBudget) reserve(n int) bool {
	if b.available.Add(-int64(n)) < 0 {
		b.available.Add(int64(n))
		return false
	}
	return true
}

func (b *byteBudget) release(n int) { b.available.Add(int64(n)) }

// readBuffer gathers what is read from one connection. The first readBufferSize bytes are its own, what it
// grows beyond them comes from the budget.
type readBuffer struct {
	data     []byte
	budget   *byteBudget
	reserved int
}

// space returns the space to read into, nil if there is none left for it.
func (f *readBuffer) space() []byte {
	if cap(f.data)-len(f.data) < readBufferSize/2 {
		size := max(readBufferSize, 2*len(f.data)+readBufferSize/2)
		if more := size - readBufferSize - f.reserved; more > 0 {
			if !f.budget.reserve(more) {
				return nil
			}
			f.reserved += more
		}
		f.data = append(make([]byte, 0, size), f.data...)
	}
	return f.data[len(f.data):cap(f.data)]
}

func (f *readBuffer) advance(n int) { f.data = f.data[:len(f.data)+n] }

// discard forgets the first n bytes, and lets go of a buffer that one large value blew up.
func (f *readBuffer) discard(n int) {
	rest := f.data[n:]
	if len(rest) == 0 && cap(f.data) > readBufferSize {
		f.release()
		return
	}
	f.data = f.data[:copy(f.data, rest)]
}

// release lets go of all.
func (f *readBuffer) release() {
	f.budget.release(f.reserved)
	f.data, f.reserved = nil, 0
}
