package simprotocol

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxNumber is the largest magnitude of a number that OptNum accepts.
const maxNumber = 1e18

// Line is one message: its name and its fields, in the order of arrival. If a required field is missing or a field can't be parsed, its
// methods return an error that names the message and the field.
type Line struct {
	Name   string
	fields []field
}

type field struct{ name, value string }

// parse splits a line into its fields; a settings field extends to the end of the line.
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

func (l *Line) invalid(name, v string) error {
	return fmt.Errorf("%s: field %s cannot be read: %q", l.Name, name, v)
}

// Text returns a required text field, which must not be empty.
func (l *Line) Text(name string) (string, error) {
	v, ok := l.get(name)
	if !ok || v == "" {
		return "", l.missing(name)
	}
	return v, nil
}

// Int returns a required integer.
func (l *Line) Int(name string) (int, error) {
	if !l.Has(name) {
		return 0, l.missing(name)
	}
	return l.OptInt(name)
}

// OptInt returns an integer, 0 if the line does not have the field.
func (l *Line) OptInt(name string) (int, error) {
	v, ok := l.get(name)
	if !ok {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, l.invalid(name, v)
	}
	return n, nil
}

// Uint returns a required unsigned integer of up to 64 bits.
func (l *Line) Uint(name string) (uint64, error) {
	v, ok := l.get(name)
	if !ok {
		return 0, l.missing(name)
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, l.invalid(name, v)
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

// OptNum returns a number, 0 if the line does not have the field.
func (l *Line) OptNum(name string) (float64, error) {
	v, ok := l.get(name)
	if !ok {
		return 0, nil
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxNumber {
		return 0, l.invalid(name, v)
	}
	return x, nil
}

// OptBool returns a bool, written as 0 or 1; false if the line does not have the field.
func (l *Line) OptBool(name string) (bool, error) {
	v, ok := l.get(name)
	if !ok || v == "0" {
		return false, nil
	}
	if v != "1" {
		return false, l.invalid(name, v)
	}
	return true, nil
}

// Hex returns a required field of bytes in hexadecimal; "-" stands for none.
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
		return nil, l.invalid(name, v)
	}
	return b, nil
}

// Pairs calls f for each name:value pair of an optional field. It returns true if the field has any.
func (l *Line) Pairs(name string, f func(name string, v float64)) (bool, error) {
	v, ok := l.get(name)
	if !ok || v == "" {
		return false, nil
	}
	for part := range strings.SplitSeq(v, ",") {
		k, x, ok := strings.Cut(part, ":")
		n, err := strconv.ParseFloat(x, 64)
		if !ok || err != nil {
			return false, l.invalid(name, v)
		}
		f(k, n)
	}
	return true, nil
}
