package ingress

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"eiderspread/policy"
)

// call is a client's request as it was read: what the module has to know of it, and the command
// as it is to be passed on.
type call struct {
	policy.Request              // without its deadline
	class          policy.Class // as it stood when the request came
	timeoutS       float64      // how long the client waits
	args           [][]byte     // command, customer, id, fields and, in a write, the body
	size           int          // of all of them
	timeoutAt      [2]int       // where the value of d stands in the fields
}

// copyArgs makes the call's bytes its own: they were the reader's.
func (c *call) copyArgs() {
	b, args := make([]byte, 0, c.size), make([][]byte, len(c.args))
	for i, arg := range c.args {
		n := len(b)
		b = append(b, arg...)
		args[i] = b[n:len(b):len(b)]
	}
	c.args = args
}

// vocabulary is what a call may name. It is read by many goroutines and never changes.
type vocabulary struct {
	classes  map[string]policy.Class
	plans    map[string]string
	gateways int
	maxUnits int
}

func newVocabulary(s policy.Settings) *vocabulary {
	v := &vocabulary{map[string]policy.Class{}, map[string]string{}, s.Gateways, s.MaxRequestUnits}
	for _, c := range s.Classes {
		v.classes[c.Name] = c
	}
	for _, p := range s.Plans {
		v.plans[p.Name] = p.Name
	}
	return v
}

const (
	maxIDLen     = 128
	maxFieldsLen = 1 << 10
	accountLen   = 16
	maxTimeoutMS = 600_000
	maxInt       = 1 << 30
)

// parseCall reads a CALL command. The error is worded for the client.
func (v *vocabulary) parseCall(args [][]byte) (*call, error) {
	write := bytes.EqualFold(args[0], []byte("CALL.POST"))
	want := 4
	if write {
		want = 5
	}
	if len(args) != want {
		return nil, fmt.Errorf("wrong number of arguments for %s", args[0])
	}
	account, id, fields := args[1], args[2], args[3]
	n, err := strconv.ParseUint(string(account), 16, 64)
	if err != nil || len(account) != accountLen || n >= 1<<33 || bytes.ContainsAny(account, "ABCDEF") {
		return nil, fmt.Errorf("customer must be 16 lower-case hex digits, a number below 2^33")
	}
	if len(id) == 0 || len(id) > maxIDLen || !printable(id) {
		return nil, fmt.Errorf("the request's id must be 1 to %d printable characters without spaces", maxIDLen)
	}
	if len(fields) > maxFieldsLen || !printable(fields) {
		return nil, fmt.Errorf("the fields must be up to %d printable characters without spaces", maxFieldsLen)
	}
	c := &call{args: args, Request: policy.Request{ID: string(id), Account: string(account)}}
	for _, arg := range args {
		c.size += len(arg)
	}
	if err := v.parseFields(c, string(fields)); err != nil {
		return nil, err
	}
	class := v.classes[c.Class]
	if safe := class.Idempotency == policy.Idempotent; safe == write {
		return nil, fmt.Errorf("class %s does not go with %s", c.Class, args[0])
	}
	return c, nil
}

// printable tells that b holds visible ASCII alone.
func printable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// parseDecimal reads a number from least to most, written in the one way that a number has: digits alone,
// and no 0 ahead of others.
func parseDecimal(text string, least, most int) (n int, ok bool) {
	if text == "" || len(text) > 1 && text[0] == '0' || len(text) > len("1000000000") {
		return 0, false
	}
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, n >= least && n <= most
}

// The fields that a call may hold, and those that every call must.
const (
	fieldClass = 1 << iota
	fieldPlan
	fieldTimeout
	fieldIdempotencyKey
	fieldClientRetry
	fieldUnits
	fieldSpread
	fieldFirstGateway

	requiredFields = fieldClass | fieldPlan | fieldTimeout | fieldUnits | fieldSpread | fieldFirstGateway
)

var fieldNames = []string{"c", "t", "d", "k", "r", "units", "spread", "first"}

// parseFields reads the list of names and values. Names that are not known are passed on unread.
func (v *vocabulary) parseFields(c *call, list string) error {
	seen, at := 0, 0
	for part := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return fmt.Errorf("malformed field %.40q", part)
		}
		if i := slices.Index(fieldNames, name); i >= 0 {
			bit := 1 << i
			if seen&bit != 0 {
				return fmt.Errorf("field %s is given twice", name)
			}
			seen |= bit
			if !v.setField(c, bit, value) {
				return fmt.Errorf("field %s: invalid value %.40q", name, value)
			}
			if bit == fieldTimeout {
				c.timeoutAt = [2]int{at + len("d="), at + len(part)}
			}
		}
		at += len(part) + len(",")
	}
	need := requiredFields
	if v.classes[c.Class].Idempotency == policy.KeyedIdempotent {
		need |= fieldIdempotencyKey
	}
	if missing := need &^ seen; missing != 0 {
		return fmt.Errorf("field %s is missing", fieldNames[bits.TrailingZeros(uint(missing))])
	}
	return nil
}

// setField takes in one value and tells whether it is valid.
func (v *vocabulary) setField(c *call, bit int, value string) (ok bool) {
	var n int
	switch bit {
	case fieldClass:
		var class policy.Class
		class, ok = v.classes[value]
		c.Class, c.class = class.Name, class
	case fieldPlan:
		c.Plan, ok = v.plans[value]
	case fieldTimeout:
		n, ok = parseDecimal(value, 1, maxTimeoutMS)
		c.timeoutS = float64(n) / 1000
	case fieldIdempotencyKey:
		ok = value != ""
	case fieldClientRetry:
		ok = value == "0" || value == "1"
		c.Retry = value == "1"
	case fieldUnits:
		n, ok = parseDecimal(value, 1, cmp.Or(v.maxUnits, maxInt))
		c.Units = float64(n)
	case fieldSpread:
		c.GatewayCount, ok = parseDecimal(value, 1, v.gateways)
	case fieldFirstGateway:
		c.FirstGateway, ok = parseDecimal(value, 0, v.gateways-1)
	}
	return ok
}

// appendCommand appends the command for a backend: all as it came, but d tells the time that remains.
func (c *call) appendCommand(b []byte, waitS float64) []byte {
	fields := c.args[3]
	ms := strconv.AppendInt(make([]byte, 0, 8), max(1, int64(math.Ceil(waitS*1000))), 10)
	b = redcon.AppendArray(b, len(c.args))
	for i, arg := range c.args {
		if i != 3 {
			b = redcon.AppendBulk(b, arg)
			continue
		}
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(fields)-(c.timeoutAt[1]-c.timeoutAt[0])+len(ms)), 10)
		b = append(b, '\r', '\n')
		b = append(b, fields[:c.timeoutAt[0]]...)
		b = append(b, ms...)
		b = append(b, fields[c.timeoutAt[1]:]...)
		b = append(b, '\r', '\n')
	}
	return b
}
