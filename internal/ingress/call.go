package ingress

import (
	"bytes"
	"fmt"
	"math"
	"strconv"

	"github.com/tidwall/redcon"

	"cometpond/policy"
)

// call is a client's request as it was read: what the module has to know of it, and the command
// as it is to be passed on.
type call struct {
	policy.Request          // without its deadline
	waitS          float64  // how long the client waits
	args           [][]byte // command, customer, id, fields and, in a write, the body
	d              [2]int   // where the value of d stands in the fields
}

// vocabulary is what a call may name. It is read by many goroutines and never changes.
type vocabulary struct {
	classes  map[string]policy.Class
	plans    map[string]bool
	gateways int
	maxUnits int
}

func newVocabulary(s policy.Settings) *vocabulary {
	v := &vocabulary{map[string]policy.Class{}, map[string]bool{}, s.Gateways, s.MaxUnits}
	for _, c := range s.Classes {
		v.classes[c.Name] = c
	}
	for _, p := range s.Plans {
		v.plans[p.Name] = true
	}
	return v
}

const (
	maxID       = 128
	customerLen = 16
	maxWaitS    = 3600
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
	customer, id := args[1], args[2]
	if n, err := strconv.ParseUint(string(customer), 16, 64); err != nil || len(customer) != customerLen || n >= 1<<33 {
		return nil, fmt.Errorf("customer must be 16 hex digits, a number below 2^33")
	}
	if len(id) == 0 || len(id) > maxID || bytes.ContainsFunc(id, func(r rune) bool { return r <= ' ' }) {
		return nil, fmt.Errorf("the request's id must be 1 to %d characters without spaces", maxID)
	}
	c := &call{args: args, Request: policy.Request{ID: string(id), Customer: string(customer)}}
	if err := v.fields(c, string(args[3])); err != nil {
		return nil, err
	}
	class := v.classes[c.Class]
	if safe := class.Effect == policy.Safe; safe == write {
		return nil, fmt.Errorf("class %s does not go with %s", c.Class, args[0])
	}
	return c, nil
}

// fields reads the list of names and values. Names that are not known are passed on unread.
func (v *vocabulary) fields(c *call, list string) error {
	seen := map[string]bool{}
	for at := 0; at <= len(list); {
		end := at
		for end < len(list) && list[end] != ',' {
			end++
		}
		part := list[at:end]
		eq := at
		for eq < end && list[eq] != '=' {
			eq++
		}
		if eq == at || eq == end {
			return fmt.Errorf("malformed field %.40q", part)
		}
		name, value := list[at:eq], list[eq+1:end]
		if seen[name] {
			return fmt.Errorf("field %.40s is given twice", name)
		}
		seen[name] = true
		if err := v.field(c, name, value); err != nil {
			return err
		}
		if name == "d" {
			c.d = [2]int{eq + 1, end}
		}
		at = end + 1
	}
	for _, name := range []string{"c", "t", "d", "units", "spread", "first"} {
		if !seen[name] {
			return fmt.Errorf("field %s is missing", name)
		}
	}
	if v.classes[c.Class].Effect == policy.Keyed && !seen["k"] {
		return fmt.Errorf("field k is missing")
	}
	return nil
}

func (v *vocabulary) field(c *call, name, value string) error {
	known := true
	var err error
	switch name {
	case "c":
		_, known = v.classes[value]
		c.Class = value
	case "t":
		known = v.plans[value]
		c.Plan = value
	case "d":
		var ms float64
		ms, err = strconv.ParseFloat(value, 64)
		c.waitS = ms / 1000
		known = c.waitS > 0 && c.waitS <= maxWaitS
	case "k":
		known = value != ""
	case "r":
		known = value == "0" || value == "1"
		c.Retry = value == "1"
	case "units":
		c.Units, err = strconv.ParseFloat(value, 64)
		known = c.Units > 0 && (v.maxUnits == 0 || c.Units <= float64(v.maxUnits))
	case "spread":
		c.Entries, err = strconv.Atoi(value)
		known = c.Entries >= 1 && c.Entries <= v.gateways
	case "first":
		c.First, err = strconv.Atoi(value)
		known = c.First >= 0 && c.First < v.gateways
	}
	if err != nil || !known {
		return fmt.Errorf("field %s: invalid value %.40q", name, value)
	}
	return nil
}

// appendTo appends the command for a backend: all as it came, but d tells the time that remains.
func (c *call) appendTo(b []byte, waitS float64) []byte {
	fields := c.args[3]
	ms := strconv.AppendInt(make([]byte, 0, 8), max(1, int64(math.Ceil(waitS*1000))), 10)
	b = redcon.AppendArray(b, len(c.args))
	for i, arg := range c.args {
		if i != 3 {
			b = redcon.AppendBulk(b, arg)
			continue
		}
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(fields)-(c.d[1]-c.d[0])+len(ms)), 10)
		b = append(b, '\r', '\n')
		b = append(b, fields[:c.d[0]]...)
		b = append(b, ms...)
		b = append(b, fields[c.d[1]:]...)
		b = append(b, '\r', '\n')
	}
	return b
}
