package resp

import "fmt"

// ReplyLen returns the length in bytes of the reply at the start of b, 0 while the reply is incomplete, or an error for a malformed reply.
func ReplyLen(b []byte) (int, error) { return replyLen(b, 0) }

func replyLen(b []byte, depth int) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	switch b[0] {
	case '+', '-', ':':
		return lineLen(b)
	case '$':
		return bulkLen(b)
	case '*':
		return arrayLen(b, depth)
	}
	return 0, fmt.Errorf("unknown type %q", b[0]) // without waiting for the end of the line, which may never come
}

func bulkLen(b []byte) (int, error) {
	h, err := ParseHeader(b)
	end := h.Size + h.Length
	switch {
	case err != nil || h.Size == 0:
		return 0, err
	case h.Length > MaxValueBytes:
		return 0, ErrOversized
	case h.Null:
		return h.Size, nil
	case len(b) < end+2:
		return 0, nil
	case b[end] != '\r' || b[end+1] != '\n':
		return 0, ErrLengthMismatch
	}
	return end + 2, nil
}

func arrayLen(b []byte, depth int) (int, error) {
	h, err := ParseHeader(b)
	switch {
	case err != nil || h.Size == 0:
		return 0, err
	case h.Null || h.Length > MaxElements:
		return 0, ErrElementCount
	case depth == maxDepth:
		return 0, ErrTooDeep
	}
	n := h.Size
	for range h.Length {
		m, err := replyLen(b[n:], depth+1)
		if m == 0 || err != nil {
			return 0, err
		}
		n += m
	}
	return n, nil
}

// LargeReply describes a reply whose first element is a bulk string longer than MaxValueBytes.
type LargeReply struct {
	ValueAt   int // offset of the value's first byte
	ValueSize int // bytes
	Elements  int // number of elements of the reply, including the value
}

// ParseLargeReply parses the header of the reply at the start of b and the header of its first element. ok is false if the first element is
// not a large value, and while either header is incomplete. A value over maxBytes does not count as large: ReplyLen rejects it with
// ErrOversized.
func ParseLargeReply(b []byte, maxBytes int) (r LargeReply, ok bool) {
	if len(b) == 0 || b[0] != '*' {
		return LargeReply{}, false
	}
	array, err := ParseHeader(b)
	n := array.Size
	if err != nil || n == 0 || array.Null || array.Length < 1 || array.Length > MaxElements || n == len(b) || b[n] != '$' {
		return LargeReply{}, false
	}
	bulk, err := ParseHeader(b[n:])
	if err != nil || bulk.Size == 0 || bulk.Null || bulk.Length <= MaxValueBytes || bulk.Length > maxBytes {
		return LargeReply{}, false
	}
	return LargeReply{ValueAt: n + bulk.Size, ValueSize: bulk.Length, Elements: array.Length}, true
}
