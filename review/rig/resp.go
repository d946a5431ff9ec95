package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// reply is one RESP value. Lines (+, -, :) have their text with the type byte; bulk strings have their bytes.
type reply struct {
	kind  byte // + - : $ *
	text  string
	null  bool
	items []reply
}

func readLine(r *bufio.Reader) (string, error) {
	s, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(s, "\r\n"), nil
}

func readReply(r *bufio.Reader) (reply, error) {
	line, err := readLine(r)
	if err != nil {
		return reply{}, err
	}
	if line == "" {
		return reply{}, fmt.Errorf("empty line")
	}
	v := reply{kind: line[0], text: line[1:]}
	switch v.kind {
	case '+', '-', ':':
		return v, nil
	case '$':
		n, err := strconv.Atoi(v.text)
		if err != nil {
			return v, err
		}
		if n < 0 {
			v.null = true
			return v, nil
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return v, err
		}
		v.text = string(b[:n])
		return v, nil
	case '*':
		n, err := strconv.Atoi(v.text)
		if err != nil {
			return v, err
		}
		v.null = n < 0
		for range max(n, 0) {
			item, err := readReply(r)
			if err != nil {
				return v, err
			}
			v.items = append(v.items, item)
		}
		return v, nil
	}
	return v, fmt.Errorf("unknown type in %.40q", line)
}

// readCommand reads an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	v, err := readReply(r)
	if err != nil {
		return nil, err
	}
	if v.kind != '*' || len(v.items) == 0 {
		return nil, fmt.Errorf("not a command: %c%.40q", v.kind, v.text)
	}
	var args []string
	for _, item := range v.items {
		args = append(args, item.text)
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

// fields returns the name=value pairs of a call.
func fields(list string) map[string]string {
	m := map[string]string{}
	for _, part := range strings.Split(list, ",") {
		name, value, _ := strings.Cut(part, "=")
		m[name] = value
	}
	return m
}
