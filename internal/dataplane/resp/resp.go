// Package resp frames the RESP2 messages of clients and backends: it finds where a command or a reply ends, and bounds what may come,
// before the bytes that a length announces have been read. It keeps no state; buffers are the caller's.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds on one message. The underlying codec has none: it would wait for a value of any announced size.
const (
	// MaxValueBytes bounds a bulk string, but for the first of a large reply, see ParseLargeReply.
	MaxValueBytes = 64 << 10
	// MaxElements bounds an array.
	MaxElements = 16
	// MaxFrameBytes bounds a whole message: one value, and what stands beside it.
	MaxFrameBytes = MaxValueBytes + 8*maxLineBytes

	maxDepth       = 4       // arrays in arrays
	maxLineBytes   = 1 << 10 // a line of text or a number
	maxHeaderBytes = 16      // a type, a length and the end of the line
)

// What can be wrong with a message. Texts go to clients as they stand.
var (
	ErrOversized      = errors.New("value over 64 KiB")
	ErrLength         = errors.New("invalid length")
	ErrElementCount   = errors.New("invalid number of elements")
	ErrMalformedLine  = errors.New("malformed line")
	ErrLineTooLong    = errors.New("line too long")
	ErrLengthMismatch = errors.New("value and length differ")
	ErrTooDeep        = errors.New("nested too deep")
	ErrNumber         = errors.New("malformed number")
)

// Header is the first line of a bulk string or an array.
type Header struct {
	Length int  // of the value in bytes, or of the array in elements
	Null   bool // a length of -1
	Size   int  // bytes of the line with its end; 0: the line is incomplete, and nothing else is known
}

// ParseHeader reads the line that b, which is not empty, starts with: a type and a length, in digits alone. What can't become a header any
// more is an error, also while the line is incomplete.
func ParseHeader(b []byte) (Header, error) {
	text, size, err := headerText(b)
	if err != nil {
		return Header{}, err
	}
	length, null, err := parseLength(text, size > 0)
	switch {
	case err != nil:
		return Header{}, err
	case size == 0:
		return Header{}, nil
	case len(text) == 0, null && len(text) == 1:
		return Header{}, ErrLength
	}
	return Header{Length: length, Null: null, Size: size}, nil
}

// headerText returns what stands between the type and the end of a header's line, and the line's bytes with its end; 0: it is incomplete.
func headerText(b []byte) (text []byte, size int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxHeaderBytes)], '\n')
	switch {
	case end < 0 && len(b) >= maxHeaderBytes:
		return nil, 0, ErrLineTooLong
	case end < 0:
		return b[1:], 0, nil
	case end < 2 || b[end-1] != '\r':
		return nil, 0, ErrMalformedLine
	}
	return b[1 : end-1], end + 1, nil
}

// parseLength reads a length: digits without a leading 0, or -1 for null. The text of an incomplete line may be the beginning of one, and may
// end in a carriage return.
func parseLength(text []byte, complete bool) (length int, null bool, err error) {
	for i, c := range text {
		switch {
		case i == 0 && c == '-':
			null = true
		case null && i == 1 && c == '1':
		case !null && c >= '0' && c <= '9' && (i == 0 || text[0] != '0'):
			length = length*10 + int(c-'0') // of 14 digits at most
		case !complete && c == '\r' && i == len(text)-1:
		default:
			return 0, false, ErrLength
		}
	}
	return length, null, nil
}

// lineLen is the length of the line of text or the number that b starts with; 0: it is incomplete.
func lineLen(b []byte) (int, error) {
	end := bytes.IndexByte(b[:min(len(b), maxLineBytes+1)], '\n')
	switch {
	case end < 0 && len(b) > maxLineBytes:
		return 0, ErrLineTooLong
	case end < 0:
		return 0, nil
	case end < 2 || b[end-1] != '\r':
		return 0, ErrMalformedLine
	}
	if b[0] == ':' {
		if _, err := strconv.ParseInt(string(b[1:end-1]), 10, 64); err != nil {
			return 0, ErrNumber
		}
	}
	return end + 1, nil
}
