package simprotocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const readBufferBytes = 1 << 20

// Reader reads the messages of the simulator, one a line.
type Reader struct {
	buffered *bufio.Reader
	long     []byte // a line that does not fit into the buffer
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next reads the next line into l. It returns io.EOF at the end of the input.
func (r *Reader) Next(l *Line) error {
	raw, err := r.buffered.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], raw...)
		for errors.Is(err, bufio.ErrBufferFull) {
			raw, err = r.buffered.ReadSlice('\n')
			r.long = append(r.long, raw...)
		}
		raw = r.long
	}
	if err != nil && (!errors.Is(err, io.EOF) || len(raw) == 0) {
		return err
	}
	return l.parse(string(bytes.TrimRight(raw, "\r\n")))
}
