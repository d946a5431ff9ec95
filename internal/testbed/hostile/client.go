package hostile

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Outcome is what a client got for a request.
type Outcome string

// The outcomes.
const (
	Served   Outcome = "served"
	Rejected Outcome = "rejected" // -BUSY
	Failed   Outcome = "failed"   // any other error
	Cut      Outcome = "cut"      // the connection ended before the whole answer
	Late     Outcome = "late"     // no whole answer within half a second after the request's time
)

// lateS is how long after its time a request has to have its final answer, in seconds.
const lateS = 0.5

// Request is a request of a client.
type Request struct {
	Class, Plan, Account, ID string
	Wait                     time.Duration
	Body                     string // of a class that is not safe to repeat
	ExtraFields              string // appended to the fields
}

// dialTimeout bounds a client's wait for a connection. It is long, as the machine may be busy with the clients themselves.
const dialTimeout = 10 * time.Second

var lastID atomic.Uint64

// newRequest returns a request with a new id, of an account that no other request has.
func newRequest(class string) Request {
	n, wait := lastID.Add(1), waitS
	if class == otherClass {
		wait = otherWaitS
	}
	return Request{Class: class, Plan: planFree, Account: fmt.Sprintf("%016x", n), ID: fmt.Sprintf("%016x", n<<24|rand.Uint64N(1<<24)), Wait: seconds(wait)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// encode returns the command of a request.
func (q Request) encode() string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=1,first=0", q.Class, q.Plan, q.Wait.Milliseconds())
	if q.Class == "slot-hold" {
		fields += ",k=" + q.ID
	}
	fields += q.ExtraFields
	if q.Class == "zone-check" || q.Class == otherClass {
		return encodeCommand("CALL.GET", q.Account, q.ID, fields)
	}
	return encodeCommand("CALL.POST", q.Account, q.ID, fields, q.Body)
}

func encodeCommand(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}

// client is a client's connection.
type client struct {
	net.Conn
	r       *bufio.Reader
	answers int // that were read whole
}

// dial connects a client to the ingress. With small buffers the client's kernel holds little that it has not read.
func (r *Rig) dial(smallBuffers bool) (*client, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if smallBuffers {
		d.Control = func(_, _ string, raw syscall.RawConn) error { return setReceiveBuffer(raw) }
	}
	conn, err := d.Dial("tcp", r.ingress().Listen)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.conns = append(r.conns, conn)
	r.mu.Unlock()
	return &client{Conn: conn, r: bufio.NewReader(conn)}, nil
}

// answer is what a client read for one request.
type answer struct {
	outcome  Outcome
	value    string        // if served
	text     string        // of an error
	begun    bool          // with Cut: a value had begun
	refused  bool          // with Cut: no connection could be made
	closed   bool          // with Cut: the connection was closed in an orderly way before the first byte
	timedOut bool          // with Cut: nothing came for long
	after    time.Duration // from when the request was sent until the last byte
}

// request sends a request and reads its answer. An answer that is late is read all the same, for another few seconds.
func (c *client) request(q Request) answer {
	began := time.Now()
	if _, err := io.WriteString(c, q.encode()); err != nil {
		return answer{outcome: Cut, text: err.Error(), after: time.Since(began)}
	}
	return c.readAnswer(began, q.Wait)
}

// readAnswer reads the answer to a request that was sent at began by a client that waits for it.
func (c *client) readAnswer(began time.Time, wait time.Duration) answer {
	const patience = 10 * time.Second
	_ = c.SetReadDeadline(began.Add(wait + patience))
	a := c.readReply()
	a.after = time.Since(began)
	final := a.outcome == Failed || a.outcome == Rejected
	if (final || a.timedOut) && a.after > wait+seconds(lateS) {
		a.outcome = Late
	}
	return a
}

// requestAgain is request for a client whose connection c may be closed by the ingress between two requests: it sends the request once more on
// a new connection then, as the protocol says. It returns the connection of the answer.
func (r *Rig) requestAgain(c *client, q Request) (*client, answer) {
	began := time.Now()
	used := c != nil && c.answers > 0
	if c != nil {
		if a := c.request(q); !used || !a.closed {
			return c, a
		}
		c.Close()
	}
	c, err := r.dial(false)
	if err != nil {
		return nil, answer{outcome: Cut, text: err.Error(), after: time.Since(began), refused: true}
	}
	a := c.request(q)
	a.after = time.Since(began)
	return c, a
}

// readReply reads one reply.
func (c *client) readReply() answer {
	a := c.readWhole()
	if a.outcome != Cut {
		c.answers++
	}
	return a
}

func (c *client) readWhole() answer {
	line, err := c.r.ReadString('\n')
	if err != nil {
		return answer{outcome: Cut, text: err.Error(), closed: errors.Is(err, io.EOF) && line == "", timedOut: errors.Is(err, os.ErrDeadlineExceeded)}
	}
	line = strings.TrimSpace(line)
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return answer{outcome: Rejected, text: line}
	case !strings.HasPrefix(line, "$"):
		return answer{outcome: Failed, text: line}
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return answer{outcome: Failed, text: line}
	}
	value := make([]byte, size+2)
	if _, err := io.ReadFull(c.r, value); err != nil {
		return answer{outcome: Cut, text: err.Error(), begun: true, timedOut: errors.Is(err, os.ErrDeadlineExceeded)}
	}
	return answer{outcome: Served, value: string(value[:size])}
}
