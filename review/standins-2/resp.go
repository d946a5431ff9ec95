package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// reply is a RESP reply: its type byte and its text, or the value of a bulk string or of an array's first element.
type reply struct {
	kind  byte
	text  string
	null  bool
	bytes int // of the whole reply
}

func (r reply) String() string {
	text := r.text
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	return fmt.Sprintf("%c%q", r.kind, text)
}

func (r reply) served() bool  { return (r.kind == '$' || r.kind == '*') && !r.null }
func (r reply) refused() bool { return r.kind == '-' && strings.HasPrefix(r.text, "BUSY") }

func readLine(b *bufio.Reader) (string, error) {
	line, err := b.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(line, "\r\n"), nil
}

func readReply(b *bufio.Reader) (reply, error) {
	line, err := readLine(b)
	if err != nil {
		return reply{}, err
	}
	if line == "" {
		return reply{}, errors.New("empty line")
	}
	r := reply{kind: line[0], text: line[1:], bytes: len(line) + 2}
	switch r.kind {
	case '$':
		n, err := strconv.Atoi(r.text)
		if err != nil || n < 0 {
			r.null = true
			return r, err
		}
		body := make([]byte, n+2)
		if _, err := io.ReadFull(b, body); err != nil {
			return r, err
		}
		r.text, r.bytes = string(body[:n]), r.bytes+n+2
	case '*':
		n, err := strconv.Atoi(r.text)
		if err != nil || n < 1 {
			r.null = true
			return r, err
		}
		for i := range n {
			e, err := readReply(b)
			if err != nil {
				return r, err
			}
			if i == 0 {
				r.text = e.text
			}
		}
	}
	return r, nil
}

func readCommand(b *bufio.Reader) ([]string, error) {
	line, err := readLine(b)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimPrefix(line, "*"))
	if err != nil || !strings.HasPrefix(line, "*") {
		return nil, fmt.Errorf("no command: %q", line)
	}
	var args []string
	for range n {
		e, err := readReply(b)
		if err != nil {
			return nil, err
		}
		args = append(args, e.text)
	}
	return args, nil
}

func command(args ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return []byte(b.String())
}

// conn is a client's connection.
type conn struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReaderSize(c, 64<<10)}, nil
}

// do sends one command and reads its answer within limit.
func (c *conn) do(limit time.Duration, args ...string) (reply, error) {
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := c.Write(command(args...)); err != nil {
		return reply{}, err
	}
	return readReply(c.in)
}

// fields returns the fields argument of a call.
func fields(class, plan string, d time.Duration, units, spread, first int, key string) string {
	s := fmt.Sprintf("c=%s,t=%s,d=%d", class, plan, d.Milliseconds())
	if key != "" {
		s += ",k=" + key
	}
	return s + fmt.Sprintf(",units=%d,spread=%d,first=%d", units, spread, first)
}

// field returns the value of a field in a fields argument.
func field(text, name string) string {
	for part := range strings.SplitSeq(text, ",") {
		if v, ok := strings.CutPrefix(part, name+"="); ok {
			return v
		}
	}
	return ""
}
