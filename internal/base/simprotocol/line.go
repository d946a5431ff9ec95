package simprotocol

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxNumber bounds the magnitude of numbers that are read.
const maxNumber = 1e18

// Line is one message: its name and its fields, in the order in which they came. Required fields that are missing, and fields that
// can't be read, are errors that name the message and the field.
type Line struct {
	Name   string
	fields []field
}

type field struct{ name, value string }

// parse splits a line; a settings field runs to its end.
func (l *Line) parse(s string) error {
	l.fields = l.fields[:0]
	name, rest, more := strings.Cut(s, "\t")
	l.Name = name
	if name == "" {
		return fmt.Errorf("malformed line: no message name")
	}
	for more {
		var part string
		if k, v, ok := strings.Cut(rest, "="); ok && k == FieldSettings && !strings.Contains(k, "\t") {
			l.fields = append(l.fields, field{k, v})
			return nil
		}
		part, rest, more = strings.Cut(rest, "\t")
		k, v, ok := strings.Cut(part, "=")
		if !ok || k == "" {
			return fmt.Errorf("%s: malformed field %q", name, part)
		}
		l.fields = append(l.fields, field{k, v})
	}
	return nil
}

// Has reports whether the line has the field.
func (l *Line) Has(name string) bool { _, ok := l.get(name); return ok }

func (l *Line) get(name string) (string, bool) {
	for i := range l.fields {
		if l.fields[i].name == name {
			return l.fields[i].value, true
		}
	}
	return "", false
}

func (l *Line) missing(name string) error { return fmt.Errorf("%s: field %s is missing", l.Name, name) }

func (l *Line) bad(name, v string) error {
	return fmt.Errorf("%s: field %s cannot be read: %q", l.Name, name, v)
}

// Text returns a required text field.
func (l *Line) Text(name string) (string, error) {
	v, ok := l.get(name)
	if !ok || v == "" {
		return "", l.missing(name)
	}
	return v, nil
}

// Int returns a required whole number.
func (l *Line) Int(name string) (int, error) {
	if !l.Has(name) {
		return 0, l.missing(name)
	}
	return l.OptInt(name)
}

// OptInt returns a whole number, 0 where it was left off.
func (l *Line) OptInt(name string) (int, error) {
	v, ok := l.get(name)
	if !ok {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, l.bad(name, v)
	}
	return n, nil
}

// Uint returns a required whole number of up to 64 bits.
func (l *Line) Uint(name string) (uint64, error) {
	v, ok := l.get(name)
	if !ok {
		return 0, l.missing(name)
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, l.bad(name, v)
	}
	return n, nil
}

// Num returns a required number.
func (l *Line) Num(name string) (float64, error) {
	if !l.Has(name) {
		return 0, l.missing(name)
	}
	return l.OptNum(name)
}

// OptNum returns a number, 0 where it was left off.
func (l *Line) OptNum(name string) (float64, error) {
	v, ok := l.get(name)
	if !ok {
		return 0, nil
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxNumber {
		return 0, l.bad(name, v)
	}
	return x, nil
}

// OptBool returns a bool, false where it was left off.
func (l *Line) OptBool(name string) (bool, error) {
	v, ok := l.get(name)
	if !ok || v == "0" {
		return false, nil
	}
	if v != "1" {
		return false, l.bad(name, v)
	}
	return true, nil
}

// Hex returns a required field of bytes.
func (l *Line) Hex(name string) ([]byte, error) {
	v, ok := l.get(name)
	if !ok {
		return nil, l.missing(name)
	}
	if v == "-" {
		return nil, nil
	}
	b, err := hex.DecodeString(v)
	if err != nil {
		return nil, l.bad(name, v)
	}
	return b, nil
}

// Pairs calls f for each name:value of an optional field.
func (l *Line) Pairs(name string, f func(name string, v float64)) (bool, error) {
	v, ok := l.get(name)
	if !ok || v == "" {
		return false, nil
	}
	for part := range strings.SplitSeq(v, ",") {
		k, x, ok := strings.Cut(part, ":")
		n, err := strconv.ParseFloat(x, 64)
		if !ok || err != nil {
			return false, l.bad(name, v)
		}
		f(k, n)
	}
	return true, nil
}
