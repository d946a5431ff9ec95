package callprotocol

import (
	"errors"
	"fmt"
)

// CallError is why a client's command was rejected as malformed. Its text goes to the client as it stands.
type CallError struct{ text string }

func (e *CallError) Error() string { return e.text }

func callErrorf(format string, args ...any) error {
	return &CallError{fmt.Sprintf(format, args...)}
}

// Why a reply can't be used.
var (
	ErrNoValue  = errors.New("no value")
	ErrNotReply = errors.New("not a reply")
)
