package callprotocol

import (
	"fmt"
	"strings"
	"testing"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

const testAccount = "00000000b4d65521"

// getCommand returns the arguments of a valid read.
func getCommand(id string) []string {
	return []string{"CALL.GET", testAccount, id, "c=look,t=basic,d=600000,units=2,spread=2,first=1"}
}

func testSchema() *Schema {
	return NewSchema(policy.Settings{Gateways: 2, MaxRequestUnits: 6,
		Classes: []policy.Class{
			{Name: "look", Idempotency: policy.Idempotent},
			{Name: "hold", Idempotency: policy.KeyedIdempotent},
			{Name: "bill", Idempotency: policy.NonIdempotent}},
		Plans: []policy.Plan{{Name: "basic"}}})
}

// Guards against values that are accepted in more than one spelling: a backend may read a non-canonical number
// differently, and a second spelling of an account would count as another account.
func TestParseCall_CanonicalFormsOnly(t *testing.T) {
	schema := testSchema()
	parse := func(account, id, fields string) error {
		_, err := schema.ParseCall([][]byte{[]byte("CALL.GET"), []byte(account), []byte(id), []byte(fields)})
		return err
	}
	const good = "c=look,t=basic,d=480,units=2,spread=2,first=1"
	if err := parse(testAccount, "a", good); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"d", "units", "spread", "first"} {
		for _, value := range []string{"", "+1", "-1", "01", "1.0", "2.5", "1e0", "0x1", "0x1p0", "1_0", " 1", "１", "NaN",
			"Inf", "99999999999999999999", "1000000000"} {
			fields := good
			for _, old := range []string{"d=480", "units=2", "spread=2", "first=1"} {
				if strings.HasPrefix(old, name+"=") {
					fields = strings.Replace(good, old, name+"="+value, 1)
				}
			}
			if parse(testAccount, "a", fields) == nil {
				t.Errorf("fields %q are accepted, want an error for the value of %s", fields, name)
			}
		}
	}
	for _, other := range []string{"00000000B4D65521", "+0000000b4d65521", "0x000000b4d65521", "b4d65521", ""} {
		if parse(other, "a", good) == nil {
			t.Errorf("account %q is accepted, want an error", other)
		}
	}
	for _, id := range []string{"a b", "a\x00", "a\r\n", "\xff", "\u00a0", strings.Repeat("x", maxIDLen+1)} {
		if parse(testAccount, id, good) == nil {
			t.Errorf("id %q is accepted, want an error", id)
		}
	}
	for _, more := range []string{",x=\r\n", ",x=\xff", ",x=" + strings.Repeat("y", maxFieldsLen), ",k=", ",r=2"} {
		if parse(testAccount, "a", good+more) == nil {
			t.Errorf("fields %.40q are accepted, want an error", fmt.Sprint("...", more))
		}
	}
}

// FuzzParseCall guards the decision module and the backends against invalid calls: every accepted call is in range,
// and the command that is forwarded for it parses to the same call.
func FuzzParseCall(f *testing.F) {
	f.Add("CALL.GET", testAccount, "a", getCommand("a")[3], "")
	f.Add("CALL.POST", testAccount, "a", "c=hold,t=basic,k=5c0f,d=1,units=2,spread=2,first=1,x=y", "body")
	f.Add("call.get", testAccount, "a", "c=look,t=basic,d=0x1p4,units=+2,spread=1e0,first=01", "")
	f.Add("CALL.GET", testAccount, "a", "d==,,=,d=1,d=1", "")
	schema := testSchema()
	f.Fuzz(func(t *testing.T, command, account, id, fields, body string) {
		args := [][]byte{[]byte(command), []byte(account), []byte(id), []byte(fields)}
		if body != "" {
			args = append(args, []byte(body))
		}
		c, err := schema.ParseCall(args)
		if err != nil {
			return
		}
		if c.Units < 1 || c.Units > 6 || c.GatewayCount < 1 || c.GatewayCount > 2 || c.FirstGateway < 0 || c.FirstGateway > 1 ||
			c.TimeoutS <= 0 || c.TimeoutS > maxTimeoutMS/1000 || c.Class == "" || c.Plan != "basic" {
			t.Fatalf("accepted call is out of range: %+v", c)
		}
		c.CopyArgs()
		sent := c.AppendCommand(nil, c.TimeoutS)
		again, n, err := resp.ParseCommand(sent, nil)
		if n != len(sent) || err != nil || len(again) != len(args) {
			t.Fatalf("forwarded command %q of %d bytes: parsed %d bytes, %d arguments, error %v; want all bytes and %d arguments",
				sent, len(sent), n, len(again), err, len(args))
		}
		d, err := schema.ParseCall(again)
		if err != nil || d.Request != c.Request || d.TimeoutS != c.TimeoutS {
			t.Fatalf("forwarded command parses to %+v, error %v; want %+v", d, err, c)
		}
	})
}

func BenchmarkParseCall(b *testing.B) {
	schema := testSchema()
	var args [][]byte
	for _, a := range getCommand("9b1f03aa5c7e2d41") {
		args = append(args, []byte(a))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := schema.ParseCall(args); err != nil {
			b.Fatal(err)
		}
	}
}
