package resp

import "fmt"

// ReplyLen is the length in bytes of the reply that b starts with, 0 while it is incomplete, or what is wrong with it.
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
	return 0, fmt.Errorf("unknown type %q", b[0]) // at once: its line may never end
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

// LargeReply is the start of a reply whose first element is a bulk string above MaxValueBytes.
type LargeReply struct {
	ValueAt   int // offset of the value's first byte
	ValueSize int // bytes
	Elements  int // of the reply, the value among them
}

// ParseLargeReply reads the start of a reply. ok is false for any reply without a large value, and while too little of it has come.
// A value above maxBytes is not large but wrong, which ReplyLen reports.
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
