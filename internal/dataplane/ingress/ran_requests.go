package ingress

import (
	"encoding/json"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/policy"
)

const (
	// maxRanRequests bounds the ids that are kept, the newest ones.
	maxRanRequests = 4096
	// ranRequestTTLS is for how many seconds the id of a request that may have run is kept. It exceeds the time for which a client waits.
	ranRequestTTLS = 10.0
)

// ranRequests keeps the ids of requests that must not run twice and may have run. A client that left without its answer may send such a
// request again, to this process or to its successor. Loop only.
type ranRequests struct {
	known map[string]struct{}
	queue []ranRequest // those of known, oldest first
}

type ranRequest struct {
	id        string
	expiresAt float64
}

// add adds an id at now, and drops ids that have expired or exceed maxRanRequests.
func (t *ranRequests) add(id string, now float64) {
	t.expire(now)
	if _, ok := t.known[id]; ok {
		return
	}
	if t.known == nil {
		t.known = map[string]struct{}{}
	}
	if len(t.queue) == maxRanRequests {
		t.dropOldest()
	}
	t.known[id] = struct{}{}
	t.queue = append(t.queue, ranRequest{id, now + ranRequestTTLS})
}

// has reports whether the id was added less than ranRequestTTLS before now, and not dropped since.
func (t *ranRequests) has(id string, now float64) bool {
	t.expire(now)
	_, ok := t.known[id]
	return ok
}

func (t *ranRequests) expire(now float64) {
	for len(t.queue) > 0 && t.queue[0].expiresAt <= now {
		t.dropOldest()
	}
}

func (t *ranRequests) dropOldest() {
	delete(t.known, t.queue[0].id)
	t.queue = t.queue[1:]
}

// mustRunOnce reports whether a request of the class must not be sent again once it may have run, without a client that asks for it by the
// same idempotency key.
func mustRunOnce(class policy.Class) bool { return class.Idempotency != policy.Idempotent }

// recordRan keeps the id of a request that is forgotten, if the request must not run twice and may have run.
func (in *Ingress) recordRan(r *request) {
	if mustRunOnce(r.Spec) && r.mayHaveRun() {
		in.ranRequests.add(r.ID, in.now)
	}
}

// ranEvents returns the messages that name to a successor the requests that it must not run again: those that may have run here, and those
// that are open here.
func (in *Ingress) ranEvents() (bodies [][]byte) {
	ids := make([]string, 0, len(in.ranRequests.queue)+len(in.requests))
	for _, ran := range in.ranRequests.queue {
		ids = append(ids, ran.id)
	}
	for id, r := range in.requests {
		if mustRunOnce(r.Spec) {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		if body, err := json.Marshal(snapshot.Event{Disconnected: id}); err == nil {
			bodies = append(bodies, body)
		}
	}
	return bodies
}

// announceRequest names a request that is accepted during a hand-over to the successor, which must not run it again.
func (in *Ingress) announceRequest(r *request) {
	if in.successor.events == nil || !mustRunOnce(r.Spec) {
		return
	}
	body, err := json.Marshal(snapshot.Event{Disconnected: r.ID})
	if err == nil && len(in.successor.events) < maxQueuedRelays/2 { // the rest is for events that must not get lost
		in.successor.events <- body
	}
}

// sendRanEvents sends the messages of ranEvents.
func sendRanEvents(link *hotrestart.Link, bodies [][]byte) error {
	for _, body := range bodies {
		if err := link.Send(hotrestart.Event, body, linkTimeout); err != nil {
			return err
		}
	}
	return nil
}

// addRanEvent keeps the request that a message of ranEvents names. The message comes before Proceed.
func (p *predecessorState) addRanEvent(body []byte) {
	var e snapshot.Event
	if err := json.Unmarshal(body, &e); err == nil && e.Disconnected != "" && len(p.ranRequests) < 2*maxRanRequests {
		p.ranRequests = append(p.ranRequests, e.Disconnected)
	}
}
