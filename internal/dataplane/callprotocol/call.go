package callprotocol

import (
	"bytes"
	"math"
	"strconv"

	"github.com/tidwall/redcon"

	"eiderspread/policy"
)

// Where the parts of a call stand in Call.Args.
const (
	argCommand = iota
	argAccount
	argID
	argFields
	argBody // of a write

	readArgs  = argBody
	writeArgs = argBody + 1
)

// Bounds on the parts of a call.
const (
	maxIDLen     = 128
	maxFieldsLen = 1 << 10
	accountLen   = 16      // hex digits
	maxAccount   = 1 << 33 // accounts' numbers are below
	maxTimeoutMS = 600_000
	maxUnits     = 1 << 30 // where the settings have no bound
)

var (
	commandRead  = []byte("CALL.GET")
	commandWrite = []byte("CALL.POST")
	commandPing  = []byte("PING")
)

// Command is what a client asks for.
type Command uint8

// The commands that clients may send.
const (
	CommandUnknown Command = iota
	CommandCall
	CommandPing
)

// CommandOf names the command by its first argument, in either case.
func CommandOf(name []byte) Command {
	switch {
	case bytes.EqualFold(name, commandRead), bytes.EqualFold(name, commandWrite):
		return CommandCall
	case bytes.EqualFold(name, commandPing):
		return CommandPing
	}
	return CommandUnknown
}

// Call is a client's request as it was read: what the module has to know of it, and the command to forward.
type Call struct {
	policy.Request              // without its deadline
	Spec           policy.Class // as the class stood when the request came
	TimeoutS       float64      // how long the client waits
	Args           [][]byte     // command, account, id, fields and, in a write, the body; nil once forgotten
	Size           int          // bytes of all arguments

	timeout span // of the timeout's value in the fields
}

// span is a part of a text, by its first byte and the one behind its last.
type span struct{ start, end int }

// Own copies the arguments, which alias a reader's buffer until then.
func (c *Call) Own() {
	b, args := make([]byte, 0, c.Size), make([][]byte, len(c.Args))
	for i, arg := range c.Args {
		n := len(b)
		b = append(b, arg...)
		args[i] = b[n:len(b):len(b)]
	}
	c.Args = args
}

// Forget lets go of the arguments; the call can't be forwarded any more.
func (c *Call) Forget() { c.Args = nil }

// AppendCommand appends the command for a backend: all as it came, but the timeout is what remains of it, in seconds. The least is 1 ms.
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

// AppendProbe appends the command of a health check, which a backend answers with its load report.
func AppendProbe(b []byte) []byte {
	return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load")
}
