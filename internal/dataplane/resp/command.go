package resp

import (
	"errors"
	"fmt"
)

// ParseCommand splits the command that b, which is not empty, starts with: an array of bulk strings. It returns the length of the command in
// bytes, 0 while it is incomplete, or what is wrong with it. The arguments alias b and are appended to args.
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

// parseArgument reads the bulk string that stands at b[at:], which is not empty. It returns its value and its length with the header, 0
// while it is incomplete.
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
