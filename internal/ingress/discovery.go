package ingress

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"cometpond/policy"
)

const (
	// A watch sends a line every 2 s. After a few that are missing the connection is taken for dead;
	// the agent answers at once, so a needless reconnect costs little.
	watchSilence = 7 * time.Second
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
		state, known := targetStates[s.State]
		if s.ID == "" || !known {
			return fmt.Errorf("entry %q: unknown state %q", s.ID, s.State)
		}
		if _, err := netip.ParseAddrPort(s.Addr); err != nil && state != policy.Removed {
			return fmt.Errorf("entry %q: %w", s.ID, err)
		}
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

// watchDiscovery keeps a watch open for as long as ctx lasts.
func (in *Ingress) watchDiscovery(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	version, backoff := in.cfg.Known.Version, backoffFirst
	for ctx.Err() == nil {
		seen, err := in.watch(ctx, client, version)
		if seen != version {
			version, backoff = seen, backoffFirst
		}
		if ctx.Err() != nil {
			return
		}
		in.post(in.clock.now(), func() { in.note("watch ended", "error", err, "version", seen) })
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, backoffMost)
	}
}

// watch reads one watch to its end and returns the last version that it brought.
func (in *Ingress) watch(ctx context.Context, client *http.Client, version int64) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	url := fmt.Sprintf("http://%s/api/targets?watch=1&after=%d", in.cfg.Discovery, version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return version, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return version, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return version, fmt.Errorf("discovery answered %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxListLine)
	for lines.Scan() {
		silence.Reset(watchSilence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		at := in.clock.now()
		t, err := parseTargets(line)
		if err != nil {
			in.post(at, func() { in.note("list line dropped", "error", err) })
			continue
		}
		version = t.Version
		in.post(at, func() { in.takeList(t) })
	}
	return version, lines.Err()
}
