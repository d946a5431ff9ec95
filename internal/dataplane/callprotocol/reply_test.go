package callprotocol

import (
	"testing"

	"github.com/tidwall/redcon"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

// valueReply is a reply with a value, without usage figures and without a load report.
const valueReply = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"

// Guards against a valid value that is lost because the figures after it are invalid, against load figures that are
// out of range, and against a value taken from a reply that has none.
func TestParseReply(t *testing.T) {
	for reply, want := range map[string]struct {
		status policy.Status
		load   float64 // utilization of the cores, -1: no load report
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
			t.Fatalf("ReplyLen(%q) = %d, %v, want %d and no error", reply, n, err, len(reply))
		}
		res := ParseReply([]byte(reply))
		load := -1.0
		if res.Load != nil {
			load = res.Load.Utilization
		}
		if res.Status != want.status || load != want.load || (res.Value != nil) != (want.status == policy.OK) {
			t.Errorf("%q: got %+v with load %v, want status %v, load %v, and a value only with status OK", reply, res, load, want.status, want.load)
		}
	}
}

// FuzzParseReply guards the readers of backends: whatever bytes a backend sends, a reply that counts as served has
// exactly one value, which is not null, and a load report is in range.
func FuzzParseReply(f *testing.F) {
	for _, seed := range []string{valueReply, "*3\r\n$1\r\nv\r\n$-1\r\n$14\r\ncpu_share=0.25\r\n", "-BUSY\r\n", "-ERR failed cpu_share=1\r\n",
		"$3\r\na=1\r\n", "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*0\r\n", "*3\r\n$3000000000\r\n", ":12\r\n", ":-\r\n", "+OK\r\n", "\x00", "$-1\r\n",
		"*-1\r\n", ":+1\r\n", ":00\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := resp.ReplyLen(b)
		if n < 0 || n > len(b) || n > 0 && err != nil {
			t.Fatalf("ReplyLen(%q) = %d, %v, want 0 to %d, and 0 with an error", b, n, err, len(b))
		}
		if n == 0 {
			return
		}
		res := ParseReply(b[:n])
		if res.Status == policy.OK && !res.Probe {
			m, v := redcon.ReadNextRESP(res.Value)
			if m != len(res.Value) || v.Type != redcon.Bulk || v.Data == nil {
				t.Fatalf("reply %q is served with value %q, want one bulk string that is not null", b[:n], res.Value)
			}
		}
		if l := res.Load; l != nil && !(l.Utilization <= maxUtilization && l.ServiceMS <= maxLoadFigure) {
			t.Fatalf("accepted load report is out of range: %+v", l)
		}
	})
}
