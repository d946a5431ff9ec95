package resp

import (
	"bytes"
	"testing"

	"github.com/tidwall/redcon"
)

// FuzzParseCommand guards the readers of clients, in which a panic would end the process: any input is a complete,
// incomplete or malformed command, and the redcon codec parses a complete command to the same arguments.
func FuzzParseCommand(f *testing.F) {
	const call = "*4\r\n$8\r\nCALL.GET\r\n$16\r\n00000000b4d65521\r\n$1\r\na\r\n$48\r\nc=look,t=basic,d=600000,units=2,spread=2,first=1\r\n"
	for _, seed := range []string{call, "*1\r\n$4\r\nPING\r\n", "*2\r\n$-1\r\n$1\r\na\r\n", "*1\r\n$+1\r\na\r\n",
		"*2\r\n+OK\r\n:1\r\n", "*1\r\n$-2\r\nab\r\n", "*-1\r\n", "*0\r\n", "*1\r\n$60000000\r\n", "$1\r\na\r\n", "*1\r\n$01\r\na\r\n",
		"*1\r\n$1\nab\r\n", "*\r\n", "*1\r\n$\r\n", "*1\r\n$1\r\nabc", "PING\r\n", "*1\r\n*1\r\n$1\r\na\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		args, n, err := ParseCommand(b, nil)
		if n < 0 || n > len(b) || n > 0 && err != nil {
			t.Fatalf("ParseCommand(%q) = %d, %v, want 0 to %d, and 0 with an error", b, n, err, len(b))
		}
		if n == 0 {
			return
		}
		complete, codec, _, rest, err := redcon.ReadNextCommand(b[:n], nil)
		if !complete || err != nil || len(rest) != 0 || len(codec) != len(args) {
			t.Fatalf("redcon parses %q, error %v, from %q; want one complete command of %d arguments", codec, err, b[:n], len(args))
		}
		for i := range args {
			if !bytes.Equal(args[i], codec[i]) {
				t.Fatalf("argument %d is %q, redcon parses %q", i, args[i], codec[i])
			}
		}
		if _, m, err := ParseCommand(b[:n-1], nil); m != 0 || err != nil {
			t.Fatalf("without its last byte the command gives %d, %v, want 0 (incomplete) and no error", m, err)
		}
	})
}
