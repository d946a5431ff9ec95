// Command simadapter hosts gateways on the simulator's wire. It translates between
// the wire and the policy package and decides nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"eiderspread/internal/base/simprotocol"
	"eiderspread/internal/dataplane/settings"
	"eiderspread/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// host is what one process holds: its gateways, and the numbered lists of servers.
type host struct {
	now   float64
	in    *simprotocol.Reader
	out   *simprotocol.Writer
	line  simprotocol.Line
	gates map[int]*policy.Gateway
	lists map[int][]policy.Backend
}

// actions writes the actions of one gateway.
type actions struct {
	w *simprotocol.Writer
	i int
}

func (a actions) Send(id, server string, timeoutS float64) {
	l := a.w.Begin("FORWARD", a.i).ID("id", id).ID("backend", server)
	if timeoutS != 0 {
		l.Num("withinS", timeoutS)
	}
	l.End()
}

func (a actions) Reject(id string, retryInS float64) {
	l := a.w.Begin("BOUNCE", a.i).ID("id", id)
	if retryInS > 0 {
		l.Num("retryInS", retryInS)
	}
	l.End()
}

func (a actions) Fail(id string) { a.w.Begin("ERROR", a.i).ID("id", id).End() }

func (a actions) Cancel(id string, attempt int) {
	a.w.Begin("STOP_ATTEMPT", a.i).ID("id", id).Int("hop", int64(attempt)).End()
}

func (a actions) SetTimer(token uint64, delayS float64) {
	a.w.Begin("WAKE_AT", a.i).Int("mark", int64(token)).Num("offsetS", delayS).End()
}

func (a actions) Probe(server string) { a.w.Begin("HEALTH_CHECK", a.i).ID("backend", server).End() }

func (a actions) SendPeerMessage(gateway int, data []byte) {
	a.w.Begin("BROADCAST_TO", a.i).Int("addressee", int64(gateway)).Hex("data", data).End()
}

func (a actions) Log(text string) { a.w.Begin("EMIT", a.i).Str("msg", text).End() }

func run(in io.Reader, out io.Writer) error {
	h := &host{
		in: simprotocol.NewReader(in), out: simprotocol.NewWriter(out),
		gates: map[int]*policy.Gateway{}, lists: map[int][]policy.Backend{},
	}
	inBatch := false
	for {
		err := h.in.Next(&h.line)
		if errors.Is(err, io.EOF) && !inBatch {
			return nil
		} else if errors.Is(err, io.EOF) {
			return fmt.Errorf("input ended within a batch")
		} else if err != nil {
			return err
		}
		switch {
		case h.line.Name == "CLOCK":
			if h.now, err = h.line.Num("timeS"); err != nil {
				return err
			}
			inBatch = true
		case !inBatch:
			return fmt.Errorf("%s: outside a batch", h.line.Name)
		case h.line.Name == "YOUR_TURN":
			if err := h.out.Flush(); err != nil {
				return err
			}
			inBatch = false
		default:
			if err := h.event(); err != nil {
				return err
			}
		}
	}
}

// event reads one event whole, then hands it to its gateway.
func (h *host) event() error {
	l := &h.line
	if l.Name == "REGISTER" {
		return h.register()
	}
	deliver, known := events[l.Name]
	if !known {
		return fmt.Errorf("%s: unknown message", l.Name)
	}
	i, err := l.Int("i")
	if err != nil {
		return err
	}
	defer func() {
		if p := recover(); p != nil {
			h.out.Begin("FAULT", i).Str("msg", fmt.Sprint(p)).End()
		}
	}()
	call, err := deliver(h, i)
	if err != nil || call == nil {
		return err
	}
	if g := h.gates[i]; g != nil {
		call(g)
	}
	return nil
}

// register reads a numbered list and the entries that follow it.
func (h *host) register() error {
	r := fields{l: &h.line}
	id, n := r.num("rosterId"), r.num("lines")
	if r.err == nil && n < 0 {
		r.err = fmt.Errorf("REGISTER: field lines cannot be read: %d", n)
	}
	if r.err != nil {
		return r.err
	}
	var list []policy.Backend
	for range n {
		if err := h.in.Next(&h.line); errors.Is(err, io.EOF) {
			return fmt.Errorf("ITEM: the list ends early")
		} else if err != nil {
			return err
		}
		if h.line.Name != "ITEM" {
			return fmt.Errorf("%s: ITEM expected", h.line.Name)
		}
		s := policy.Backend{ID: r.text("backend"), Zone: r.text("hall"), Cell: r.optInt("unitGroup"),
			Weight: r.optNum("share"), StartedAt: r.optNum("sinceS")}
		switch v := r.text("status"); v {
		case "U":
			s.State = policy.Up
		case "L":
			s.State = policy.Draining
		case "D":
			s.State = policy.Removed
		default:
			if r.err == nil {
				r.err = fmt.Errorf("ITEM: field status cannot be read: %q", v)
			}
		}
		if r.err != nil {
			return r.err
		}
		list = append(list, s)
	}
	h.lists[id] = list
	return nil
}

// fields reads fields of a line and keeps the first error.
type fields struct {
	l   *simprotocol.Line
	err error
}

func keep[T any](f *fields, v T, err error) T {
	if f.err == nil {
		f.err = err
	}
	return v
}

func (f *fields) text(n string) string    { v, err := f.l.Text(n); return keep(f, v, err) }
func (f *fields) num(n string) int        { v, err := f.l.Int(n); return keep(f, v, err) }
func (f *fields) optInt(n string) int     { v, err := f.l.OptInt(n); return keep(f, v, err) }
func (f *fields) float(n string) float64  { v, err := f.l.Num(n); return keep(f, v, err) }
func (f *fields) optNum(n string) float64 { v, err := f.l.OptNum(n); return keep(f, v, err) }
func (f *fields) flag(n string) bool      { v, err := f.l.OptBool(n); return keep(f, v, err) }

func (f *fields) status() policy.Status {
	code := f.num("code")
	s, ok := statuses[code]
	if f.err == nil && !ok {
		f.err = fmt.Errorf("%s: field code cannot be read: \"%d\"", f.l.Name, code)
	}
	return s
}

var statuses = map[int]policy.Status{200: policy.OK, 500: policy.Error, 503: policy.Rejected, 504: policy.Timeout,
	502: policy.ConnectFailed, 598: policy.Reset, 499: policy.Cancelled, 410: policy.NotSent}

func (f *fields) load() *policy.Load {
	r := settings.NoLoad
	some, err := f.l.Pairs("load", func(name string, v float64) { settings.SetLoad(&r, name, v) })
	if keep(f, some, err) {
		return &r
	}
	return nil
}

// events reads each event; the function it returns hands the event to the gateway.
var events = map[string]func(*host, int) (func(*policy.Gateway), error){
	"ENLIST": func(h *host, i int) (func(*policy.Gateway), error) {
		seed, err := h.line.Uint("entropy")
		if err != nil {
			return nil, err
		}
		text, err := h.line.Text("settings")
		if err != nil {
			return nil, err
		}
		s, err := settings.Parse([]byte(text))
		if err != nil {
			return nil, fmt.Errorf("ENLIST: field settings: %w", err)
		}
		g, err := policy.New(s.Settings, seed, h.now, actions{h.out, i})
		if err != nil {
			return nil, fmt.Errorf("ENLIST: field settings: %w", err)
		}
		h.gates[i] = g
		return nil, nil
	},
	"DOWN": func(h *host, i int) (func(*policy.Gateway), error) {
		delete(h.gates, i)
		return nil, nil
	},
	"PEERS_KNOWN": func(h *host, i int) (func(*policy.Gateway), error) {
		kind, err := h.line.Text("kind")
		if err != nil {
			return nil, err
		}
		if kind == "Error" {
			return nil, nil
		}
		if kind != "Partial" && kind != "Complete" && kind != "Persisted" {
			return nil, fmt.Errorf("PEERS_KNOWN: field kind cannot be read: %q", kind)
		}
		id, err := h.line.Int("rosterId")
		if err != nil {
			return nil, err
		}
		list, ok := h.lists[id]
		if !ok {
			return nil, fmt.Errorf("PEERS_KNOWN: field rosterId names no list: \"%d\"", id)
		}
		return func(g *policy.Gateway) { g.UpdateBackends(h.now, list, kind != "Partial") }, nil
	},
	"REQUEST": func(h *host, i int) (func(*policy.Gateway), error) {
		f := fields{l: &h.line}
		r := policy.Request{ID: f.text("id"), Class: f.text("kind"), Plan: f.text("tier"), Account: f.text("holder"),
			DeadlineAt: f.float("dropDeadS"), FirstGateway: f.optInt("base"), GatewayCount: int(f.optNum("nEntries")),
			Units: f.optNum("costUnits"), Retry: f.flag("isRetry")}
		return func(g *policy.Gateway) { g.HandleRequest(h.now, r) }, f.err
	},
	"FLOWING": func(h *host, i int) (func(*policy.Gateway), error) {
		f := fields{l: &h.line}
		id, n := f.text("id"), f.num("hop")
		return func(g *policy.Gateway) { g.HandleResponseStart(h.now, id, n) }, f.err
	},
	"VERDICT": func(h *host, i int) (func(*policy.Gateway), error) {
		f := fields{l: &h.line}
		o := policy.Outcome{ID: f.text("id"), Backend: f.text("backend"), Attempt: f.num("hop"), Status: f.status(),
			Completed: f.flag("terminal"), LatencyS: f.optNum("spentS"), Units: f.optNum("actual"), Load: f.load()}
		return func(g *policy.Gateway) { g.HandleOutcome(h.now, o) }, f.err
	},
	"HANGUP": func(h *host, i int) (func(*policy.Gateway), error) {
		id, err := h.line.Text("id")
		return func(g *policy.Gateway) { g.HandleDisconnect(h.now, id) }, err
	},
	"ALARM": func(h *host, i int) (func(*policy.Gateway), error) {
		token, err := h.line.Uint("mark")
		return func(g *policy.Gateway) { g.HandleTimer(h.now, token) }, err
	},
	"CHECK_RESULT": func(h *host, i int) (func(*policy.Gateway), error) {
		f := fields{l: &h.line}
		p := policy.ProbeResult{Backend: f.text("backend"), Status: f.status(), LatencyS: f.optNum("spentS"), Load: f.load()}
		return func(g *policy.Gateway) { g.HandleProbeResult(h.now, p) }, f.err
	},
	"DATAGRAM": func(h *host, i int) (func(*policy.Gateway), error) {
		from, err := h.line.Int("sender")
		if err != nil {
			return nil, err
		}
		data, err := h.line.Hex("data")
		return func(g *policy.Gateway) { g.HandlePeerMessage(h.now, from, data) }, err
	},
	"TALLY_BACK": func(*host, int) (func(*policy.Gateway), error) { return nil, nil },
}
