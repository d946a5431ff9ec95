package ingress

import (
	"time"

	"eiderspread/internal/dataplane/inputbuffer"
)

// spaceTimeout is how long a reader waits for memory before its input counts as too much. It is short, as readers that hold parts of
// messages may be waiting for each other. Tests change it.
var spaceTimeout = 500 * time.Millisecond

// spacePollInterval is the interval at which a reader looks for memory. Other connections mostly release theirs within milliseconds.
const spacePollInterval = 5 * time.Millisecond

// awaitSpace returns the free space of a buffer. If the input budget is exhausted it waits, which holds the peer back, until memory is
// released. It returns nil once spaceTimeout has passed or cancelled returns true.
func awaitSpace(input *inputbuffer.Buffer, cancelled func() bool) []byte {
	space := input.Space()
	if space != nil {
		return space
	}
	poll := time.NewTicker(spacePollInterval)
	defer poll.Stop()
	for end := time.Now().Add(spaceTimeout); space == nil && time.Now().Before(end) && !cancelled(); <-poll.C {
		space = input.Space()
	}
	return space
}
