package discovery

import "bytes"

// objectSplitter splits a watch into tokens: JSON objects, which may span several lines, and the empty lines between them, each an empty
// token. Text that does not begin with { is one token up to the end of its line.
type objectSplitter struct {
	scanned  int // scanned bytes at the start of the data; the fields below describe the state after them
	depth    int // number of open braces and brackets
	inString bool
	escaped  bool // the last byte was a backslash in a string
}

// split is a bufio.SplitFunc.
func (s *objectSplitter) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if s.scanned == 0 {
		start := 0
		for start < len(data) && (data[start] == ' ' || data[start] == '\t' || data[start] == '\r') {
			start++
		}
		switch {
		case start == len(data):
			return start, nil, nil
		case data[start] == '\n':
			return start + 1, data[:0], nil
		case start > 0:
			return start, nil, nil
		case data[0] != '{':
			return splitLine(data, atEOF)
		}
	}
	for ; s.scanned < len(data); s.scanned++ {
		if !s.closes(data[s.scanned]) {
			continue
		}
		end := s.scanned + 1
		if end < len(data) && data[end] == '\n' { // the line end of the object is not an empty line
			end++
		}
		*s = objectSplitter{}
		return end, bytes.TrimSuffix(data[:end], []byte{'\n'}), nil
	}
	if atEOF && len(data) > 0 { // a truncated object; the caller fails to decode it
		return len(data), data, nil
	}
	return 0, nil, nil
}

// closes advances the state by the next byte of an object and reports whether this byte ends the object.
func (s *objectSplitter) closes(c byte) bool {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped, s.inString = c == '\\', c != '"'
	case c == '"':
		s.inString = true
	case c == '{', c == '[':
		s.depth++
	case c == '}', c == ']':
		s.depth--
		return s.depth == 0
	}
	return false
}

func splitLine(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF {
		return len(data), data, nil
	}
	return 0, nil, nil
}
