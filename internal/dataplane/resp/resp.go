// Package resp frames the RESP2 messages of clients and backends: it finds the end of a command or a reply, and rejects a message that
// exceeds the bounds as soon as its header announces the length, before the announced bytes are read. It keeps no state; buffers belong to
// the caller.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds on one message. The redcon codec has none: it would wait for a value of any announced size.
const (
	// MaxValueBytes bounds the value of a bulk string, except for the first element of a large reply, see ParseLargeReply.
	MaxValueBytes = 64 << 10
	// MaxElements bounds the number of elements of an array.
	MaxElements = 16
	// MaxFrameBytes bounds a whole message: one value of maximum size, with headers and short elements.
	MaxFrameBytes = MaxValueBytes + 8*maxLineBytes

	maxDepth       = 4       // nested arrays
	maxLineBytes   = 1 << 10 // a simple string, an error or an integer
	maxHeaderBytes = 16      // the type, the length and the line end
)

// Errors for malformed messages. Their texts are sent to clients unchanged.
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
	Length int  // bytes of the value, or elements of the array
	Null   bool // whether the length is -1
	Size   int  // bytes of the line with its line end; 0: the line is incomplete, and the other fields are not set
}

// ParseHeader parses the header at the start of b, a type followed by a length in decimal digits. An incomplete line that can't become a
// valid header is an error already. b must not be empty.
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

// headerText returns the text between the type and the line end of a header, and the size in bytes of the line with its line end. A size of
// 0 means that the line is incomplete; the text then holds all that has come of it.
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

// parseLength parses a length: digits without a leading zero, or -1 for null. The text of an incomplete line may also be a prefix of a
// length, or end in a carriage return.
func parseLength(text []byte, complete bool) (length int, null bool, err error) {
	for i, c := range text {
		switch {
		case i == 0 && c == '-':
			null = true
		case null && i == 1 && c == '1':
		case !null && c >= '0' && c <= '9' && (i == 0 || text[0] != '0'):
			length = length*10 + int(c-'0') // no overflow: the text has at most 14 digits
		case !complete && c == '\r' && i == len(text)-1:
		default:
			return 0, false, ErrLength
		}
	}
	return length, null, nil
}

// lineLen returns the size in bytes of the simple string, error or integer at the start of b with its line end; 0 while it is incomplete.
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
