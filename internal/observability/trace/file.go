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

// Version is of the files that are written. Readers take no other.
const Version = 1

// Header is the first item of a file.
type Header struct {
	Magic     string         `cbor:"1,keyasint"`
	Version   int            `cbor:"2,keyasint"`
	Name      string         `cbor:"3,keyasint"` // of the gateway
	Gateway   int            `cbor:"4,keyasint"`
	Gateways  int            `cbor:"5,keyasint"`
	StartedAt float64        `cbor:"6,keyasint"` // Unix seconds, by the gateway's clock
	Plans     []config.Plan  `cbor:"7,keyasint"`
	Classes   []config.Class `cbor:"8,keyasint"`
}

const magic = "eiderspread.trace"

// item is one item behind the header: a record, or how many were lost before the next.
type item struct {
	Decision *reason.Decision `cbor:"1,keyasint,omitempty"`
	Lost     uint64           `cbor:"2,keyasint,omitempty"`
}

// Writer writes a file: a CBOR sequence (RFC 8742). It is of one goroutine.
type Writer struct {
	buffer  *bufio.Writer
	encoder *cbor.Encoder
	counter *byteCounter
}

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

// NewWriter writes the header.
func NewWriter(to io.Writer, h Header) (*Writer, error) {
	h.Magic, h.Version = magic, Version
	c := &byteCounter{to: to}
	w := &Writer{buffer: bufio.NewWriterSize(c, 32<<10), counter: c}
	w.encoder = cbor.NewEncoder(w.buffer)
	if err := w.encoder.Encode(h); err != nil {
		return nil, fmt.Errorf("trace: header: %w", err)
	}
	return w, w.buffer.Flush()
}

// Write appends records, behind a note of those that were lost before them, and hands all of it on.
func (w *Writer) Write(list []reason.Decision, lost uint64) error {
	if lost > 0 {
		if err := w.encoder.Encode(item{Lost: lost}); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
	}
	for i := range list {
		if err := w.encoder.Encode(item{Decision: &list[i]}); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
	}
	if err := w.buffer.Flush(); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// Size is what was written, in bytes.
func (w *Writer) Size() int64 { return w.counter.count }

// File is what a file holds.
type File struct {
	Header
	Decisions []reason.Decision
	Lost      uint64 // records that the ring had no room for
	Truncated bool   // the file ends in the middle of a record, or in something that is none
}

// ErrNotTrace is returned for what does not begin with a header of this version.
var ErrNotTrace = errors.New("not a trace of this version")

// Read reads a file up to its last whole record.
func Read(from io.Reader) (*File, error) {
	dec := cbor.NewDecoder(bufio.NewReaderSize(from, 64<<10))
	f := &File{}
	if err := dec.Decode(&f.Header); err != nil || f.Magic != magic {
		return nil, ErrNotTrace
	}
	if f.Version != Version {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrNotTrace, f.Version, Version)
	}
	for {
		var it item
		switch err := dec.Decode(&it); {
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
