package simprotocol

import (
	"bufio"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
)

const writeBufferBytes = 1 << 18

// Writer writes the lines of one reply.
type Writer struct {
	buffered *bufio.Writer
	line     []byte // the current line
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{buffered: bufio.NewWriterSize(w, writeBufferBytes)}
}

// Begin starts a line with the message's name and the gateway's index.
func (w *Writer) Begin(name string, gateway int) *Writer {
	w.line = append(w.line[:0], name...)
	return w.Int(FieldGateway, int64(gateway))
}

func (w *Writer) key(name string) {
	w.line = append(append(append(w.line, '\t'), name...), '=')
}

// Str adds a text field, with spaces in place of tabs and line breaks.
func (w *Writer) Str(name, v string) *Writer {
	w.key(name)
	w.line = append(w.line, strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(v)...)
	return w
}

// Raw adds a text field unchanged: v comes from a message of the simulator.
func (w *Writer) Raw(name, v string) *Writer { w.key(name); w.line = append(w.line, v...); return w }

// Int adds an integer field.
func (w *Writer) Int(name string, v int64) *Writer {
	w.key(name)
	w.line = strconv.AppendInt(w.line, v, 10)
	return w
}

// Num adds a number field with six decimals, so that times are exact to the microsecond.
func (w *Writer) Num(name string, v float64) *Writer {
	w.key(name)
	w.line = strconv.AppendFloat(w.line, v, 'f', 6, 64)
	return w
}

// Hex adds a field of bytes in hexadecimal, "-" for none.
func (w *Writer) Hex(name string, v []byte) *Writer {
	w.key(name)
	if len(v) == 0 {
		w.line = append(w.line, '-')
	}
	w.line = hex.AppendEncode(w.line, v)
	return w
}

// End ends the line. Flush returns the error, if the underlying writer fails.
func (w *Writer) End() { _, _ = w.buffered.Write(append(w.line, '\n')) }

// Flush ends the reply and writes out what is buffered.
func (w *Writer) Flush() error {
	if _, err := w.buffered.WriteString(MessageBatchDone + "\n"); err != nil {
		return err
	}
	return w.buffered.Flush()
}
