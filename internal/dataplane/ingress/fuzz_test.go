package ingress

import (
	"bytes"
	"testing"

	"github.com/tidwall/redcon"

	"eiderspread/policy"
)

// FuzzParseCommand guards the readers of clients, in which a panic would end the process: whatever comes,
// a command is whole, unfinished or wrong, and the codec reads the same in what is taken for whole.
func FuzzParseCommand(f *testing.F) {
	for _, seed := range []string{command(lookCommand("a")...), "*1\r\n$4\r\nPING\r\n", "*2\r\n$-1\r\n$1\r\na\r\n", "*1\r\n$+1\r\na\r\n",
		"*2\r\n+OK\r\n:1\r\n", "*1\r\n$-2\r\nab\r\n", "*-1\r\n", "*0\r\n", "*1\r\n$60000000\r\n", "$1\r\na\r\n", "*1\r\n$01\r\na\r\n",
		"*1\r\n$1\nab\r\n", "*\r\n", "*1\r\n$\r\n", "*1\r\n$1\r\nabc", "PING\r\n", "*1\r\n*1\r\n$1\r\na\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		args, n, err := parseCommand(b, nil)
		if n < 0 || n > len(b) || n > 0 && err != nil {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
		if n == 0 {
			return
		}
		whole, codec, _, rest, err := redcon.ReadNextCommand(b[:n], nil)
		if !whole || err != nil || len(rest) != 0 || len(codec) != len(args) {
			t.Fatalf("the codec reads %q, %v in %q", codec, err, b[:n])
		}
		for i := range args {
			if !bytes.Equal(args[i], codec[i]) {
				t.Fatalf("argument %d is %q, the codec reads %q", i, args[i], codec[i])
			}
		}
		if _, m, err := parseCommand(b[:n-1], nil); m != 0 || err != nil {
			t.Fatalf("less its last byte it gives %d, %v", m, err)
		}
	})
}

// FuzzParseCall guards what reaches module and backends: what passes is in range, and goes on as a command
// that reads the same but for the time.
func FuzzParseCall(f *testing.F) {
	f.Add("CALL.GET", customer, "a", lookCommand("a")[3], "")
	f.Add("CALL.POST", customer, "a", "c=hold,t=basic,k=5c0f,d=1,units=2,spread=2,first=1,x=y", "body")
	f.Add("call.get", customer, "a", "c=look,t=basic,d=0x1p4,units=+2,spread=1e0,first=01", "")
	f.Add("CALL.GET", customer, "a", "d==,,=,d=1,d=1", "")
	words := newVocabulary(testConfig().Settings.Settings)
	f.Fuzz(func(t *testing.T, verb, customer, id, fields, body string) {
		args := [][]byte{[]byte(verb), []byte(customer), []byte(id), []byte(fields)}
		if body != "" {
			args = append(args, []byte(body))
		}
		c, err := words.parseCall(args)
		if err != nil {
			return
		}
		if c.Units < 1 || c.Units > 6 || c.GatewayCount < 1 || c.GatewayCount > 2 || c.FirstGateway < 0 || c.FirstGateway > 1 ||
			c.timeoutS <= 0 || c.timeoutS > maxTimeoutMS/1000 || c.Class == "" || c.Plan != "basic" {
			t.Fatalf("passed: %+v", c)
		}
		c.copyArgs()
		sent := c.appendCommand(nil, c.timeoutS)
		again, n, err := parseCommand(sent, nil)
		if n != len(sent) || err != nil || len(again) != len(args) {
			t.Fatalf("sent %q: %d, %v", sent, n, err)
		}
		d, err := words.parseCall(again)
		if err != nil || d.Request != c.Request || d.timeoutS != c.timeoutS {
			t.Fatalf("sent %+v, %v; read %+v", d, err, c)
		}
	})
}

// FuzzParseReply guards the readers of backends in the same way: what is served is one value that is not null.
func FuzzParseReply(f *testing.F) {
	for _, seed := range []string{value, "*3\r\n$1\r\nv\r\n$-1\r\n$14\r\ncpu_share=0.25\r\n", "-BUSY\r\n", "-ERR failed cpu_share=1\r\n",
		"$3\r\na=1\r\n", "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*0\r\n", "*3\r\n$3000000000\r\n", ":12\r\n", ":-\r\n", "+OK\r\n", "\x00", "$-1\r\n",
		"*-1\r\n", ":+1\r\n", ":00\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := frameLen(b)
		if n < 0 || n > len(b) || n > 0 && err != nil {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
		if n == 0 {
			return
		}
		res := parseReply(b[:n])
		if res.status == policy.OK && !res.isProbe {
			m, v := redcon.ReadNextRESP(res.value)
			if m != len(res.value) || v.Type != redcon.Bulk || v.Data == nil {
				t.Fatalf("%q is served as %q", b[:n], res.value)
			}
		}
		if l := res.load; l != nil && !(l.Utilization <= maxUtilization && l.ServiceMS <= maxLoadFigure) {
			t.Fatalf("load %+v", l)
		}
	})
}
