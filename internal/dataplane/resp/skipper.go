package resp

import "fmt"

// CommandSkipper finds the end of a command without keeping it. Its zero value is at the start of a command.
type CommandSkipper struct {
	started bool // the header of the array has been skipped
	args    int  // arguments whose headers are still to come
	rest    int  // bytes of the current argument, with its line end, that are still to come
}

// Skip skips bytes of the command, and returns how many of b belong to it and are no longer needed, and whether it has ended with them.
// The caller passes the other bytes again, with those that follow. An error is that of a malformed command.
func (s *CommandSkipper) Skip(b []byte) (n int, done bool, err error) {
	for {
		skipped := min(s.rest, len(b)-n)
		n, s.rest = n+skipped, s.rest-skipped
		switch {
		case s.rest == 0 && s.started && s.args == 0:
			return n, true, nil
		case n == len(b):
			return n, false, nil
		}
		size, err := s.skipHeader(b[n:])
		if size == 0 || err != nil {
			return n, false, err
		}
		n += size
	}
}

// skipHeader parses the header at the start of b, which must not be empty, and returns its size in bytes, 0 while it is incomplete.
func (s *CommandSkipper) skipHeader(b []byte) (int, error) {
	kind := byte('$')
	if !s.started {
		kind = '*'
	}
	if b[0] != kind {
		return 0, fmt.Errorf("expected %q, got %q", kind, b[0])
	}
	h, err := ParseHeader(b)
	switch {
	case err != nil || h.Size == 0:
		return 0, err
	case h.Null, !s.started && h.Length > MaxElements:
		return 0, ErrElementCount
	case !s.started:
		s.started, s.args = true, h.Length
	case h.Length > MaxValueBytes:
		return 0, ErrOversized
	default:
		s.args, s.rest = s.args-1, h.Length+len("\r\n")
	}
	return h.Size, nil
}
