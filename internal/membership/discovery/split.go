package discovery

import "bytes"

// objectSplitter cuts a watch into what it says: each object, however many lines it takes, and each empty line between two as an empty
// token, which tells that the agent is there. What begins with anything else is cut at its line's end, and is no object.
type objectSplitter struct {
	scanned  int // bytes of the object at the start that were looked at; the rest of its state is as of there
	depth    int
	inString bool
	escaped  bool
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
			if end := bytes.IndexByte(data, '\n'); end >= 0 {
				return end + 1, data[:end], nil
			}
			if atEOF {
				return len(data), data, nil
			}
			return 0, nil, nil
		}
	}
	for ; s.scanned < len(data); s.scanned++ {
		switch c := data[s.scanned]; {
		case s.escaped:
			s.escaped = false
		case s.inString:
			s.escaped, s.inString = c == '\\', c != '"'
		case c == '"':
			s.inString = true
		case c == '{', c == '[':
			s.depth++
		case c == '}', c == ']':
			if s.depth--; s.depth == 0 {
				end := s.scanned + 1
				if end < len(data) && data[end] == '\n' { // its own line's end is no empty line
					end++
				}
				*s = objectSplitter{}
				return end, bytes.TrimSuffix(data[:end], []byte{'\n'}), nil
			}
		}
	}
	if atEOF && len(data) > 0 { // cut off: the error is the reader's to say
		return len(data), data, nil
	}
	return 0, nil, nil
}
