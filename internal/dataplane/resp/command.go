package resp

import (
	"errors"
	"fmt"
)

// ParseCommand parses the command at the start of b, an array of bulk strings. It appends the arguments, which alias b, to args and returns
// the length of the command in bytes, 0 while the command is incomplete, or an error for a malformed command. b must not be empty.
func ParseCommand(b []byte, args [][]byte) ([][]byte, int, error) {
	if b[0] != '*' {
		return nil, 0, fmt.Errorf("expected '*', got %q", b[0])
	}
	array, err := ParseHeader(b)
	switch {
	case errors.Is(err, ErrLength) || array.Null || array.Length > MaxElements:
		return nil, 0, ErrElementCount
	case err != nil || array.Size == 0:
		return nil, 0, err
	}
	n := array.Size
	for range array.Length {
		if n == len(b) {
			return nil, 0, nil
		}
		arg, size, err := parseArgument(b, n)
		if err != nil || size == 0 {
			return nil, 0, err
		}
		args = append(args, arg)
		n += size
	}
	return args, n, nil
}

// parseArgument parses the bulk string at b[at:], which must not be empty. It returns the value, and the size of header, value and line end
// in bytes, 0 while the bulk string is incomplete.
func parseArgument(b []byte, at int) (value []byte, size int, err error) {
	if b[at] != '$' {
		return nil, 0, fmt.Errorf("expected '$', got %q", b[at])
	}
	bulk, err := ParseHeader(b[at:])
	start := at + bulk.Size
	end := start + bulk.Length
	switch {
	case err != nil:
		return nil, 0, err
	case bulk.Null:
		return nil, 0, ErrLength
	case bulk.Length > MaxValueBytes || end > MaxFrameBytes:
		return nil, 0, ErrOversized
	case bulk.Size == 0 || len(b) < end+2:
		return nil, 0, nil
	case b[end] != '\r' || b[end+1] != '\n':
		return nil, 0, ErrLengthMismatch
	}
	return b[start:end:end], end + 2 - at, nil
}
