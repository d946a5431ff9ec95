package main

import (
	"errors"
	"fmt"
	"io"

	"eiderspread/internal/base/simprotocol"
	"eiderspread/policy"
)

// host holds the gateways of this process, and the endpoint lists to which events refer by number.
type host struct {
	now      float64 // time of the batch, in seconds of the simulator
	in       *simprotocol.Reader
	out      *simprotocol.Writer
	line     simprotocol.Line         // the line that is being read
	gateways map[int]*policy.Gateway  // by number
	lists    map[int][]policy.Backend // by number
}

// run reads batches of events and writes a reply to each until the input ends. Input that ends within a batch is an error.
func run(in io.Reader, out io.Writer) error {
	h := &host{
		in: simprotocol.NewReader(in), out: simprotocol.NewWriter(out),
		gateways: map[int]*policy.Gateway{}, lists: map[int][]policy.Backend{},
	}
	inBatch := false
	for {
		switch err := h.in.Next(&h.line); {
		case errors.Is(err, io.EOF) && !inBatch:
			return nil
		case errors.Is(err, io.EOF):
			return errors.New("input ended within a batch")
		case err != nil:
			return err
		}
		var err error
		switch {
		case h.line.Name == simprotocol.MessageTime:
			h.now, err = h.line.Num(simprotocol.FieldTime)
			inBatch = true
		case !inBatch:
			return fmt.Errorf("%s: message is outside a batch", h.line.Name)
		case h.line.Name == simprotocol.MessageBatchEnd:
			err = h.out.Flush()
			inBatch = false
		default:
			err = h.handleEvent()
		}
		if err != nil {
			return err
		}
	}
}

// handleEvent reads one event and passes it to its gateway. It drops events for an unknown gateway, and reports a panic to the simulator.
func (h *host) handleEvent() error {
	if h.line.Name == simprotocol.MessageEndpointList {
		return h.readEndpointList()
	}
	read, known := eventReaders[h.line.Name]
	if !known {
		return fmt.Errorf("%s: unknown message", h.line.Name)
	}
	number, err := h.line.Int(simprotocol.FieldGateway)
	if err != nil {
		return err
	}
	defer func() {
		if fault := recover(); fault != nil {
			h.out.Begin(simprotocol.MessageGatewayPanic, number).Str(simprotocol.FieldText, fmt.Sprint(fault)).End()
		}
	}()
	deliver, err := read(h, number)
	if err != nil || deliver == nil {
		return err
	}
	if gateway := h.gateways[number]; gateway != nil {
		deliver(gateway)
	}
	return nil
}

// readEndpointList reads a numbered endpoint list: a header and the entries that follow it.
func (h *host) readEndpointList() error {
	header := fieldReader{line: &h.line}
	id, length := header.integer(simprotocol.FieldListID), header.integer(simprotocol.FieldListLength)
	if header.err == nil && length < 0 {
		header.err = fmt.Errorf("%s: field %s is %d, must not be negative", h.line.Name, simprotocol.FieldListLength, length)
	}
	if header.err != nil {
		return header.err
	}
	var list []policy.Backend
	for range length {
		if err := h.in.Next(&h.line); errors.Is(err, io.EOF) {
			return fmt.Errorf("%s: input ended after %d of %d list entries", simprotocol.MessageEndpoint, len(list), length)
		} else if err != nil {
			return err
		}
		if h.line.Name != simprotocol.MessageEndpoint {
			return fmt.Errorf("%s: unexpected message in an endpoint list, want %s", h.line.Name, simprotocol.MessageEndpoint)
		}
		entry := fieldReader{line: &h.line}
		list = append(list, entry.backend())
		if entry.err != nil {
			return entry.err
		}
	}
	h.lists[id] = list
	return nil
}
