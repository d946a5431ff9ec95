package ingress

import (
	"bytes"
	"errors"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/resp"
	"eiderspread/internal/dataplane/sockets"
	"eiderspread/policy"
)

// blockedPollInterval is the interval at which a write that the client blocks looks for the client's progress, and for the end of the
// backend's connection.
const blockedPollInterval = 20 * time.Millisecond

// endOfValue terminates the header line and the bytes of a RESP bulk string.
const endOfValue = "\r\n"

var (
	errMigrating        = errors.New("stream stopped: the large value migrates to the new process")
	errBytesBehindReply = errors.New("bytes behind the end of the reply")
)

// valueStream is the progress of streaming a large value. The goroutine that streams the value owns it, except where a comment says
// otherwise.
type valueStream struct {
	unwritten []byte // output that is not written to the client yet
	unread    int    // bytes of the value that are not read from the backend yet

	// backendInput is the input that was read from the backend behind the value, by the time at which the stream was created. It never changes.
	backendInput []byte

	stopRequested atomic.Bool // set by the loop to stop the stream between two chunks
	clientBlocked atomic.Bool // the last write to the client made no progress; of any goroutine
	migrated      chan bool   // from the loop to a stopped stream; true: the successor has the value, false: continue here

	// Loop only.
	backendConn *backendConn // never changes
	stopping    bool         // the loop has requested a stop
	resumed     bool         // the predecessor began to stream the value: there is no attempt in this process
}

// newValueStream returns the stream of a value of size bytes, of which first is already read, and behind the value backendInput. The header
// is generated.
func newValueStream(conn *backendConn, size int, first, backendInput []byte) *valueStream {
	header := append(strconv.AppendInt([]byte{'$'}, int64(size), 10), endOfValue...)
	return &valueStream{unwritten: append(header, first...), unread: size - len(first), backendInput: bytes.Clone(backendInput), backendConn: conn,
		migrated: make(chan bool, 1)}
}

// interrupted reports whether the stream has to stop, as the loop has requested. err is the result of the last read or write, nil before
// one; any other error than an expired deadline takes precedence.
func (s *valueStream) interrupted(err error) bool {
	return (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) && s.stopRequested.Load()
}

// streamToEnd streams the value until it is complete, fails or has been transferred to the successor; it returns errMigrating for a
// transfer.
func (v *largeValue) streamToEnd(in *Ingress, input *inputbuffer.Buffer) error {
	for {
		err := v.stream.run(in, v.stream.backendConn, input, v.client)
		if !errors.Is(err, errMigrating) {
			return err
		}
		backendInput := bytes.Clone(input.Bytes())
		in.post(in.clock.Now(), func() { in.handleStreamStopped(v, backendInput) })
		select {
		case migrated := <-v.stream.migrated:
			if migrated {
				return errMigrating
			}
		case <-v.client.done:
			return errClientDisconnected
		case <-in.done:
			return errClientDisconnected
		}
	}
}

// run streams the value until it is complete, fails or has to stop; it returns errMigrating for a stop. It writes the terminator only
// after the backend has sent it, so that an incomplete value never looks complete.
func (s *valueStream) run(in *Ingress, c *backendConn, input *inputbuffer.Buffer, to *clientConn) error {
	if err := s.copyValue(in, c, to); err != nil {
		return err
	}
	if err := s.readEndOfValue(c, input); err != nil {
		return err
	}
	input.Discard(len(endOfValue))
	s.unwritten = []byte(endOfValue)
	for {
		if err := s.writeUnwritten(c, to); !errors.Is(err, errMigrating) {
			return err
		}
		s.stopRequested.Store(false) // the two bytes that are left are not worth a migration
	}
}

// readEndOfValue reads until input starts with the terminator of the value.
func (s *valueStream) readEndOfValue(c *backendConn, input *inputbuffer.Buffer) error {
	setReadDeadline(c.conn, time.Now().Add(stallTimeout)) // before stopRequested is checked, as in readChunk
	if input.Len() < len(endOfValue) && s.interrupted(nil) {
		return errMigrating
	}
	if err := c.readAtLeast(input, len(endOfValue)); err != nil {
		if s.interrupted(err) {
			return errMigrating
		}
		return errTruncated
	}
	if !bytes.HasPrefix(input.Bytes(), []byte(endOfValue)) {
		return resp.ErrLengthMismatch
	}
	return nil
}

// copyValue writes the unwritten bytes, and then reads and writes the rest of the value in chunks.
func (s *valueStream) copyValue(in *Ingress, c *backendConn, to *clientConn) error {
	var chunk []byte
	for {
		if err := s.writeUnwritten(c, to); err != nil {
			s.unwritten = bytes.Clone(s.unwritten) // not a part of the chunk, whose budget is released
			return err
		}
		if s.unread == 0 {
			return nil
		}
		if chunk == nil {
			if chunk = make([]byte, inputbuffer.ReadSize); in.inputBudget.Reserve(streamChunkSize) {
				defer in.inputBudget.Release(streamChunkSize)
				chunk = make([]byte, streamChunkSize)
			}
		}
		if err := s.readChunk(c, chunk); err != nil {
			return err
		}
	}
}

// readChunk reads the next bytes of the value into chunk.
func (s *valueStream) readChunk(c *backendConn, chunk []byte) error {
	// The deadline is set before stopRequested is checked: the loop sets stopRequested first and then an expired deadline, so that either the
	// check or the read notices the stop.
	setReadDeadline(c.conn, time.Now().Add(stallTimeout))
	if s.interrupted(nil) {
		return errMigrating
	}
	n, err := c.conn.Read(chunk[:min(s.unread, len(chunk))])
	s.unwritten, s.unread = chunk[:n], s.unread-n
	if n == 0 && s.interrupted(err) {
		return errMigrating
	} else if n == 0 && err != nil {
		return errTruncated
	}
	return nil
}

// writeUnwritten writes the unwritten bytes, until all are written or the stream has to stop. While the client does not read, it fails as
// soon as the backend can't send the rest of the value any more: otherwise the client might read the available bytes for seconds, and then
// be cut off by this ingress.
func (s *valueStream) writeUnwritten(c *backendConn, to *clientConn) error {
	stall := newStallDetector(to.rawConn, time.Now())
	for len(s.unwritten) > 0 {
		setWriteDeadline(to.conn, time.Now().Add(blockedPollInterval)) // before stopRequested is checked, as in readChunk
		if s.interrupted(nil) {
			return errMigrating
		}
		n, err := to.conn.Write(s.unwritten)
		s.unwritten = s.unwritten[n:]
		s.clientBlocked.Store(n == 0 && err != nil)
		switch {
		case err == nil:
		case s.interrupted(err):
			return errMigrating
		case !errors.Is(err, os.ErrDeadlineExceeded) || stall.stalledFor(time.Now(), n) > stallTimeout:
			return errClientDisconnected
		case s.unread > 0 && sockets.PeerClosedBefore(c.conn, s.unread):
			return errTruncated
		}
	}
	return nil
}

// readAtLeast reads from the backend until input holds at least n bytes. The connection's read deadline applies.
func (c *backendConn) readAtLeast(input *inputbuffer.Buffer, n int) error {
	for input.Len() < n {
		space := input.Space()
		if space == nil {
			return errInputBudget
		}
		m, err := c.conn.Read(space)
		input.Advance(m)
		if err != nil && input.Len() < n {
			return err
		}
	}
	return nil
}

// readReplyEnd reads the elements of a reply behind its large value, which are usage figures and the load report, and returns the load
// report. They must arrive within timeout. After an error the connection is retired.
func (c *backendConn) readReplyEnd(input *inputbuffer.Buffer, elements int, timeout time.Duration) (load *policy.Load, err error) {
	setReadDeadline(c.conn, time.Now().Add(timeout))
	defer setReadDeadline(c.conn, time.Time{})
	defer func() {
		if err != nil {
			c.replies.retire(retireMalformed)
		}
	}()
	for i := range elements {
		n, err := c.readElement(input)
		if err != nil {
			return load, err
		}
		if element := input.Bytes()[:n]; i == 1 && element[0] == '$' {
			if h, err := resp.ParseHeader(element); err == nil && !h.Null {
				load = callprotocol.ParseLoad(string(element[h.Size : n-len(endOfValue)]))
			}
		}
		input.Discard(n)
	}
	if input.Len() > 0 {
		return load, errBytesBehindReply
	}
	return load, nil
}

// readElement reads until input starts with a complete element, and returns its length in bytes.
func (c *backendConn) readElement(input *inputbuffer.Buffer) (int, error) {
	for {
		n, err := resp.ReplyLen(input.Bytes())
		switch {
		case err != nil || n > 0:
			return n, err
		case input.Len() > resp.MaxFrameBytes:
			return 0, resp.ErrOversized
		}
		if err := c.readAtLeast(input, input.Len()+1); err != nil {
			return 0, err
		}
	}
}
