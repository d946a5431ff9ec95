package trace

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"eiderspread/internal/decision/config"
	"eiderspread/internal/decision/reason"
)

// Version is the version of the file format. Read accepts no other version.
const Version = 1

const magic = "eiderspread.trace"

// Header is the first item of a trace file. NewWriter sets Magic and Version.
type Header struct {
	Magic     string         `cbor:"1,keyasint"`
	Version   int            `cbor:"2,keyasint"`
	Name      string         `cbor:"3,keyasint"` // name of the gateway
	Gateway   int            `cbor:"4,keyasint"` // number of the gateway
	Gateways  int            `cbor:"5,keyasint"` // number of gateways in the fleet
	StartedAt float64        `cbor:"6,keyasint"` // Unix seconds, by the gateway's clock
	Plans     []config.Plan  `cbor:"7,keyasint"`
	Classes   []config.Class `cbor:"8,keyasint"`
}

// item is an item after the header: a decision, or the number of decisions that were lost before the next item.
type item struct {
	Decision *reason.Decision `cbor:"1,keyasint,omitempty"`
	Lost     uint64           `cbor:"2,keyasint,omitempty"`
}

// Writer writes a trace file, which is a CBOR sequence (RFC 8742). It must be used by one goroutine at a time.
type Writer struct {
	buffer  *bufio.Writer
	encoder *cbor.Encoder
	counter *byteCounter
}

// byteCounter is an io.Writer that forwards to another writer and counts the written bytes.
type byteCounter struct {
	to    io.Writer
	count int64
}

// Write implements io.Writer.
func (c *byteCounter) Write(b []byte) (int, error) {
	n, err := c.to.Write(b)
	c.count += int64(n)
	return n, err
}

// NewWriter writes the header and returns a Writer for the decisions that follow it.
func NewWriter(to io.Writer, h Header) (*Writer, error) {
	h.Magic, h.Version = magic, Version
	counter := &byteCounter{to: to}
	buffer := bufio.NewWriterSize(counter, 32<<10)
	w := &Writer{buffer: buffer, encoder: cbor.NewEncoder(buffer), counter: counter}
	if err := w.encoder.Encode(h); err != nil {
		return nil, fmt.Errorf("trace: write header: %w", err)
	}
	if err := w.buffer.Flush(); err != nil {
		return nil, fmt.Errorf("trace: flush header: %w", err)
	}
	return w, nil
}

// Write appends decisions and flushes the buffer. lost is the number of decisions that were lost before the first
// decision of list; if it is above 0, it is written first.
func (w *Writer) Write(list []reason.Decision, lost uint64) error {
	if lost > 0 {
		if err := w.encoder.Encode(item{Lost: lost}); err != nil {
			return fmt.Errorf("trace: write number of lost decisions: %w", err)
		}
	}
	for i := range list {
		if err := w.encoder.Encode(item{Decision: &list[i]}); err != nil {
			return fmt.Errorf("trace: write decision: %w", err)
		}
	}
	if err := w.buffer.Flush(); err != nil {
		return fmt.Errorf("trace: flush decisions: %w", err)
	}
	return nil
}

// Size returns the number of bytes written so far, with the header.
func (w *Writer) Size() int64 { return w.counter.count }

// File is the content of a trace file.
type File struct {
	Header
	Decisions []reason.Decision
	Lost      uint64 // decisions that were not written because the ring was full
	Truncated bool   // the file ends within an item, or has bytes that do not decode as an item
}

// ErrNotTrace is returned by Read for data that does not begin with a header of this version.
var ErrNotTrace = errors.New("not a decision trace of the supported version")

// Read reads a trace file up to its last complete item. A truncated file is no error, because a killed process leaves one:
// Read sets File.Truncated. After the header, an error while reading also counts as truncation.
func Read(from io.Reader) (*File, error) {
	decoder := cbor.NewDecoder(bufio.NewReaderSize(from, 64<<10))
	f := &File{}
	if err := decoder.Decode(&f.Header); err != nil || f.Magic != magic {
		return nil, ErrNotTrace
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrNotTrace, f.Version, Version)
	}
	for {
		var it item
		switch err := decoder.Decode(&it); {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return f, nil
		case err != nil:
			f.Truncated = true
			return f, nil
		}
		f.Lost += it.Lost
		if it.Decision != nil {
			f.Decisions = append(f.Decisions, *it.Decision)
		}
	}
}
