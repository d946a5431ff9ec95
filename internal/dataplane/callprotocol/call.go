package callprotocol

import (
	"bytes"
	"math"
	"strconv"

	"github.com/tidwall/redcon"

	"eiderspread/policy"
)

// Indexes into Call.Args.
const (
	argCommand = iota
	argAccount
	argID
	argFields
	argBody // only in a write

	readArgs  = argBody
	writeArgs = argBody + 1
)

// Bounds on the arguments of a call and on the values of its fields.
const (
	maxIDLen     = 128
	maxFieldsLen = 1 << 10
	accountLen   = 16      // hex digits
	maxAccount   = 1 << 33 // exclusive
	maxTimeoutMS = 600_000
	maxUnits     = 1 << 30 // if the settings give no bound
)

var (
	commandRead  = []byte("CALL.GET")
	commandWrite = []byte("CALL.POST")
	commandPing  = []byte("PING")
)

// Command is the kind of a client's command.
type Command uint8

// The commands that clients may send.
const (
	CommandUnknown Command = iota
	CommandCall
	CommandPing
)

// CommandOf returns the kind of the command whose first argument is name. It ignores case.
func CommandOf(name []byte) Command {
	switch {
	case bytes.EqualFold(name, commandRead), bytes.EqualFold(name, commandWrite):
		return CommandCall
	case bytes.EqualFold(name, commandPing):
		return CommandPing
	}
	return CommandUnknown
}

// Call is a parsed CALL command: the request for the decision module, and the arguments to forward to a backend.
type Call struct {
	policy.Request              // without its deadline
	Spec           policy.Class // the request's class, with the settings in force when the command was parsed
	TimeoutS       float64      // how long the client waits for the answer
	Args           [][]byte     // command, account, id, fields and, in a write, the body; nil after ReleaseArgs
	Size           int          // bytes of all arguments

	timeout byteRange // the value of the timeout in the fields argument
}

// byteRange is the half-open range [start, end) of bytes in a text.
type byteRange struct{ start, end int }

// CopyArgs copies the arguments out of the reader's buffer, which they alias before.
func (c *Call) CopyArgs() {
	b, args := make([]byte, 0, c.Size), make([][]byte, len(c.Args))
	for i, arg := range c.Args {
		n := len(b)
		b = append(b, arg...)
		args[i] = b[n:len(b):len(b)]
	}
	c.Args = args
}

// ReleaseArgs drops the arguments, so that their memory can be freed. The call can't be forwarded afterwards.
func (c *Call) ReleaseArgs() { c.Args = nil }

// AppendCommand appends the command for a backend: the client's arguments unchanged, except that the timeout is replaced by timeoutS, the
// remaining time in seconds. It is rounded up to whole milliseconds, and is at least 1 ms.
func (c *Call) AppendCommand(b []byte, timeoutS float64) []byte {
	fields := c.Args[argFields]
	ms := strconv.AppendInt(make([]byte, 0, 8), max(1, int64(math.Ceil(timeoutS*1000))), 10)
	b = redcon.AppendArray(b, len(c.Args))
	for i, arg := range c.Args {
		if i != argFields {
			b = redcon.AppendBulk(b, arg)
			continue
		}
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(fields)-(c.timeout.end-c.timeout.start)+len(ms)), 10)
		b = append(b, '\r', '\n')
		b = append(b, fields[:c.timeout.start]...)
		b = append(b, ms...)
		b = append(b, fields[c.timeout.end:]...)
		b = append(b, '\r', '\n')
	}
	return b
}

// AppendProbe appends the command of a health check. A backend answers it with its load report.
func AppendProbe(b []byte) []byte {
	return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load")
}
