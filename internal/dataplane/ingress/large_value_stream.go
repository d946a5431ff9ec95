package ingress

import (
	"bytes"
	"errors"
	"net"
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

// blockedPollInterval is how often the backend is looked at while the client does not read.
const blockedPollInterval = 20 * time.Millisecond

// endOfValue stands behind the bytes of a value.
const endOfValue = "\r\n"

var errMigrating = errors.New("another process is to stream the value on")

// valueStream is how far a large value has come. The goroutine that streams it owns it, but for what says otherwise.
type valueStream struct {
	unwritten []byte // read and not written yet
	unread    int    // bytes of the value that are not read yet

	stopRequested atomic.Bool // set by the loop: stop between two chunks
	clientBlocked atomic.Bool // the client has not read for a while; of any goroutine
	migrated      chan bool   // from the loop, to a stream that has stopped: whether the value is another process's now

	// Loop only.
	backendConn *backendConn // never changes
	stopping    bool         // it has to stop
	resumed     bool         // the predecessor has begun it: no attempt stands for it here
}

// newValueStream starts with the header of a value of size bytes, and the first of these.
func newValueStream(conn *backendConn, size int, first []byte) *valueStream {
	header := append(strconv.AppendInt([]byte{'$'}, int64(size), 10), endOfValue...)
	return &valueStream{unwritten: append(header, first...), unread: size - len(first), backendConn: conn, migrated: make(chan bool, 1)}
}

// interrupted reports whether a read or write that ended with err, or one that would come next, is to be given up for the loop.
func (f *valueStream) interrupted(err error) bool {
	return (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) && f.stopRequested.Load()
}

// streamToEnd streams the value for as long as it is this process's; errMigrating means that it is another's.
func (v *largeValue) streamToEnd(in *Ingress, input *inputbuffer.Buffer) error {
	for {
		err := v.stream.run(in, v.stream.backendConn, input, v.client.conn)
		if !errors.Is(err, errMigrating) {
			return err
		}
		rest := bytes.Clone(input.Bytes())
		in.post(in.clock.Now(), func() { in.handleStreamStopped(v, rest) })
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

// run streams the value until it is complete, breaks off, or is to stop. Its last bytes go out once it has proved complete.
func (f *valueStream) run(in *Ingress, c *backendConn, input *inputbuffer.Buffer, to net.Conn) error {
	if err := f.copyValue(in, c, to); err != nil {
		return err
	}
	if err := c.readAtLeast(input, len(endOfValue)); err != nil {
		if f.interrupted(err) {
			return errMigrating
		}
		return errStalled
	}
	if !bytes.HasPrefix(input.Bytes(), []byte(endOfValue)) {
		return resp.ErrLengthMismatch
	}
	input.Discard(len(endOfValue))
	f.unwritten = []byte(endOfValue)
	for {
		if err := f.writeUnwritten(c, to); !errors.Is(err, errMigrating) {
			return err
		}
		f.stopRequested.Store(false) // two bytes are not worth a migration
	}
}

// copyValue writes what was read, and reads and writes what is left of the value, a chunk at a time.
func (f *valueStream) copyValue(in *Ingress, c *backendConn, to net.Conn) error {
	var chunk []byte
	for {
		if err := f.writeUnwritten(c, to); err != nil {
			f.unwritten = bytes.Clone(f.unwritten) // the chunk may be released
			return err
		}
		if f.unread == 0 {
			return nil
		}
		if chunk == nil {
			if chunk = make([]byte, inputbuffer.ReadSize); in.inputBudget.Reserve(streamChunkSize) {
				defer in.inputBudget.Release(streamChunkSize)
				chunk = make([]byte, streamChunkSize)
			}
		}
		if err := f.readChunk(c, chunk); err != nil {
			return err
		}
	}
}

// readChunk reads the next bytes of the value into chunk.
func (f *valueStream) readChunk(c *backendConn, chunk []byte) error {
	setReadDeadline(c.conn, time.Now().Add(stallTimeout)) // before the look at stopRequested: the loop sets that first, and then a deadline of its own
	if f.interrupted(nil) {
		return errMigrating
	}
	n, err := c.conn.Read(chunk[:min(f.unread, len(chunk))])
	f.unwritten, f.unread = chunk[:n], f.unread-n
	if n == 0 && f.interrupted(err) {
		return errMigrating
	} else if n == 0 && err != nil {
		return errStalled
	}
	return nil
}

// writeUnwritten writes what was read, until all of it is out or the stream is to stop. A value of which the rest can't come any more ends at
// once: its client may read for seconds what there is, and would then be cut off by nobody but this ingress.
func (f *valueStream) writeUnwritten(c *backendConn, to net.Conn) error {
	for wroteAt := time.Now(); len(f.unwritten) > 0; {
		setWriteDeadline(to, time.Now().Add(blockedPollInterval)) // before the look at stopRequested, as in readChunk
		if f.interrupted(nil) {
			return errMigrating
		}
		n, err := to.Write(f.unwritten)
		if f.unwritten = f.unwritten[n:]; n > 0 {
			wroteAt = time.Now()
		}
		f.clientBlocked.Store(n == 0 && err != nil)
		switch {
		case err == nil:
		case f.interrupted(err):
			return errMigrating
		case !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(wroteAt) > stallTimeout:
			return errClientDisconnected
		case f.unread > 0 && sockets.EndsWithin(c.conn, f.unread):
			return errStalled
		}
	}
	return nil
}

// readAtLeast reads until n bytes are there.
func (c *backendConn) readAtLeast(input *inputbuffer.Buffer, n int) error {
	for input.Len() < n {
		space := input.Space()
		if space == nil {
			return errInputBudget
		}
		setReadDeadline(c.conn, time.Now().Add(stallTimeout))
		m, err := c.conn.Read(space)
		input.Advance(m)
		if err != nil && input.Len() < n {
			return err
		}
	}
	return nil
}

// readTrailer reads the elements behind the value, figures on its use and the load report, and returns the latter. The value stands whatever
// they look like; a connection on which they can't be read is of no further use.
func (c *backendConn) readTrailer(input *inputbuffer.Buffer, elements int) (load *policy.Load) {
	for i := range elements {
		n, err := resp.ReplyLen(input.Bytes())
		for err == nil && n == 0 && input.Len() <= resp.MaxFrameBytes {
			if err = c.readAtLeast(input, input.Len()+1); err == nil {
				n, err = resp.ReplyLen(input.Bytes())
			}
		}
		if err != nil || n == 0 {
			c.unusable.Store(true)
			return load
		}
		if element := input.Bytes()[:n]; i == 1 && element[0] == '$' {
			if h, err := resp.ParseHeader(element); err == nil && !h.Null {
				load = callprotocol.ParseLoad(string(element[h.Size : n-len(endOfValue)]))
			}
		}
		input.Discard(n)
	}
	if input.Len() > 0 { // more than belongs to the reply
		c.unusable.Store(true)
	}
	return load
}
