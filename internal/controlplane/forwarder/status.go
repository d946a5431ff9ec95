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
	// statusListenInterval is the time between two attempts to listen at an address that the process before still uses.
	statusListenInterval = 50 * time.Millisecond
	// statusTimeout is how long a client of the status page waits for the loop.
	statusTimeout = time.Second
)

// Status is a forwarder's status page.
type Status struct {
	Kind              string        `json:"kind"` // "forwarder"
	Number            int           `json:"number"`
	Links             []bool        `json:"links"`    // by planner: it is up
	Requests          int           `json:"requests"` // open
	BytesIn           uint64        `json:"bytes_in"` // over all links since the start, as BytesOut
	BytesOut          uint64        `json:"bytes_out"`
	Stats             Stats         `json:"stats"`
	Cells             []CellStatus  `json:"cells"`
	Cordoned          []string      `json:"held"` // backends that operators have cordoned
	EndpointListAge   discovery.Age `json:"list"`
	EndpointListStale bool          `json:"old"` // the list is too old to be trusted
}

// CellStatus is a cell on the status page.
type CellStatus struct {
	Cell         int     `json:"cell"`
	Epoch        uint64  `json:"epoch"`          // of the latest promise
	Holder       int     `json:"holder"`         // the planner that it was given to; -1: none yet
	HasLeader    bool    `json:"led"`            // the holder leads and is followed
	PromiseLeftS float64 `json:"promise_left_s"` // seconds, to the millisecond
	Waiting      int     `json:"waiting"`        // requests that wait for a leader
	Failsafe     bool    `json:"failsafe"`       // requests are rejected at once
}

// CountLed returns how many cells have a leader, and how many reject requests at once for want of one.
func (c *Core) CountLed() (led, failsafe int) {
	for i := range c.cells {
		if cell := &c.cells[i]; cell.hasLeader {
			led++
		} else if c.inFailsafe(cell) {
			failsafe++
		}
	}
	return led, failsafe
}

// CellStatuses returns how the cells stand, and how many requests are open.
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

// serveStatus serves the status page until ctx ends. With retry, the process that this one replaces may still use the address.
func (g *RemoteGateway) serveStatus(ctx context.Context, retry bool) error {
	listener, err := net.Listen("tcp", g.cfg.StatusAddr)
	if err != nil && !retry {
		return fmt.Errorf("status: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(g.handleStatus), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() }) // the process ends
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

// status returns the status page. Loop only.
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
