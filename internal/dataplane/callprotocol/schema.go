package callprotocol

import (
	"bytes"
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"eiderspread/policy"
)

// Schema holds the classes, the plans and the bounds against which calls are checked. It is immutable and safe for concurrent use.
type Schema struct {
	classes  map[string]policy.Class
	plans    map[string]string // from each name to itself, so that all requests share one copy of the string
	gateways int
	maxUnits int // 0: the constant maxUnits applies
}

// NewSchema returns the schema of the settings.
func NewSchema(s policy.Settings) *Schema {
	v := &Schema{map[string]policy.Class{}, map[string]string{}, s.Gateways, s.MaxRequestUnits}
	for _, c := range s.Classes {
		v.classes[c.Name] = c
	}
	for _, p := range s.Plans {
		v.plans[p.Name] = p.Name
	}
	return v
}

// ParseCall parses a CALL command. The call aliases args until CopyArgs is called. An error is a *CallError, whose text is meant for the
// client.
func (v *Schema) ParseCall(args [][]byte) (*Call, error) {
	command := args[argCommand]
	write := bytes.EqualFold(command, commandWrite)
	if want := argCount(write); len(args) != want {
		return nil, callErrorf("wrong number of arguments for %s", command)
	}
	account, id, fields := args[argAccount], args[argID], args[argFields]
	if !validAccount(account) {
		return nil, callErrorf("customer must be 16 lower-case hex digits, a number below 2^33")
	}
	if len(id) == 0 || len(id) > maxIDLen || !printable(id) {
		return nil, callErrorf("the request's id must be 1 to %d printable characters without spaces", maxIDLen)
	}
	if len(fields) > maxFieldsLen || !printable(fields) {
		return nil, callErrorf("the fields must be up to %d printable characters without spaces", maxFieldsLen)
	}
	c := &Call{Args: args, Request: policy.Request{ID: string(id), Account: string(account)}}
	for _, arg := range args {
		c.Size += len(arg)
	}
	if err := v.parseFields(c, string(fields)); err != nil {
		return nil, err
	}
	class := v.classes[c.Class]
	if read := class.Idempotency == policy.Idempotent; read == write {
		return nil, callErrorf("class %s does not go with %s", c.Class, command)
	}
	return c, nil
}

func argCount(write bool) int {
	if write {
		return writeArgs
	}
	return readArgs
}

// validAccount reports whether b is an account number in its canonical form: 16 lower-case hex digits of a number below maxAccount.
func validAccount(b []byte) bool {
	n, err := strconv.ParseUint(string(b), 16, 64)
	return err == nil && len(b) == accountLen && n < maxAccount && !bytes.ContainsAny(b, "ABCDEF")
}

// printable reports whether b consists of printable ASCII characters without spaces.
func printable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// field is a bit for each field that a call may have.
type field uint

const (
	fieldClass field = 1 << iota
	fieldPlan
	fieldTimeout // milliseconds
	fieldIdempotencyKey
	fieldClientRetry
	fieldUnits
	fieldGatewayCount
	fieldFirstGateway

	requiredFields = fieldClass | fieldPlan | fieldTimeout | fieldUnits | fieldGatewayCount | fieldFirstGateway
)

// fieldNames are the protocol's names of the fields, in the order of the bits.
var fieldNames = []string{"c", "t", "d", "k", "r", "units", "spread", "first"}

func (f field) String() string { return fieldNames[bits.TrailingZeros(uint(f))] }

// parseFields parses the comma-separated list of name=value pairs into c. It ignores fields with unknown names; they are forwarded
// unchanged.
func (v *Schema) parseFields(c *Call, list string) error {
	var seen field
	at := 0
	for part := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" {
			return callErrorf("malformed field %.40q", part)
		}
		if i := slices.Index(fieldNames, name); i >= 0 {
			f := field(1) << i
			if seen&f != 0 {
				return callErrorf("field %s is given twice", name)
			}
			seen |= f
			if !v.setField(c, f, value) {
				return callErrorf("field %s: invalid value %.40q", name, value)
			}
			if f == fieldTimeout {
				c.timeout = byteRange{at + len(name) + len("="), at + len(part)}
			}
		}
		at += len(part) + len(",")
	}
	required := requiredFields
	if v.classes[c.Class].Idempotency == policy.KeyedIdempotent {
		required |= fieldIdempotencyKey
	}
	if missing := required &^ seen; missing != 0 {
		return callErrorf("field %s is missing", missing)
	}
	return nil
}

// setField sets one field of c from its text and reports whether the value is valid.
func (v *Schema) setField(c *Call, f field, value string) (ok bool) {
	var n int
	switch f {
	case fieldClass:
		c.Spec, ok = v.classes[value]
		c.Class = c.Spec.Name
	case fieldPlan:
		c.Plan, ok = v.plans[value]
	case fieldTimeout:
		n, ok = parseDecimal(value, 1, maxTimeoutMS)
		c.TimeoutS = float64(n) / 1000
	case fieldIdempotencyKey:
		ok = value != ""
	case fieldClientRetry:
		ok = value == "0" || value == "1"
		c.Retry = value == "1"
	case fieldUnits:
		n, ok = parseDecimal(value, 1, cmp.Or(v.maxUnits, maxUnits))
		c.Units = float64(n)
	case fieldGatewayCount:
		c.GatewayCount, ok = parseDecimal(value, 1, v.gateways)
	case fieldFirstGateway:
		c.FirstGateway, ok = parseDecimal(value, 0, v.gateways-1)
	}
	return ok
}

// parseDecimal parses a number from least to most in its canonical form: decimal digits without a leading zero.
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
