package callprotocol

import (
	"testing"

	"github.com/tidwall/redcon"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

// valueReply is a value without figures.
const valueReply = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"

// Guards against good values thrown away for the figures behind them, against figures out of all range,
// and against values in replies that are none.
func TestParseReply(t *testing.T) {
	for reply, want := range map[string]struct {
		status policy.Status
		load   float64 // of the cores, -1: none
	}{
		"*3\r\n$1\r\nv\r\n$-1\r\n$14\r\ncpu_share=0.25\r\n":           {policy.OK, 0.25},
		"*3\r\n$1\r\nv\r\n$3\r\n\x00?!\r\n$-1\r\n":                    {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n:7\r\n$3\r\n\x00?!\r\n":                     {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$13\r\ncpu_share=1e8\r\n":            {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$13\r\ncpu_share=NaN\r\n":            {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$12\r\ncpu_share=-1\r\n":             {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$24\r\ncpu_share=0.5,svc_ms=1e9\r\n": {policy.OK, -1},
		"*3\r\n$1\r\nv\r\n$-1\r\n$0\r\n\r\n":                          {policy.OK, -1},
		"*3\r\n:1\r\n$-1\r\n$-1\r\n":                                  {policy.Error, -1},
		"*0\r\n":                                                      {policy.Error, -1},
		"+OK\r\n":                                                     {policy.Error, -1},
		"-BUSY cpu_share=0.5\r\n":                                     {policy.Rejected, 0.5},
		"-BUSYNESS\r\n":                                               {policy.Error, -1},
	} {
		if n, err := resp.ReplyLen([]byte(reply)); n != len(reply) || err != nil {
			t.Fatalf("%q: frame gives %d, %v", reply, n, err)
		}
		res := ParseReply([]byte(reply))
		load := -1.0
		if res.Load != nil {
			load = res.Load.Utilization
		}
		if res.Status != want.status || load != want.load || (res.Value != nil) != (want.status == policy.OK) {
			t.Errorf("%q: got %+v, load %v", reply, res, load)
		}
	}
}

// FuzzReply guards the readers of backends in the same way: what is served is one value that is not null.
func FuzzParseReply(f *testing.F) {
	for _, seed := range []string{valueReply, "*3\r\n$1\r\nv\r\n$-1\r\n$14\r\ncpu_share=0.25\r\n", "-BUSY\r\n", "-ERR failed cpu_share=1\r\n",
		"$3\r\na=1\r\n", "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*0\r\n", "*3\r\n$3000000000\r\n", ":12\r\n", ":-\r\n", "+OK\r\n", "\x00", "$-1\r\n",
		"*-1\r\n", ":+1\r\n", ":00\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := resp.ReplyLen(b)
		if n < 0 || n > len(b) || n > 0 && err != nil {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
		if n == 0 {
			return
		}
		res := ParseReply(b[:n])
		if res.Status == policy.OK && !res.Probe {
			m, v := redcon.ReadNextRESP(res.Value)
			if m != len(res.Value) || v.Type != redcon.Bulk || v.Data == nil {
				t.Fatalf("%q is served as %q", b[:n], res.Value)
			}
		}
		if l := res.Load; l != nil && !(l.Utilization <= maxUtilization && l.ServiceMS <= maxLoadFigure) {
			t.Fatalf("load %+v", l)
		}
	})
}
