package ingress

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"cometpond/policy"
)

const (
	// A watch sends a line every 2 s. After two that are missing the connection is taken for dead;
	// the agent answers at once, so a needless reconnect costs little.
	watchSilence = 4500 * time.Millisecond
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 2 * time.Second
	maxListLine  = 4 << 20
)

// targets is a list of backends, or a change of it, as discovery words it.
type targets struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []target `json:"servers"`
}

type target struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

var targetStates = map[string]policy.State{"in_service": policy.Up, "terminating": policy.Draining,
	"terminated": policy.Removed}

// parseTargets reads one line of a watch and checks every entry of it.
func parseTargets(line []byte) (targets, error) {
	var t targets
	if err := json.Unmarshal(line, &t); err != nil {
		return t, err
	}
	return t, t.check()
}

func (t targets) check() error {
	for _, s := range t.Servers {
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s target) check() error {
	state, known := targetStates[s.State]
	if s.ID == "" || !known {
		return fmt.Errorf("entry %q: unknown state %q", s.ID, s.State)
	}
	if _, err := netip.ParseAddrPort(s.Addr); err != nil && state != policy.Removed {
		return fmt.Errorf("entry %q: %w", s.ID, err)
	}
	return nil
}

// takeList applies a list to the pools and tells the module.
func (in *Ingress) takeList(t targets) {
	list := make([]policy.Server, 0, len(t.Servers))
	for _, s := range t.Servers {
		list = append(list, policy.Server{ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: targetStates[s.State],
			Weight: s.Weight, SinceS: float64(s.StartedMS) / 1000})
	}
	in.backends.apply(in, t)
	in.gate.Servers(in.now, list, t.Full)
}

// watcher follows discovery. One goroutine owns it at a time.
type watcher struct {
	in      *Ingress
	http    *http.Client
	addr    string
	version int64 // the last that was taken in
	whole   bool  // changes may be missing: only the whole list tells
}

// watchDiscovery keeps a watch open for as long as ctx lasts, and moves it at once when the
// configuration was read again. An agent at another address may count its versions in its own way,
// so the whole list is asked for there. What is known stays until that has come.
func (in *Ingress) watchDiscovery(ctx context.Context, reread <-chan Config) {
	w := &watcher{in: in, addr: in.cfg.Discovery, version: in.cfg.Known.Version,
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
	backoff := backoffFirst
	for ctx.Err() == nil {
		round, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		before := w.version
		go func() { ended <- w.watch(round) }()
		select {
		case err := <-ended:
			stop()
			if ctx.Err() != nil {
				return
			}
			seen, addr := w.version, w.addr
			in.post(in.clock.now(), func() { in.note("watch ended", "error", err, "address", addr, "version", seen) })
			if seen != before {
				backoff = backoffFirst
			}
			select {
			case <-ctx.Done():
			case cfg := <-reread:
				w.move(cfg)
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, backoffMost)
		case cfg := <-reread:
			stop()
			<-ended
			w.move(cfg)
			backoff = backoffFirst
		}
		stop()
	}
}

// move goes on at the address of a configuration that was read anew.
func (w *watcher) move(cfg Config) {
	w.addr, w.whole = cfg.Discovery, true
	w.in.log.Info("configuration read again", "discovery", cfg.Discovery)
}

// get asks discovery; the answer's body is the caller's to close.
func (w *watcher) get(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.addr+"/api/targets"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}

// watch reads one watch to its end, ahead of it the whole list if changes may be missing.
func (w *watcher) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	if w.whole {
		if err := w.list(ctx); err != nil {
			return fmt.Errorf("whole list: %w", err)
		}
		silence.Reset(watchSilence)
	}
	body, err := w.get(ctx, fmt.Sprintf("?watch=1&after=%d", w.version))
	if err != nil {
		return err
	}
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxListLine)
	for lines.Scan() {
		silence.Reset(watchSilence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		t, err := parseTargets(line)
		if err == nil && !t.Full && t.Version < w.version {
			err = fmt.Errorf("version %d comes after %d", t.Version, w.version)
		}
		if err != nil { // what it told is lost
			w.whole = true
			return err
		}
		w.take(t)
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		w.whole = true
	}
	return lines.Err()
}

// list takes in the whole list. An entry that can't be used is left out: the rest must not wait for it.
func (w *watcher) list(ctx context.Context) error {
	body, err := w.get(ctx, "")
	if err != nil {
		return err
	}
	defer body.Close()
	var t targets
	if err := json.NewDecoder(io.LimitReader(body, maxListLine)).Decode(&t); err != nil {
		return err
	}
	t.Full = true
	t.Servers = slices.DeleteFunc(t.Servers, func(e target) bool {
		err := e.check()
		if err != nil {
			w.in.post(w.in.clock.now(), func() { w.in.note("entry of the list left out", "error", err) })
		}
		return err != nil
	})
	w.whole = false
	w.take(t)
	return nil
}

func (w *watcher) take(t targets) {
	w.version = t.Version
	w.in.post(w.in.clock.now(), func() { w.in.takeList(t) })
}
