package callprotocol

import (
	"errors"
	"fmt"
)

// CallError says why a client's command is malformed. Its text is sent to the client unchanged.
type CallError struct{ text string }

func (e *CallError) Error() string { return e.text }

func callErrorf(format string, args ...any) error {
	return &CallError{fmt.Sprintf(format, args...)}
}

// Reasons why a backend's reply can't be used.
var (
	ErrNoValue  = errors.New("no value")
	ErrNotReply = errors.New("not a reply")
)
