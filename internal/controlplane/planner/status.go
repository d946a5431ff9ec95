package planner

import (
	"encoding/json"
	"net/http"

	"eiderspread/internal/decision/loadshed"
)

// Status is the content of a planner's status page.
type Status struct {
	Kind     string       `json:"kind"` // "planner"
	Number   int          `json:"number"`
	Links    int          `json:"links"`    // linked forwarders
	Requests int          `json:"requests"` // open requests
	BytesIn  uint64       `json:"bytes_in"` // over all links since the start; also BytesOut
	BytesOut uint64       `json:"bytes_out"`
	Stats    Stats        `json:"stats"`
	Cordoned []string     `json:"held"`  // backends that operators have cordoned
	Ready    bool         `json:"ready"` // see Core.Ready
	Cells    []CellStatus `json:"cells"`
}

// CellStatus describes one cell on the status page.
type CellStatus struct {
	Cell           int              `json:"cell"`
	Epoch          uint64           `json:"epoch"` // of this planner's claim; 0: none
	Leading        bool             `json:"leads"`
	LeaseLeftS     float64          `json:"lead_left_s"`        // seconds until the lease expires; 0 if this planner does not lead the cell
	Rank           int              `json:"rank"`               // this planner's position, from 0, in the order in which planners claim the cell
	MissingReports int              `json:"untold_forwarders"`  // forwarders without a complete usage report; 0 once recovery is over
	Overload       *loadshed.Status `json:"overload,omitempty"` // nil: load shedding is off, or this planner does not lead the cell
}

// CellStatuses returns the status of every cell, the number of linked forwarders and the number of open requests.
func (c *Core) CellStatuses(now float64) (cells []CellStatus, links, requests int) {
	c.now = now
	for i := range c.cells {
		lease := &c.leases.cells[i]
		status := CellStatus{Cell: i, Epoch: lease.epoch, Leading: lease.role == leader, Rank: c.cfg.Rank(i, c.cfg.Number)}
		if status.Leading {
			status.LeaseLeftS, status.Overload = max(lease.expiresAt-now, 0), c.loadShedder(i).Status(now)
		}
		if windows := c.cells[i].windows; windows != nil && !windows.recovered(now) {
			status.MissingReports = windows.missingReports
		}
		cells = append(cells, status)
	}
	for _, byHandle := range c.requests {
		requests += len(byHandle)
	}
	return cells, c.linkedForwarders(), requests
}

// status returns the content of the status page. It must run on the event loop.
func (s *Server) status(now float64) Status {
	status := Status{
		Kind:     "planner",
		Number:   s.cfg.Number,
		BytesIn:  s.closedBytesIn.Load(),
		BytesOut: s.closedBytesOut.Load(),
		Stats:    s.core.Stats,
		Cordoned: s.core.Cordoned(),
		Ready:    s.core.Ready(),
	}
	status.Cells, status.Links, status.Requests = s.core.CellStatuses(now)
	for _, link := range s.links {
		if link != nil {
			status.BytesIn += link.BytesIn.Load()
			status.BytesOut += link.BytesOut.Load()
		}
	}
	return status
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	result := make(chan Status, 1)
	s.post(func(now float64) { result <- s.status(now) })
	select {
	case status := <-result:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status) // a client that has disconnected needs no response
	case <-s.done:
	case <-r.Context().Done():
	}
}
