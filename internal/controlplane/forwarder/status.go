package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"

	"eiderspread/internal/membership/discovery"
)

const (
	// statusListenInterval is the time between two attempts to listen on an address that the predecessor still uses.
	statusListenInterval = 50 * time.Millisecond
	// statusTimeout bounds the wait for the loop to produce the status page.
	statusTimeout = time.Second
)

// Status is the content of a forwarder's status page.
type Status struct {
	Kind              string        `json:"kind"` // "forwarder"
	Number            int           `json:"number"`
	Links             []bool        `json:"links"`     // by planner: whether the link is up
	Requests          int           `json:"requests"`  // number of open requests
	BytesIn           uint64        `json:"bytes_in"`  // received over all links since the start
	BytesOut          uint64        `json:"bytes_out"` // sent over all links since the start
	Stats             Stats         `json:"stats"`
	Cells             []CellStatus  `json:"cells"`
	Cordoned          []string      `json:"held"` // backends that operators have cordoned
	EndpointListAge   discovery.Age `json:"list"`
	EndpointListStale bool          `json:"old"` // the endpoint list is too old to be trusted
}

// CellStatus is the state of a cell on the status page.
type CellStatus struct {
	Cell         int     `json:"cell"`
	Epoch        uint64  `json:"epoch"`          // of the latest promise
	Holder       int     `json:"holder"`         // the planner that the promise was given to; -1: no promise yet
	HasLeader    bool    `json:"led"`            // the holder leads and is followed
	PromiseLeftS float64 `json:"promise_left_s"` // seconds until the promise expires, rounded to milliseconds
	Waiting      int     `json:"waiting"`        // number of requests that wait for a leader
	Failsafe     bool    `json:"failsafe"`       // new requests are rejected at once
}

// CellCounts returns the number of cells with a leader, and the number of cells in fail-safe: those that reject new requests at once
// because they have no leader.
func (c *Core) CellCounts() (led, failsafe int) {
	for i := range c.cells {
		if cell := &c.cells[i]; cell.hasLeader {
			led++
		} else if c.inFailsafe(cell) {
			failsafe++
		}
	}
	return led, failsafe
}

// CellStatuses returns the state of each cell and the number of open requests.
func (c *Core) CellStatuses(now float64) (cells []CellStatus, requests int) {
	c.now = now
	for i := range c.cells {
		cell := &c.cells[i]
		cells = append(cells, CellStatus{
			Cell:         i,
			Epoch:        cell.epoch,
			Holder:       cell.holder,
			HasLeader:    cell.hasLeader,
			PromiseLeftS: math.Round(max(cell.until-now, 0)*1e3) / 1e3,
			Waiting:      len(cell.waiting),
			Failsafe:     c.inFailsafe(cell),
		})
	}
	return cells, len(c.requests)
}

// serveStatus serves the status page until ctx ends. If retry is set, it tries to listen until the address is free, because the predecessor
// may still use it.
func (g *RemoteGateway) serveStatus(ctx context.Context, retry bool) error {
	listener, err := net.Listen("tcp", g.cfg.StatusAddr)
	if err != nil && !retry {
		return fmt.Errorf("status: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(g.handleStatus), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() }) // an error does not matter, as the process ends
	go func() {
		for err != nil {
			select {
			case <-time.After(statusListenInterval):
				listener, err = net.Listen("tcp", g.cfg.StatusAddr)
			case <-ctx.Done():
				return
			}
		}
		if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.Post(func(float64) { g.LogFault("status server failed", "error", err) })
		}
	}()
	return nil
}

// status returns the content of the status page. Loop only.
func (g *RemoteGateway) status(now float64) Status {
	age := g.EndpointListAge()
	status := Status{
		Kind:              "forwarder",
		Number:            g.cfg.Number,
		BytesIn:           g.closedBytesIn,
		BytesOut:          g.closedBytesOut,
		Stats:             g.core.Stats,
		Cordoned:          g.core.Cordoned(),
		EndpointListAge:   age,
		EndpointListStale: age.Stale(),
	}
	status.Cells, status.Requests = g.core.CellStatuses(now)
	for _, link := range g.links {
		status.Links = append(status.Links, link != nil)
		if link != nil {
			status.BytesIn += link.BytesIn.Load()
			status.BytesOut += link.BytesOut.Load()
		}
	}
	return status
}

func (g *RemoteGateway) handleStatus(w http.ResponseWriter, req *http.Request) {
	result := make(chan Status, 1)
	g.Post(func(now float64) { result <- g.status(now) })
	select {
	case status := <-result:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status) // a client that has disconnected needs no status
	case <-req.Context().Done():
	case <-time.After(statusTimeout):
	}
}
