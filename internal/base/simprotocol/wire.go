// Package wire reads and writes the lines of the simulator's protocol. It knows
// their form, not what to do about them.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Line is one message: a name and its fields in the order in which they came.
type Line struct {
	Name   string
	fields []field
}

type field struct{ name, value string }

// Reader reads lines.
type Reader struct {
	r    *bufio.Reader
	long []byte
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 1<<20)} }

// Next reads the next line into l. It returns io.EOF at the end of the input.
func (r *Reader) Next(l *Line) error {
	raw, err := r.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		r.long = append(r.long[:0], raw...)
		for err == bufio.ErrBufferFull {
			raw, err = r.r.ReadSlice('\n')
			r.long = append(r.long, raw...)
		}
		raw = r.long
	}
	if err != nil && (err != io.EOF || len(raw) == 0) {
		return err
	}
	return l.parse(string(bytes.TrimRight(raw, "\r\n")))
}

// parse splits a line; the fields named in textFields run to its end.
func (l *Line) parse(s string) error {
	l.fields = l.fields[:0]
	name, rest, more := strings.Cut(s, "\t")
	l.Name = name
	if name == "" {
		return fmt.Errorf("malformed line: no message name")
	}
	for more {
		var part string
		if k, v, ok := strings.Cut(rest, "="); ok && k == "settings" && !strings.Contains(k, "\t") {
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

// Has tells whether the field came with the line.
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
	if err != nil || x != x || x > 1e18 || x < -1e18 {
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

// Writer gathers the lines of one reply.
type Writer struct {
	w *bufio.Writer
	b []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: bufio.NewWriterSize(w, 1<<18)} }

// Begin starts a line for an instance.
func (w *Writer) Begin(name string, inst int) *Writer {
	w.b = append(append(w.b[:0], name...), "\ti="...)
	w.b = strconv.AppendInt(w.b, int64(inst), 10)
	return w
}

func (w *Writer) key(name string) {
	w.b = append(append(append(w.b, '\t'), name...), '=')
}

// Str adds a text field.
func (w *Writer) Str(name, v string) *Writer {
	w.key(name)
	w.b = append(w.b, strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(v)...)
	return w
}

// ID adds a field whose text came from the wire and goes back as it was.
func (w *Writer) ID(name, v string) *Writer { w.key(name); w.b = append(w.b, v...); return w }

// Int adds a whole number.
func (w *Writer) Int(name string, v int64) *Writer {
	w.key(name)
	w.b = strconv.AppendInt(w.b, v, 10)
	return w
}

// Num adds a number, to the microsecond.
func (w *Writer) Num(name string, v float64) *Writer {
	w.key(name)
	w.b = strconv.AppendFloat(w.b, v, 'f', 6, 64)
	return w
}

// Hex adds a field of bytes.
func (w *Writer) Hex(name string, v []byte) *Writer {
	w.key(name)
	if len(v) == 0 {
		w.b = append(w.b, '-')
	}
	w.b = hex.AppendEncode(w.b, v)
	return w
}

// End ends the line.
func (w *Writer) End() { w.w.Write(append(w.b, '\n')) }

// Flush ends the reply.
func (w *Writer) Flush() error {
	w.w.WriteString("NEXT\n")
	return w.w.Flush()
}
