package agent

import (
	"encoding/json"
	"net/http"

	"eiderspread/internal/membership/etcdsource"
	"eiderspread/internal/membership/merge"
)

// maxAgeS is the upper bound, in s, of reported source ages. It replaces the infinite age of a source that has never reported anything,
// which JSON can't encode.
const maxAgeS = 1e9

func finiteAge(ageS float64) float64 { return min(ageS, maxAgeS) }

// Status is the content of an agent's status page.
type Status struct {
	Etcd    etcdsource.Status    `json:"etcd"`
	Sources []merge.SourceStatus `json:"sources"`
	Nodes   []NodeStatus         `json:"nodes"`
}

// NodeStatus is a node of the merged list on the status page, with the reason for its state.
type NodeStatus struct {
	ID     string `json:"ID"`
	Addr   string `json:"Addr"`
	State  string `json:"State"`
	Reason string `json:"Why"`
}

// serveStatus responds with the Status as JSON. The loop computes it.
func (a *Agent) serveStatus(w http.ResponseWriter, r *http.Request) {
	statuses := make(chan Status, 1)
	a.post(func(float64) { statuses <- a.status() })
	select {
	case status := <-statuses:
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(status); err != nil {
			a.log.Warn("status not sent", "error", err)
		}
	case <-a.done:
	case <-r.Context().Done():
	}
}

// status returns the current status. Only the loop may call it.
func (a *Agent) status() Status {
	status := Status{Etcd: a.etcd.Status(), Sources: a.merger.SourceStatuses()}
	for i := range status.Sources {
		status.Sources[i].AgeS = finiteAge(status.Sources[i].AgeS)
	}
	for _, e := range a.merger.Entries() {
		status.Nodes = append(status.Nodes, NodeStatus{e.ID, e.Addr, e.State.String(), e.Reason})
	}
	return status
}

// maxSourceAge returns the time, in s, since the last report of the source that has been silent longest, at most
// maxAgeS.
func (a *Agent) maxSourceAge() float64 {
	age := 0.0
	for _, s := range a.merger.SourceStatuses() {
		age = max(age, finiteAge(s.AgeS))
	}
	return age
}
